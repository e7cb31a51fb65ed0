"""Lightweight HTTP/1.1 client connections.

Importing aiohttp takes 0.3 s of CPU time. If many processes are killed at
once, their restarts would be slow enough for callers to notice. Therefore this
module uses httptools to parse responses.
"""

import asyncio
import datetime
import socket

import httptools
import msgspec

from acaciamoor import clock as clocks
from acaciamoor import model

_READ_BYTES = 1 << 16
# Interval at which a connection that waits for a response notes that the event
# loop runs.
_CHECK_INTERVAL = datetime.timedelta(milliseconds=50)
_MILLISECOND = datetime.timedelta(milliseconds=1)


class ConnectionSettings(msgspec.Struct, frozen=True):
    """Timeouts and keep-alive settings of a connection.

    No data is sent while a long-polling request waits, so only TCP keep-alive
    probes detect that its connection is dead.

    Parameters
    ----------
    connect_timeout : datetime.timedelta
        Timeout of connecting.
    keepalive_interval : datetime.timedelta
        Idle time before the first keep-alive probe, and time between probes;
        rounded to whole seconds, at least 1 s.
    keepalive_probes : int
        Unacknowledged probes after which the connection is closed.
    user_timeout : datetime.timedelta
        Time within which sent data must be acknowledged
        (``TCP_USER_TIMEOUT``).
    """

    connect_timeout: datetime.timedelta = datetime.timedelta(seconds=1)
    keepalive_interval: datetime.timedelta = datetime.timedelta(seconds=1)
    keepalive_probes: int = 2
    user_timeout: datetime.timedelta = datetime.timedelta(seconds=2)


class Response(msgspec.Struct, frozen=True):
    """HTTP response.

    Parameters
    ----------
    status : int
        Status code.
    headers_by_name : dict
        Headers; the names are in lower case.
    body : bytes
        Body.
    arrived_after : datetime.timedelta
        Time of the clock after which the first byte arrived. It may have been
        read later, for example if the process was stopped in the meantime.
    """

    status: int
    headers_by_name: dict[str, str]
    body: bytes
    arrived_after: datetime.timedelta = datetime.timedelta(0)

    @property
    def successful(self) -> bool:
        """Whether the status code is 2xx."""
        return 200 <= self.status < 300


class _ResponseHandler:
    """Collects the first response on a connection from parser callbacks.

    What follows it, for example a second copy of the response, is ignored.
    """

    def __init__(self) -> None:
        self.response: Response | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._headers_by_name: dict[str, str] = {}
        self._chunks: list[bytes] = []
        self.received_bytes = 0

    def feed(self, data: bytes) -> None:
        """Parse received data.

        Raises
        ------
        ConnectionError
            If the data is not an HTTP response.
        """
        self.received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            if self.response is None:
                raise ConnectionError(
                    f'malformed HTTP response: {error}'
                ) from error

    def on_header(self, name: bytes, value: bytes) -> None:
        key = name.decode('latin-1').lower()
        self._headers_by_name[key] = value.decode('latin-1')

    def on_body(self, data: bytes) -> None:
        self._chunks.append(data)

    def on_message_complete(self) -> None:
        if self.response is None:
            self.response = Response(
                self._parser.get_status_code(),
                self._headers_by_name,
                b''.join(self._chunks),
            )


class _ArrivalWatch:
    """Tells after which time data arrived that is read now.

    A process that is stopped, or busy, reads late what arrived meanwhile. The
    event loop looks for data between two checks, so what is read after a check
    arrived after the one before it.

    Parameters
    ----------
    clock : Clock
        Source of time. The time of the event loop does not advance while one
        of its callbacks runs, even if the process is stopped there.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._loop = asyncio.get_running_loop()
        self._checked_at = clock.monotonic()
        self.arrived_after = self._checked_at
        self._timer = self._schedule_check()

    def close(self) -> None:
        """Stop the checks."""
        self._timer.cancel()

    def _schedule_check(self) -> asyncio.TimerHandle:
        return self._loop.call_later(
            _CHECK_INTERVAL.total_seconds(), self._check
        )

    def _check(self) -> None:
        self.arrived_after = self._checked_at
        self._checked_at = self._clock.monotonic()
        self._timer = self._schedule_check()


class HttpConnection:
    """Client connection for one request.

    Parameters
    ----------
    address : Address
        Address to connect to.
    settings : ConnectionSettings
        Timeouts and keep-alive settings.
    clock : Clock
        Source of the time at which responses arrive.
    """

    def __init__(
        self,
        address: model.Address,
        settings: ConnectionSettings,
        clock: clocks.Clock,
    ) -> None:
        self._address = address
        self._settings = settings
        self._clock = clock
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        """Open the connection.

        Raises
        ------
        OSError
            If the connection is refused or is not established in time.
        """
        async with asyncio.timeout(
            self._settings.connect_timeout.total_seconds()
        ):
            self._reader, self._writer = await asyncio.open_connection(
                self._address.ip, self._address.port
            )
        _enable_keepalive(
            self._writer.get_extra_info('socket'), self._settings
        )

    async def send_request(
        self,
        request: bytes,
        timeout: datetime.timedelta,
        silence_timeout: datetime.timedelta,
    ) -> Response:
        """Send a request and return the response.

        Parameters
        ----------
        request : bytes
            The request.
        timeout : datetime.timedelta
            Time until the response is complete, unless data still arrives.
        silence_timeout : datetime.timedelta
            Time without data after which a response that takes longer than
            `timeout` has failed. A large one takes long over a narrow link,
            and a repeated request would start from the beginning.

        Raises
        ------
        OSError
            If the connection breaks, if a timeout passes, or if the response
            is not HTTP. The request may have taken effect.
        """
        # Writing to a closed transport is an error, so a connection that the
        # platform has closed must be detected before the write.
        if (
            self._reader is None
            or self._writer is None
            or self._writer.is_closing()
        ):
            raise ConnectionError('the connection is not open')
        handler = _ResponseHandler()
        arrival = _ArrivalWatch(self._clock)
        try:
            async with asyncio.timeout(timeout.total_seconds()) as limit:
                self._writer.write(request)
                await self._writer.drain()
                return await self._read_response(
                    self._reader, handler, arrival, limit, silence_timeout
                )
        except TimeoutError as error:
            raise TimeoutError(
                f'no complete response within {timeout}; '
                f'{handler.received_bytes} bytes of the response received'
            ) from error
        finally:
            arrival.close()

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
            self._writer = self._reader = None

    async def _read_response(
        self,
        reader: asyncio.StreamReader,
        handler: _ResponseHandler,
        arrival: _ArrivalWatch,
        limit: asyncio.Timeout,
        silence_timeout: datetime.timedelta,
    ) -> Response:
        loop = asyncio.get_running_loop()
        arrived_after = None
        while handler.response is None:
            data = await reader.read(_READ_BYTES)
            if not data:
                raise ConnectionError(
                    'the server closed the connection before the response '
                    'was complete'
                )
            if arrived_after is None:
                arrived_after = arrival.arrived_after
            handler.feed(data)
            silent_at = loop.time() + silence_timeout.total_seconds()
            limit.reschedule(max(limit.when() or 0.0, silent_at))
        return msgspec.structs.replace(
            handler.response, arrived_after=arrived_after
        )


def _enable_keepalive(
    sock: socket.socket, settings: ConnectionSettings
) -> None:
    seconds = max(1, round(settings.keepalive_interval.total_seconds()))
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, seconds),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, seconds),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, settings.keepalive_probes),
        (
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            settings.user_timeout // _MILLISECOND,
        ),
    )
    for level, option, value in options:
        sock.setsockopt(level, option, value)
