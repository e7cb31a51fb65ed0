"""HTTP/1.1 connections of a process that must start fast and stay small.

aiohttp takes 0.3 s of processor time to import, which callers feel when many
processes are killed at once. httptools parses the answers here.
"""

import asyncio
import datetime
import socket

import httptools
import msgspec

from acaciamoor import model

_READ_BYTES = 1 << 16
_MS = datetime.timedelta(milliseconds=1)


class ChannelSettings(msgspec.Struct, frozen=True):
    """How a connection notices that its path is gone.

    A waiting call sends nothing, so only probes of the transport protocol
    show that its connection is dead.

    Parameters
    ----------
    connect : datetime.timedelta
        Time to connect.
    probe_interval : datetime.timedelta
        Silence before the first keep-alive probe, and time between probes;
        whole seconds.
    probes : int
        Probes without an answer after which the connection is closed.
    unacknowledged : datetime.timedelta
        Time after which sent data must be acknowledged.
    """

    connect: datetime.timedelta = datetime.timedelta(seconds=1)
    probe_interval: datetime.timedelta = datetime.timedelta(seconds=1)
    probes: int = 2
    unacknowledged: datetime.timedelta = datetime.timedelta(seconds=2)


class Answer(msgspec.Struct, frozen=True):
    """Response to a call."""

    status: int
    retry_after: str
    body: bytes

    @property
    def succeeded(self) -> bool:
        """Whether the status is a success."""
        return 200 <= self.status < 300


class _Collector:
    """Receives the callbacks of the parser."""

    def __init__(self) -> None:
        self.done = False
        self.retry_after = ''
        self._parts: list[bytes] = []

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b'retry-after':
            self.retry_after = value.decode('latin-1')

    def on_body(self, data: bytes) -> None:
        self._parts.append(data)

    def on_message_complete(self) -> None:
        self.done = True

    @property
    def body(self) -> bytes:
        return b''.join(self._parts)


class Channel:
    """A connection that carries one call at a time.

    Parameters
    ----------
    address : Address
        Where to connect.
    settings : ChannelSettings
        How a dead path is noticed.
    """

    def __init__(
        self, address: model.Address, settings: ChannelSettings
    ) -> None:
        self._address = address
        self._settings = settings
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        """Connect.

        Raises
        ------
        OSError
            If the address does not take the connection in time.
        """
        async with asyncio.timeout(self._settings.connect.total_seconds()):
            self._reader, self._writer = await asyncio.open_connection(
                self._address.ip, self._address.port
            )
        _watch_path(self._writer.get_extra_info('socket'), self._settings)

    async def call(self, request: bytes, limit: datetime.timedelta) -> Answer:
        """Send a request and return the answer.

        Raises
        ------
        OSError
            If the connection breaks, the answer takes longer than `limit` or
            is not HTTP. The call may have taken effect.
        """
        # A closed transport takes no calls, so an idle connection that the
        # platform has closed must be noticed before the write.
        if (
            self._reader is None
            or self._writer is None
            or self._writer.is_closing()
        ):
            raise ConnectionError('the channel is not connected')
        async with asyncio.timeout(limit.total_seconds()):
            self._writer.write(request)
            await self._writer.drain()
            return await self._read(self._reader)

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
            self._writer = self._reader = None

    async def _read(self, reader: asyncio.StreamReader) -> Answer:
        collector = _Collector()
        parser = httptools.HttpResponseParser(collector)
        while not collector.done:
            data = await reader.read(_READ_BYTES)
            if not data:
                raise ConnectionError('the connection was closed')
            try:
                parser.feed_data(data)
            except httptools.HttpParserError as error:
                raise ConnectionError(f'malformed answer: {error}') from error
        return Answer(
            parser.get_status_code(), collector.retry_after, collector.body
        )


def _watch_path(sock: socket.socket, settings: ChannelSettings) -> None:
    seconds = max(1, round(settings.probe_interval.total_seconds()))
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, seconds),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, seconds),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, settings.probes),
        (
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            settings.unacknowledged // _MS,
        ),
    )
    for level, option, value in options:
        sock.setsockopt(level, option, value)
