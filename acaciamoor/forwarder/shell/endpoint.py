"""Small HTTP endpoint for readiness and metrics."""

import asyncio
import collections.abc
import http

import httptools
import msgspec

from acaciamoor import model

# Connections that may wait; the fabric asks twice a second.
_BACKLOG = 64


class Reply(msgspec.Struct, frozen=True):
    """Answer to a GET request."""

    status: http.HTTPStatus
    text: str = ''
    content_type: str = 'text/plain'

    def encode(self) -> bytes:
        """Return the reply as HTTP."""
        body = self.text.encode()
        return (
            f'HTTP/1.1 {self.status.value} {self.status.phrase}\r\n'
            f'Content-Type: {self.content_type}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        ).encode() + body


Page = collections.abc.Callable[[], Reply]
_NOT_FOUND = Reply(http.HTTPStatus.NOT_FOUND)
_BAD_REQUEST = Reply(http.HTTPStatus.BAD_REQUEST)


class _Connection(asyncio.Protocol):
    def __init__(
        self, pages_by_path: collections.abc.Mapping[str, Page]
    ) -> None:
        self._pages_by_path = pages_by_path
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._target = b''

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        self._transport = None

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._answer(_BAD_REQUEST)
            if self._transport is not None:
                self._transport.close()

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_message_complete(self) -> None:
        path = self._target.partition(b'?')[0].decode('latin-1')
        self._target = b''
        page = self._pages_by_path.get(path)
        self._answer(_NOT_FOUND if page is None else page())

    def _answer(self, reply: Reply) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(reply.encode())


class Endpoint:
    """Answers GET requests from memory.

    Parameters
    ----------
    address : Address
        Where the endpoint listens.
    pages_by_path : Mapping
        What to answer.
    """

    def __init__(
        self,
        address: model.Address,
        pages_by_path: collections.abc.Mapping[str, Page],
    ) -> None:
        self._address = address
        self._pages_by_path = pages_by_path
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _Connection(self._pages_by_path),
            self._address.ip,
            self._address.port,
            backlog=_BACKLOG,
        )

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()
