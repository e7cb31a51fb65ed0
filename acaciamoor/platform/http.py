"""Calls to the platform over HTTP."""

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

# A watch line holds one object.
_LINE_LIMIT_BYTES = 2 * objects.VALUE_LIMIT_BYTES
_NOT_SENT = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)
_LOST = (aiohttp.ClientError, asyncio.TimeoutError, OSError)


@dataclasses.dataclass(frozen=True, slots=True)
class Timeouts:
    """Limits for calls.

    Parameters
    ----------
    connect : datetime.timedelta
        Time to connect.
    call : datetime.timedelta
        Time for a whole call other than a watch.
    watch_silence : datetime.timedelta
        Time after which a watch without events or bookmarks is given up.
    """

    connect: datetime.timedelta = datetime.timedelta(seconds=1)
    call: datetime.timedelta = datetime.timedelta(seconds=3)
    watch_silence: datetime.timedelta = datetime.timedelta(seconds=60)


class HttpTransport:
    """`Transport` after the Kubernetes API conventions.

    Parameters
    ----------
    base_url : str
        Address of the platform, for example ``http://10.0.0.1:6443``.
    timeouts : Timeouts
        Limits for calls.

    Notes
    -----
    Each write uses a connection of its own, since a kept connection that the
    platform closes while idle makes the outcome of a write unknown. aiohttp
    repeats PUT and DELETE once if the connection breaks, so such a write can
    conflict with its own first copy; `PlatformStore` checks for this.
    """

    def __init__(
        self, base_url: str, timeouts: Timeouts | None = None
    ) -> None:
        self._base_url = base_url.rstrip('/')
        self._timeouts = timeouts or Timeouts()
        call = _client_timeout(self._timeouts)
        self._reads = aiohttp.ClientSession(timeout=call)
        self._writes = aiohttp.ClientSession(
            timeout=call, connector=aiohttp.TCPConnector(force_close=True)
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._reads.close()
        await self._writes.close()

    async def __aenter__(self) -> typing.Self:
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.close()

    async def read(self, kind: str, name: str) -> objects.StoredObject:
        """Return an object."""
        body = await self._read(codec.path(kind, name))
        with _malformed_is(errors.Unavailable):
            return codec.decode_stored(kind, body)

    async def read_all(
        self, kind: str, selector: objects.FieldSelector | None = None
    ) -> objects.Listing:
        """Return the selected objects of a kind; all without a selector."""
        query = {} if selector is None else {'fieldSelector': str(selector)}
        body = await self._read(codec.path(kind), query)
        with _malformed_is(errors.Unavailable):
            return codec.decode_listing(kind, body)

    async def write(self, write: objects.Write) -> objects.StoredObject:
        """Store a value under the condition of `write`."""
        body = codec.encode_write(write)
        if write.expected_version is None:
            reply = await self._write('POST', codec.path(write.kind), body)
        else:
            reply = await self._write(
                'PUT', codec.path(write.kind, write.name), body
            )
        with _malformed_is(errors.OutcomeUnknown):
            return codec.decode_stored(write.kind, reply)

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
        """Yield changes until the connection ends."""
        parameters = {
            'watch': '1',
            'resourceVersion': str(after_version),
            'allowWatchBookmarks': 'true',
        }
        timeout = aiohttp.ClientTimeout(
            total=None,
            connect=self._timeouts.connect.total_seconds(),
            sock_read=self._timeouts.watch_silence.total_seconds(),
        )
        try:
            async with self._reads.get(
                self._base_url + codec.path(kind),
                params=parameters,
                timeout=timeout,
                read_bufsize=_LINE_LIMIT_BYTES,
            ) as response:
                await _check(response, errors.Unavailable)
                async for line in response.content:
                    yield _event(kind, line)
        except _LOST as error:
            raise errors.Unavailable(str(error)) from error

    async def _read(
        self, path: str, query: dict[str, str] | None = None
    ) -> bytes:
        try:
            async with self._reads.get(
                self._base_url + path, params=query
            ) as response:
                await _check(response, errors.Unavailable)
                return await response.read()
        except _LOST as error:
            raise errors.Unavailable(str(error)) from error

    async def _write(self, method: str, path: str, body: bytes) -> bytes:
        try:
            async with self._writes.request(
                method,
                self._base_url + path,
                data=body,
                headers={'Content-Type': 'application/json'},
            ) as response:
                # A failure inside the platform or in a proxy does not say
                # whether the write took effect.
                await _check(response, errors.OutcomeUnknown)
                return await response.read()
        except _NOT_SENT as error:
            raise errors.Unavailable(str(error)) from error
        except _LOST as error:
            raise errors.OutcomeUnknown(str(error)) from error


def _client_timeout(timeouts: Timeouts) -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(
        total=timeouts.call.total_seconds(),
        sock_connect=timeouts.connect.total_seconds(),
    )


def _event(kind: str, line: bytes) -> objects.WatchEvent:
    with _malformed_is(errors.Unavailable):
        event = codec.decode_event(kind, line)
    if isinstance(event, codec.StatusDocument):
        if event.code == http.HTTPStatus.GONE:
            raise errors.VersionExpired(event.message)
        raise errors.Unavailable(event.message)
    return event


async def _check(
    response: aiohttp.ClientResponse, failure: type[errors.StoreError]
) -> None:
    if response.ok:
        return
    raise statuses.error_for(
        response.status,
        response.url.name,
        await response.text(),
        response.headers.get('Retry-After', ''),
        failure,
    )


@contextlib.contextmanager
def _malformed_is(
    failure: type[errors.StoreError],
) -> collections.abc.Iterator[None]:
    try:
        yield
    except ValueError as error:
        raise failure(f'malformed answer: {error}') from error
