"""Non-blocking UDP sockets that are read in batches."""

import asyncio
import collections.abc
import socket

from acaciamoor import model

# Maximum number of datagrams read per wake-up, so that a busy socket
# does not delay the other sockets and the timers.
BATCH_SIZE = 64
# Requested receive buffer, enough for bursts of a few thousand datagrams. The
# kernel may grant less.
RECEIVE_BUFFER_BYTES = 4 << 20
SocketAddress = tuple[str, int]


class DatagramSocket:
    """Bound non-blocking UDP socket.

    Parameters
    ----------
    ip, port : str, int
        IP address and port to bind to; port 0 selects a free port.
    max_datagram_bytes : int
        Size in bytes of the largest datagram that is read; longer datagrams
        are truncated.

    Raises
    ------
    OSError
        If the address cannot be bound.
    """

    def __init__(self, ip: str, port: int, max_datagram_bytes: int) -> None:
        family = socket.AF_INET6 if ':' in ip else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self._socket.bind((ip, port))
        self._max_datagram_bytes = max_datagram_bytes
        # `send` raises OSError if the kernel does not accept a datagram.
        self.send = self._socket.sendto

    @property
    def address(self) -> model.Address:
        """Address that the socket is bound to."""
        return model.Address(*self._socket.getsockname()[:2])

    def read_batch(self) -> tuple[list[bytes], bool]:
        """Return up to `BATCH_SIZE` datagrams, and whether none are left."""
        receive, size = self._socket.recv, self._max_datagram_bytes
        batch: list[bytes] = []
        for _ in range(BATCH_SIZE):
            try:
                batch.append(receive(size))
            except BlockingIOError:
                return batch, True
            except OSError:
                # A previously sent datagram caused an ICMP error.
                continue
        return batch, False

    def read_batch_from(
        self,
    ) -> tuple[list[tuple[bytes, SocketAddress]], bool]:
        """Like `read_batch`, with the source address of each datagram."""
        receive, size = self._socket.recvfrom, self._max_datagram_bytes
        batch: list[tuple[bytes, SocketAddress]] = []
        for _ in range(BATCH_SIZE):
            try:
                batch.append(receive(size))
            except BlockingIOError:
                return batch, True
            except OSError:
                continue
        return batch, False

    def start(
        self,
        loop: asyncio.AbstractEventLoop,
        on_readable: collections.abc.Callable[[], None],
    ) -> None:
        """Call `on_readable` whenever datagrams can be read."""
        loop.add_reader(self._socket, on_readable)

    def close(self, loop: asyncio.AbstractEventLoop) -> None:
        """Stop reading and close the socket."""
        loop.remove_reader(self._socket)
        self._socket.close()
