"""HTTP server of the platform stand-in."""

import asyncio
import collections
import collections.abc
import contextlib
import http
import typing

from aiohttp import web
import msgspec

from acaciamoor import clock as clocks
from acaciamoor import model
from acaciamoor import platform
from acaciamoor.platform import codec
from acaciamoor.platform import hosts
from acaciamoor.standins.platform import faults as fault_types
from acaciamoor.standins.platform import limits
from acaciamoor.standins.platform import table as tables

FAULTS_PATH = '/admin/faults'
COUNTERS_PATH = '/admin/counters'
_COLLECTION_PATH = codec.path('{kind}')
_OBJECT_PATH = codec.path('{kind}', '{name}')
BOOKMARK_INTERVAL_S = 1.0
_STATUS_BY_ERROR: dict[type[platform.StoreError], http.HTTPStatus] = {
    platform.Conflict: http.HTTPStatus.CONFLICT,
    platform.NotFound: http.HTTPStatus.NOT_FOUND,
    platform.Rejected: http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    platform.VersionExpired: http.HTTPStatus.GONE,
}
Handler = collections.abc.Callable[
    [web.Request], collections.abc.Awaitable[web.StreamResponse]
]


class PlatformServer:
    """Serves an `ObjectTable` by the Kubernetes API conventions.

    Parameters
    ----------
    clock : Clock
        Clock of the rate limiters.
    bookmark_interval_s : float
        Time between bookmarks on a watch, in seconds.

    Notes
    -----
    ``GET`` and ``PUT`` of ``/admin/faults`` return and replace the injected
    faults; ``GET /admin/counters`` returns the number of calls by kind.
    """

    def __init__(
        self,
        clock: clocks.Clock | None = None,
        bookmark_interval_s: float = BOOKMARK_INTERVAL_S,
    ) -> None:
        clock = clock or clocks.SystemClock()
        self.table = tables.ObjectTable()
        self.faults = fault_types.Faults()
        self.calls_by_kind: collections.Counter[str] = collections.Counter()
        self._bookmark_interval_s = bookmark_interval_s
        self._write_bucket = limits.TokenBucket(clock)
        self._read_bucket = limits.TokenBucket(clock)
        self._frozen_host_listing: platform.Listing | None = None
        self._changed = asyncio.Event()
        self._runner: web.AppRunner | None = None

    async def start(self, address: model.Address) -> None:
        """Listen on `address`."""
        application = web.Application(
            middlewares=[self._handle_call],
            client_max_size=4 * platform.VALUE_LIMIT_BYTES,
        )
        application.add_routes(
            [
                web.get(FAULTS_PATH, self._get_faults),
                web.put(FAULTS_PATH, self._put_faults),
                web.get(COUNTERS_PATH, self._get_counters),
                web.get(_COLLECTION_PATH, self._get_collection),
                web.post(_COLLECTION_PATH, self._write),
                web.get(_OBJECT_PATH, self._get_object),
                web.put(_OBJECT_PATH, self._write),
                web.delete(_OBJECT_PATH, self._delete),
            ]
        )
        self._runner = web.AppRunner(application, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(
            self._runner, address.ip, address.port, reuse_address=True
        )
        await site.start()

    async def stop(self) -> None:
        """Close the listening socket and all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    def set_faults(self, faults: fault_types.Faults) -> None:
        """Replace the injected faults."""
        is_switched_on = faults.lag_hosts and not self.faults.lag_hosts
        if is_switched_on:
            self._frozen_host_listing = self.table.listing(hosts.KIND)
        elif not faults.lag_hosts:
            self._frozen_host_listing = None
        self.faults = faults
        self._wake_watches()

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    @web.middleware
    async def _handle_call(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        if request.path.startswith('/admin/'):
            return await handler(request)
        self._count_call(request)
        if self.faults.delay:
            await asyncio.sleep(self.faults.delay)
        if self.faults.outage:
            raise web.HTTPServiceUnavailable
        if not self._within_limit(request):
            raise web.HTTPTooManyRequests(headers={'Retry-After': '1'})
        try:
            return await handler(request)
        except platform.StoreError as error:
            return _error_response(error)

    def _count_call(self, request: web.Request) -> None:
        kind = request.match_info.get('kind', '')
        call = 'watch' if 'watch' in request.query else request.method.lower()
        self.calls_by_kind[f'{call} {kind}'] += 1

    def _within_limit(self, request: web.Request) -> bool:
        if request.method == 'GET':
            return self._read_bucket.try_acquire(self.faults.reads_per_second)
        return self._write_bucket.try_acquire(self.faults.writes_per_second)

    async def _get_object(self, request: web.Request) -> web.Response:
        stored = self.table.read(
            request.match_info['kind'], request.match_info['name']
        )
        return _json_response(codec.to_document(stored))

    async def _get_collection(
        self, request: web.Request
    ) -> web.StreamResponse:
        if 'watch' in request.query:
            return await self._watch(request)
        listing = tables.select(
            self._visible_listing(request.match_info['kind']),
            _parse_selector(request),
        )
        return _json_response(
            codec.ListDocument(
                codec.Metadata(resource_version=str(listing.version)),
                [codec.to_document(stored) for stored in listing.objects],
            )
        )

    def _visible_listing(self, kind: str) -> platform.Listing:
        if kind == hosts.KIND and self._frozen_host_listing is not None:
            return self._frozen_host_listing
        listing = self.table.listing(kind)
        limit = self.faults.stale_watch_after
        if limit is None:
            return listing
        return platform.Listing(
            min(listing.version, limit),
            tuple(item for item in listing.objects if item.version <= limit),
        )

    async def _write(self, request: web.Request) -> web.Response:
        kind = request.match_info['kind']
        stored = codec.decode_stored(
            kind, _with_default_version(await request.read())
        )
        write = platform.Write(
            kind,
            request.match_info.get('name', stored.name),
            stored.value,
            stored.changes,
            stored.version if request.method == 'PUT' else None,
        )
        self._maybe_lose_request(request)
        result = self.table.write(write)
        self._wake_watches()
        self._maybe_lose_reply(request)
        return _json_response(codec.to_document(result))

    async def _delete(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read())
        version = int(body['preconditions']['resourceVersion'])
        self._maybe_lose_request(request)
        self.table.remove(
            request.match_info['kind'], request.match_info['name'], version
        )
        self._wake_watches()
        self._maybe_lose_reply(request)
        return _json_response(codec.StatusDocument(http.HTTPStatus.OK))

    def _maybe_lose_request(self, request: web.Request) -> None:
        if self.faults.lose_requests > 0:
            remaining = self.faults.lose_requests - 1
            self.faults = msgspec.structs.replace(
                self.faults, lose_requests=remaining
            )
            _drop_connection(request)

    def _maybe_lose_reply(self, request: web.Request) -> None:
        if self.faults.lose_replies > 0:
            remaining = self.faults.lose_replies - 1
            self.faults = msgspec.structs.replace(
                self.faults, lose_replies=remaining
            )
            _drop_connection(request)

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        kind = request.match_info['kind']
        version = int(request.query.get('resourceVersion') or 0)
        pending = self._visible_events(kind, version)
        response = web.StreamResponse()
        await response.prepare(request)
        while not self.faults.outage:
            changed = self._changed
            for event in pending:
                await response.write(_event_line(event))
                version = max(version, event.version)
            if not pending:
                await response.write(_bookmark_line(version))
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    changed.wait(), self._bookmark_interval_s
                )
            try:
                pending = self._visible_events(kind, version)
            except platform.VersionExpired as error:
                await response.write(_expired_line(error))
                return response
        _drop_connection(request)
        return response

    def _visible_events(
        self, kind: str, version: int
    ) -> tuple[platform.WatchEvent, ...]:
        events = self.table.events_after(kind, version)
        limit = self.faults.stale_watch_after
        if limit is None:
            return events
        return tuple(event for event in events if event.version <= limit)

    async def _get_faults(self, request: web.Request) -> web.Response:
        return _json_response(self.faults)

    async def _put_faults(self, request: web.Request) -> web.Response:
        try:
            faults = msgspec.json.decode(
                await request.read(), type=fault_types.Faults
            )
        except msgspec.ValidationError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        self.set_faults(faults)
        return _json_response(faults)

    async def _get_counters(self, request: web.Request) -> web.Response:
        return _json_response(dict(self.calls_by_kind))


def _parse_selector(request: web.Request) -> platform.FieldSelector | None:
    text = request.query.get('fieldSelector')
    if text is None:
        return None
    field, _, value = text.removeprefix('spec.').partition('=')
    return platform.FieldSelector(field, value)


def _with_default_version(body: bytes) -> bytes:
    document = msgspec.json.decode(body)
    metadata = document.setdefault('metadata', {})
    metadata['resourceVersion'] = metadata.get('resourceVersion') or '0'
    return msgspec.json.encode(document)


def _json_response(value: typing.Any) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value), content_type='application/json'
    )


def _error_response(error: platform.StoreError) -> web.Response:
    status = _STATUS_BY_ERROR[type(error)]
    return web.Response(
        status=status,
        body=msgspec.json.encode(
            codec.StatusDocument(status, type(error).__name__, str(error))
        ),
        content_type='application/json',
    )


def _drop_connection(request: web.Request) -> typing.NoReturn:
    if request.transport is not None:
        request.transport.abort()
    raise asyncio.CancelledError


def _event_line(event: platform.WatchEvent) -> bytes:
    name = (
        'DELETED'
        if event.event_type is platform.EventType.DELETED
        else 'MODIFIED'
    )
    document = codec.to_document(event.stored)
    return msgspec.json.encode({'type': name, 'object': document}) + b'\n'


def _expired_line(error: platform.VersionExpired) -> bytes:
    status = codec.StatusDocument(http.HTTPStatus.GONE, 'Expired', str(error))
    return msgspec.json.encode({'type': 'ERROR', 'object': status}) + b'\n'


def _bookmark_line(version: int) -> bytes:
    document = codec.ObjectDocument(
        codec.Metadata(resource_version=str(version))
    )
    return (
        msgspec.json.encode({'type': 'BOOKMARK', 'object': document}) + b'\n'
    )
