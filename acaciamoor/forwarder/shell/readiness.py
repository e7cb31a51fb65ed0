"""HTTP endpoint that tells the fabric whether to send packets here."""

import asyncio
import collections.abc

import httptools

from acaciamoor import model

_READY = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
_NOT_READY = b'HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n'
_BAD_REQUEST = (
    b'HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n'
    b'Connection: close\r\n\r\n'
)
# Connections that may wait; the fabric asks twice a second.
_BACKLOG = 64


class _Connection(asyncio.Protocol):
    def __init__(self, is_ready: collections.abc.Callable[[], bool]) -> None:
        self._is_ready = is_ready
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._answer(_BAD_REQUEST)
            if self._transport is not None:
                self._transport.close()

    def on_message_complete(self) -> None:
        self._answer(_READY if self._is_ready() else _NOT_READY)

    def _answer(self, answer: bytes) -> None:
        if self._transport is not None:
            self._transport.write(answer)


class ReadinessEndpoint:
    """Answers 200 while the host takes new packets, else 503.

    Parameters
    ----------
    address : Address
        Where the endpoint listens.
    is_ready : callable
        Returns whether the host takes new packets.
    """

    def __init__(
        self,
        address: model.Address,
        is_ready: collections.abc.Callable[[], bool],
    ) -> None:
        self._address = address
        self._is_ready = is_ready
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _Connection(self._is_ready),
            self._address.ip,
            self._address.port,
            backlog=_BACKLOG,
        )

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()
