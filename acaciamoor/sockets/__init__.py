"""Sockets that are read in batches."""

from acaciamoor.sockets.datagrams import BATCH
from acaciamoor.sockets.datagrams import DatagramSocket
from acaciamoor.sockets.datagrams import SocketAddress

__all__ = ['BATCH', 'DatagramSocket', 'SocketAddress']
