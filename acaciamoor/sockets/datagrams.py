"""Non-blocking UDP sockets that are read in batches."""

import asyncio
import collections.abc
import socket

from acaciamoor import model

# Datagrams read at one wake-up, so that one busy socket does not keep the
# others and the timers waiting.
BATCH = 64
# Bursts of a few thousand datagrams; the kernel may grant less.
RECEIVE_BUFFER_BYTES = 4 << 20
SocketAddress = tuple[str, int]


class DatagramSocket:
    """A bound UDP socket.

    Parameters
    ----------
    ip, port : str, int
        Where to bind; port 0 chooses a free one.
    size : int
        Largest datagram that is read whole, in bytes.

    Raises
    ------
    OSError
        If the address cannot be bound.
    """

    def __init__(self, ip: str, port: int, size: int) -> None:
        family = socket.AF_INET6 if ':' in ip else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self._socket.bind((ip, port))
        self._size = size
        # Raises OSError if the system does not take a datagram.
        self.send = self._socket.sendto

    @property
    def address(self) -> model.Address:
        """Where the socket is bound."""
        return model.Address(*self._socket.getsockname()[:2])

    def read_batch(self) -> tuple[list[bytes], bool]:
        """Return up to `BATCH` datagrams, and whether no more wait."""
        receive, size = self._socket.recv, self._size
        batch: list[bytes] = []
        for _ in range(BATCH):
            try:
                batch.append(receive(size))
            except BlockingIOError:
                return batch, True
            except OSError:
                # An earlier datagram was answered with an ICMP error.
                continue
        return batch, False

    def read_batch_from(
        self,
    ) -> tuple[list[tuple[bytes, SocketAddress]], bool]:
        """Like `read_batch`, with the sender of each datagram."""
        receive, size = self._socket.recvfrom, self._size
        batch: list[tuple[bytes, SocketAddress]] = []
        for _ in range(BATCH):
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
        """Call `on_readable` whenever datagrams wait."""
        loop.add_reader(self._socket, on_readable)

    def close(self, loop: asyncio.AbstractEventLoop) -> None:
        """Stop reading and close the socket."""
        loop.remove_reader(self._socket)
        self._socket.close()
