"""Minimal HTTP endpoint for readiness checks and metrics."""

import asyncio
import collections.abc
import http

import httptools
import msgspec

from acaciamoor import model

# Length of the accept queue; the fabric polls twice a second.
_BACKLOG = 64


class Response(msgspec.Struct, frozen=True):
    """Response to a GET request."""

    status: http.HTTPStatus
    text: str = ''
    content_type: str = 'text/plain'

    def encode(self) -> bytes:
        """Return the response as an HTTP/1.1 message."""
        body = self.text.encode()
        return (
            f'HTTP/1.1 {self.status.value} {self.status.phrase}\r\n'
            f'Content-Type: {self.content_type}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        ).encode() + body


Handler = collections.abc.Callable[[], Response]
_NOT_FOUND = Response(http.HTTPStatus.NOT_FOUND)
_BAD_REQUEST = Response(http.HTTPStatus.BAD_REQUEST)


class _Connection(asyncio.Protocol):
    def __init__(
        self, handlers_by_path: collections.abc.Mapping[str, Handler]
    ) -> None:
        self._handlers_by_path = handlers_by_path
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
            self._send(_BAD_REQUEST)
            if self._transport is not None:
                self._transport.close()

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_message_complete(self) -> None:
        path = self._target.partition(b'?')[0].decode('latin-1')
        self._target = b''
        handler = self._handlers_by_path.get(path)
        self._send(_NOT_FOUND if handler is None else handler())

    def _send(self, response: Response) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(response.encode())


class HttpEndpoint:
    """HTTP server that answers each GET request from a handler.

    Parameters
    ----------
    address : Address
        Address that the endpoint listens on.
    handlers_by_path : Mapping
        Functions that build the responses, by URL path.
    """

    def __init__(
        self,
        address: model.Address,
        handlers_by_path: collections.abc.Mapping[str, Handler],
    ) -> None:
        self._address = address
        self._handlers_by_path = handlers_by_path
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start to listen.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _Connection(self._handlers_by_path),
            self._address.ip,
            self._address.port,
            backlog=_BACKLOG,
        )

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()
