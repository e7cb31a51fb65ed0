"""Transport for platforms with paginated listings and long polling."""

import collections.abc
import datetime

import msgspec

from acaciamoor import clock as clocks
from acaciamoor import model
from acaciamoor.platform import connection as connections
from acaciamoor.platform import dialect as dialects
from acaciamoor.platform import errors
from acaciamoor.platform import objects
from acaciamoor.platform import statuses
from acaciamoor.platform import versions


class LongPollSettings(msgspec.Struct, frozen=True):
    """Timeouts of requests and settings of their connections.

    Parameters
    ----------
    response_timeout : datetime.timedelta
        Time to wait for a response, in addition to `poll_timeout` for a
        long-polling request; a response that takes longer may be silent for as
        long.
    poll_timeout : datetime.timedelta
        Time after which the platform responds to a long-polling request even
        if there are no changes.
    connection : ConnectionSettings
        Settings of the connections.
    """

    response_timeout: datetime.timedelta = datetime.timedelta(seconds=2)
    poll_timeout: datetime.timedelta = datetime.timedelta(seconds=2)
    connection: connections.ConnectionSettings = msgspec.field(
        default_factory=connections.ConnectionSettings
    )


class LongPollTransport:
    """`Transport` that watches for changes by long polling.

    Parameters
    ----------
    address : Address
        Address of the platform.
    dialect : Dialect
        Encoding of requests and responses.
    settings : LongPollSettings
        Timeouts and connection settings.
    clock : Clock
        Source of the time at which responses arrive.

    Notes
    -----
    Each request uses a new connection. HTTP/1.1 matches responses to requests
    by their order alone, so on a reused connection a second copy of a
    response would be taken for the response to the next request. The outcome
    of a write would also be unknown if the platform closed the idle connection
    at the same time.
    """

    def __init__(
        self,
        address: model.Address,
        dialect: dialects.Dialect,
        settings: LongPollSettings | None = None,
        clock: clocks.Clock | None = None,
    ) -> None:
        self._address = address
        self._dialect = dialect
        self._settings = settings or LongPollSettings()
        self._clock = clock or clocks.SystemClock()
        self._host_header = f'Host: {address}\r\n'

    async def read(self, kind: str, name: str) -> objects.StoredObject:
        """Return an object."""
        response = await self._read(self._dialect.read(kind, name))
        return self._decode(self._dialect.decode_stored, kind, response)

    async def read_all(
        self,
        kind: str,
        selector: objects.FieldSelector | None = None,
        stale: bool = False,
    ) -> objects.Listing:
        """Return the objects of a kind that match `selector`, or all.

        The version is that of the first page, so that a watch from this
        version delivers the changes made while later pages were read. With
        `stale`, the platform may return data that is seconds old.
        """
        started_at = self._clock.monotonic()
        found: list[objects.StoredObject] = []
        version = None
        continue_after = ''
        while version is None or continue_after:
            request = self._dialect.read_page(kind, continue_after, stale)
            response = await self._read(request)
            page = self._decode(self._dialect.decode_page, kind, response)
            version = page.version if version is None else version
            if versions.get_era(page.version) != versions.get_era(version):
                raise errors.Unavailable(
                    'the platform was restored between two pages'
                )
            found.extend(page.objects)
            continue_after = page.continue_after
        return objects.Listing(
            version,
            tuple(
                stored
                for stored in found
                if selector is None or selector.matches(stored.value)
            ),
            self._clock.monotonic() - started_at,
        )

    async def write(self, write: objects.Write) -> objects.StoredObject:
        """Store a value if the condition of `write` holds."""
        response = await self._write(self._dialect.write(write))
        try:
            return self._dialect.decode_stored(
                write.kind, response.body, self._parse_era(response)
            )
        except ValueError as error:
            raise errors.OutcomeUnknown(f'malformed response: {error}') from (
                error
            )

    async def remove(
        self, kind: str, name: str, expected_version: int
    ) -> None:
        """Delete an object at `expected_version`."""
        await self._write(self._dialect.remove(kind, name, expected_version))

    async def stream(
        self, kind: str, after_version: int
    ) -> collections.abc.AsyncIterator[objects.WatchEvent]:
        """Yield the changes of one long-polling request, then a bookmark.

        Raises
        ------
        VersionExpired
            If the changes after `after_version` are no longer retained, or the
            platform was restored since.
        """
        poll_timeout = self._settings.poll_timeout
        request = self._dialect.wait(kind, after_version, poll_timeout)
        response = await self._read(
            request, poll_timeout, versions.get_era(after_version)
        )
        changes = self._decode(self._dialect.decode_changes, kind, response)
        for event in changes.events:
            yield event
        yield objects.WatchEvent(
            objects.EventType.BOOKMARK,
            max(changes.version, after_version),
            transfer_time=self._clock.monotonic() - response.arrived_after,
        )

    async def _read(
        self,
        request: dialects.Request,
        poll_timeout: datetime.timedelta = datetime.timedelta(0),
        era: int | None = None,
    ) -> connections.Response:
        response = await self._send_request(
            request,
            poll_timeout + self._settings.response_timeout,
            errors.Unavailable,
        )
        if era is not None:
            self._check_era(response, era)
        _raise_for_status(response, request, errors.Unavailable)
        return response

    def _check_era(self, response: connections.Response, era: int) -> None:
        """Raise an error unless the platform is in `era`.

        In another era, the version that a request asked for stands for other
        contents.
        """
        try:
            current = self._parse_era(response)
        except ValueError as error:
            raise errors.Unavailable(f'malformed response: {error}') from error
        if current > era:
            raise errors.VersionExpired(
                f'the platform was restored: era {current} after {era}'
            )
        if current < era and response.successful:
            raise errors.Unavailable(
                f'response of era {current}, which ended before era {era}'
            )

    def _parse_era(self, response: connections.Response) -> int:
        text = response.headers_by_name.get(self._dialect.era_header, '')
        if not text:
            return 0
        if not text.isdecimal() or int(text) > versions.MAX_ERA:
            raise ValueError(f'malformed era {text[:40]!r}')
        return int(text)

    def _decode(
        self,
        decode: collections.abc.Callable,
        kind: str,
        response: connections.Response,
    ) -> object:
        try:
            return decode(kind, response.body, self._parse_era(response))
        except ValueError as error:
            raise errors.Unavailable(f'malformed response: {error}') from error

    async def _write(self, request: dialects.Request) -> connections.Response:
        response = await self._send_request(
            request, self._settings.response_timeout, errors.OutcomeUnknown
        )
        # Statuses 503 and 429 guarantee that the write had no effect.
        if response.status == 503:
            raise errors.Unavailable(request.name)
        _raise_for_status(response, request, errors.OutcomeUnknown)
        return response

    async def _connect(self) -> connections.HttpConnection:
        connection = connections.HttpConnection(
            self._address, self._settings.connection, self._clock
        )
        try:
            await connection.connect()
        except TimeoutError as error:
            connection.close()
            raise errors.TimedOut('connecting timed out') from error
        except OSError as error:
            connection.close()
            raise errors.Unavailable(f'cannot connect: {error!r}') from error
        return connection

    async def _send_request(
        self,
        request: dialects.Request,
        timeout: datetime.timedelta,
        error_class: type[errors.StoreError],
    ) -> connections.Response:
        connection = await self._connect()
        try:
            return await connection.send_request(
                self._encode(request),
                timeout,
                self._settings.response_timeout,
            )
        except TimeoutError as error:
            if error_class is errors.Unavailable:
                error_class = errors.TimedOut
            raise error_class(f'{request.name}: {error}') from error
        except OSError as error:
            raise error_class(f'{request.name}: {error!r}') from error
        finally:
            connection.close()

    def _encode(self, request: dialects.Request) -> bytes:
        headers = (
            f'{request.method} {request.target} HTTP/1.1\r\n'
            f'{self._host_header}'
        )
        if request.body or request.method != 'GET':
            headers += (
                'Content-Type: application/json\r\n'
                f'Content-Length: {len(request.body)}\r\n'
            )
        return headers.encode() + b'\r\n' + request.body


def _raise_for_status(
    response: connections.Response,
    request: dialects.Request,
    error_class: type[errors.StoreError],
) -> None:
    if response.successful:
        return
    raise statuses.error_from_status(
        response.status,
        request.name,
        response.body[:200].decode(errors='replace'),
        response.headers_by_name.get('retry-after', ''),
        error_class,
    )
