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
OnBatch = collections.abc.Callable[[], None]
OnDatagram = collections.abc.Callable[[tuple[str, int], bytes], None]


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
        self.unsent = 0

    @property
    def address(self) -> model.Address:
        """Where the socket is bound."""
        return model.Address(*self._socket.getsockname()[:2])

    def start(
        self,
        loop: asyncio.AbstractEventLoop,
        on_wake: OnBatch,
        on_datagram: OnDatagram,
        on_empty: OnBatch,
    ) -> None:
        """Read from now on.

        Parameters
        ----------
        loop : AbstractEventLoop
            Calls back when datagrams wait.
        on_wake : callable
            Called before each batch.
        on_datagram : callable
            Called with the sender and the bytes of each datagram.
        on_empty : callable
            Called when no datagram waits any more.
        """
        receive = self._socket.recvfrom
        size = self._size

        def read() -> None:
            on_wake()
            for _ in range(BATCH):
                try:
                    data, sender = receive(size)
                except (BlockingIOError, InterruptedError):
                    on_empty()
                    return
                except OSError:
                    # An earlier datagram was answered with an ICMP error.
                    continue
                on_datagram(sender, data)

        loop.add_reader(self._socket, read)

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram; count it if the system does not take it."""
        try:
            self._socket.sendto(data, address)
        except OSError:
            # A full buffer or an unreachable host loses the datagram, as
            # the network may.
            self.unsent += 1

    def close(self, loop: asyncio.AbstractEventLoop) -> None:
        """Stop reading and close the socket."""
        loop.remove_reader(self._socket)
        self._socket.close()
