"""Watch that resumes after connection failures."""

import collections.abc
import logging

from acaciamoor.platform import backoff as backoffs
from acaciamoor.platform import errors
from acaciamoor.platform import objects
from acaciamoor.platform import versions

_LOG = logging.getLogger(__name__)
EventIterator = collections.abc.AsyncIterator[objects.WatchEvent]


class ResumingWatch:
    """Watch that resumes after the last delivered version.

    A lagging replica of the platform may repeat delivered changes in a
    resumed watch, or return an outdated listing. Both are dropped, so the
    versions of the delivered bookmarks never decrease, nor do those of other
    events unless listings are delivered whole.

    Parameters
    ----------
    transport : Transport
        Sends the requests.
    kind : str
        Collection to watch.
    after_version : int
        Version after which to start; 0 starts with a listing.
    backoff : Backoff
        Delays between requests.
    sleep : Callable
        Waits for a delay.
    whole_listings : bool
        Whether a listing yields all objects, also those that were delivered
        before, and ends with a complete bookmark. Otherwise it yields changes
        only, and reports objects as deleted that this watch has delivered
        and the listing lacks.
    """

    def __init__(
        self,
        transport: objects.Transport,
        kind: str,
        after_version: int,
        backoff: backoffs.Backoff,
        sleep: backoffs.Sleep,
        whole_listings: bool = False,
    ) -> None:
        self._transport = transport
        self._kind = kind
        self._version = after_version
        self._backoff = backoff
        self._sleep = sleep
        self._needs_listing = after_version == 0
        self._whole_listings = whole_listings
        self._known_names: set[str] = set()
        self._failures = 0

    async def events(self) -> EventIterator:
        """Yield events indefinitely; bookmarks may repeat the last version."""
        while True:
            source = (
                self._list_events
                if self._needs_listing
                else self._stream_events
            )
            try:
                async for event in source():
                    yield event
                if not self._needs_listing:
                    await self._sleep(self._backoff.next_delay())
            except errors.VersionExpired as error:
                _LOG.info(
                    'watch of %s cannot resume after version %s, listing all '
                    'objects: %s',
                    self._kind,
                    versions.format_version(self._version),
                    error or 'its changes are no longer retained',
                )
                self._needs_listing = True
                # The platform responds, so a backoff from an outage ends.
                self._record_success()
                await self._sleep(self._backoff.next_delay())
            except errors.StoreError as error:
                self._record_failure(error)
                await self._sleep(backoffs.delay_after(error, self._backoff))

    async def _stream_events(self) -> EventIterator:
        async for event in self._transport.stream(self._kind, self._version):
            self._record_success()
            if event.event_type is objects.EventType.BOOKMARK:
                if event.version >= self._version:
                    self._version = event.version
                    yield event
            elif event.version > self._version or (
                # Several deletions may have the version of one response.
                event.event_type is objects.EventType.DELETED
                and event.version == self._version
            ):
                self._record_event(event)
                yield event

    async def _list_events(self) -> EventIterator:
        listing = await self._transport.read_all(self._kind)
        self._record_success()
        if listing.version < self._version:
            raise errors.Unavailable(
                f'{self._kind}: the listing is older than version '
                f'{versions.format_version(self._version)}'
            )
        names = {stored.name for stored in listing.objects}
        for stored in sorted(listing.objects, key=lambda item: item.version):
            if self._whole_listings or stored.version > self._version:
                yield objects.WatchEvent(
                    objects.EventType.PUT, stored.version, stored
                )
        if not self._whole_listings:
            for event in self._find_deletions(names, listing.version):
                yield event
        self._known_names = names
        self._version = listing.version
        self._needs_listing = False
        yield objects.WatchEvent(
            objects.EventType.BOOKMARK,
            self._version,
            complete=self._whole_listings,
            transfer_time=listing.transfer_time,
        )

    def _find_deletions(
        self, names: set[str], version: int
    ) -> collections.abc.Iterator[objects.WatchEvent]:
        for name in sorted(self._known_names - names):
            stored = objects.StoredObject(self._kind, name, version, {})
            yield objects.WatchEvent(
                objects.EventType.DELETED, version, stored
            )

    def _record_failure(self, error: errors.StoreError) -> None:
        # Only the first failure and the recovery are logged, so that the log
        # volume does not grow with the number of retries.
        if not self._failures:
            _LOG.warning(
                'watch of %s failed at version %s: %r',
                self._kind,
                versions.format_version(self._version),
                error,
            )
        self._failures += 1

    def _record_success(self) -> None:
        self._backoff.reset()
        if self._failures:
            _LOG.info(
                'watch of %s is back at version %s after %d failures',
                self._kind,
                versions.format_version(self._version),
                self._failures,
            )
        self._failures = 0

    def _record_event(self, event: objects.WatchEvent) -> None:
        self._version = event.version
        if event.stored is None:
            return
        if event.event_type is objects.EventType.DELETED:
            self._known_names.discard(event.stored.name)
        else:
            self._known_names.add(event.stored.name)
