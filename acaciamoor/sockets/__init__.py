"""UDP sockets that are read in batches."""

from acaciamoor.sockets.datagrams import BATCH_SIZE
from acaciamoor.sockets.datagrams import DatagramSocket
from acaciamoor.sockets.datagrams import SocketAddress

__all__ = ['BATCH_SIZE', 'DatagramSocket', 'SocketAddress']
