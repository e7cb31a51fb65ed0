"""Transport over HTTP according to the Kubernetes API conventions."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import datetime
import http
import typing

import aiohttp
import msgspec

from acaciamoor.platform import codec
from acaciamoor.platform import errors
from acaciamoor.platform import objects
from acaciamoor.platform import statuses

# A line of a watch contains one object.
_LINE_LIMIT_BYTES = 2 * objects.VALUE_LIMIT_BYTES
_NOT_SENT_ERRORS = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)
_CONNECTION_ERRORS = (aiohttp.ClientError, asyncio.TimeoutError, OSError)


@dataclasses.dataclass(frozen=True, slots=True)
class Timeouts:
    """Timeouts of requests.

    Parameters
    ----------
    connect : datetime.timedelta
        Timeout of connecting.
    request : datetime.timedelta
        Time without data, before or within the response, after which a
        request other than a watch is aborted. A large listing may take longer.
    watch_idle : datetime.timedelta
        Time after which a watch that receives neither events nor bookmarks is
        aborted.
    """

    connect: datetime.timedelta = datetime.timedelta(seconds=1)
    request: datetime.timedelta = datetime.timedelta(seconds=3)
    watch_idle: datetime.timedelta = datetime.timedelta(seconds=60)


class HttpTransport:
    """`Transport` that follows the Kubernetes API conventions.

    Parameters
    ----------
    base_url : str
        URL of the platform, for example ``http://10.0.0.1:6443``.
    timeouts : Timeouts
        Timeouts of requests.

    Notes
    -----
    Each request uses a new connection: on a reused one, a late second copy of
    a response would be taken for the response to the next request, and the
    outcome of a write is unknown if the platform closes the idle connection
    at the same time. aiohttp retries PUT and DELETE once if the connection
    breaks, so that such a write may conflict with its own first copy;
    `PlatformStore` detects this.
    """

    def __init__(
        self, base_url: str, timeouts: Timeouts | None = None
    ) -> None:
        self._base_url = base_url.rstrip('/')
        self._timeouts = timeouts or Timeouts()
        self._session = aiohttp.ClientSession(
            timeout=_client_timeout(self._timeouts),
            connector=aiohttp.TCPConnector(force_close=True),
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def __aenter__(self) -> typing.Self:
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.close()

    async def read(self, kind: str, name: str) -> objects.StoredObject:
        """Return an object."""
        body = await self._read(codec.path(kind, name))
        with _decode_errors_as(errors.Unavailable):
            return codec.decode_stored(kind, body)

    async def read_all(
        self, kind: str, selector: objects.FieldSelector | None = None
    ) -> objects.Listing:
        """Return the objects of a kind that match `selector`, or all."""
        query = {} if selector is None else {'fieldSelector': str(selector)}
        body = await self._read(codec.path(kind), query)
        with _decode_errors_as(errors.Unavailable):
            return codec.decode_listing(kind, body)

    async def write(self, write: objects.Write) -> objects.StoredObject:
        """Store a value if the condition of `write` holds."""
        body = codec.encode_write(write)
        if write.expected_version is None:
            response = await self._write('POST', codec.path(write.kind), body)
        else:
            response = await self._write(
                'PUT', codec.path(write.kind, write.name), body
            )
        with _decode_errors_as(errors.OutcomeUnknown):
            return codec.decode_stored(write.kind, response)

    async def remove(
        self, kind: str, name: str, expected_version: int
    ) -> None:
        """Delete an object at `expected_version`."""
        condition = {
            'preconditions': {'resourceVersion': str(expected_version)}
        }
        await self._write(
            'DELETE', codec.path(kind, name), msgspec.json.encode(condition)
        )

    async def stream(
        self, kind: str, after_version: int
    ) -> collections.abc.AsyncIterator[objects.WatchEvent]:
        """Yield events until the connection ends."""
        parameters = {
            'watch': '1',
            'resourceVersion': str(after_version),
            'allowWatchBookmarks': 'true',
        }
        timeout = aiohttp.ClientTimeout(
            total=None,
            connect=self._timeouts.connect.total_seconds(),
            sock_read=self._timeouts.watch_idle.total_seconds(),
        )
        try:
            async with self._session.get(
                self._base_url + codec.path(kind),
                params=parameters,
                timeout=timeout,
                read_bufsize=_LINE_LIMIT_BYTES,
            ) as response:
                await _raise_for_status(response, errors.Unavailable)
                async for line in response.content:
                    yield _decode_event(kind, line)
        except _CONNECTION_ERRORS as error:
            raise errors.Unavailable(str(error)) from error

    async def _read(
        self, path: str, query: dict[str, str] | None = None
    ) -> bytes:
        try:
            async with self._session.get(
                self._base_url + path, params=query
            ) as response:
                await _raise_for_status(response, errors.Unavailable)
                return await response.read()
        except _CONNECTION_ERRORS as error:
            raise errors.Unavailable(str(error)) from error

    async def _write(self, method: str, path: str, body: bytes) -> bytes:
        try:
            async with self._session.request(
                method,
                self._base_url + path,
                data=body,
                headers={'Content-Type': 'application/json'},
            ) as response:
                # A failure in the platform or in a proxy does not show whether
                # the write took effect.
                await _raise_for_status(response, errors.OutcomeUnknown)
                return await response.read()
        except _NOT_SENT_ERRORS as error:
            raise errors.Unavailable(str(error)) from error
        except _CONNECTION_ERRORS as error:
            raise errors.OutcomeUnknown(str(error)) from error


def _client_timeout(timeouts: Timeouts) -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(
        total=None,
        sock_connect=timeouts.connect.total_seconds(),
        sock_read=timeouts.request.total_seconds(),
    )


def _decode_event(kind: str, line: bytes) -> objects.WatchEvent:
    with _decode_errors_as(errors.Unavailable):
        event = codec.decode_event(kind, line)
    if isinstance(event, codec.StatusDocument):
        if event.code == http.HTTPStatus.GONE:
            raise errors.VersionExpired(event.message)
        raise errors.Unavailable(event.message)
    return event


async def _raise_for_status(
    response: aiohttp.ClientResponse, error_class: type[errors.StoreError]
) -> None:
    if response.ok:
        return
    raise statuses.error_from_status(
        response.status,
        response.url.name,
        await response.text(),
        response.headers.get('Retry-After', ''),
        error_class,
    )


@contextlib.contextmanager
def _decode_errors_as(
    error_class: type[errors.StoreError],
) -> collections.abc.Iterator[None]:
    try:
        yield
    except ValueError as error:
        raise error_class(f'malformed response: {error}') from error
