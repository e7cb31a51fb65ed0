"""A watch that outlives its connections."""

import collections.abc
import logging

from acaciamoor.platform import backoff as backoffs
from acaciamoor.platform import errors
from acaciamoor.platform import objects

_LOG = logging.getLogger(__name__)
Events = collections.abc.AsyncIterator[objects.WatchEvent]


class ResumingWatch:
    """Resumes after the last version seen and never goes back.

    A replica of the platform that lags may answer a resumed watch with
    changes that were delivered before, or a listing with an older version.
    Both are dropped, so the versions that are delivered only grow.

    Parameters
    ----------
    transport : Transport
        Makes the calls.
    kind : str
        Collection to watch.
    after_version : int
        Last version that the caller knows; 0 starts with a listing.
    backoff : Backoff
        Waiting times after a connection has failed.
    sleep : Callable
        Waits.
    known_names : iterable of str
        Objects that the caller knows at `after_version`.
    """

    def __init__(
        self,
        transport: objects.Transport,
        kind: str,
        after_version: int,
        backoff: backoffs.Backoff,
        sleep: backoffs.Sleep,
        known_names: collections.abc.Iterable[str] = (),
    ) -> None:
        self._transport = transport
        self._kind = kind
        self._version = after_version
        self._backoff = backoff
        self._sleep = sleep
        self._list_next = after_version == 0
        self._known_names = set(known_names)
        self._failures = 0

    async def events(self) -> Events:
        """Yield changes for ever; bookmarks may repeat the last version."""
        while True:
            source = self._relisted if self._list_next else self._streamed
            try:
                async for event in source():
                    yield event
                if not self._list_next:
                    await self._sleep(self._backoff.next_wait())
            except errors.VersionExpired:
                _LOG.info(
                    'watch of %s: changes after version %d are no longer '
                    'held; listing all',
                    self._kind,
                    self._version,
                )
                self._list_next = True
                # The platform answers, so the waits of an outage are over.
                self._note_success()
                await self._sleep(self._backoff.next_wait())
            except errors.StoreError as error:
                self._note_failure(error)
                await self._sleep(backoffs.wait_after(error, self._backoff))

    async def _streamed(self) -> Events:
        async for event in self._transport.stream(self._kind, self._version):
            self._note_success()
            if event.event_type is objects.EventType.BOOKMARK:
                if event.version >= self._version:
                    self._version = event.version
                    yield event
            elif event.version > self._version or (
                # Several objects may be gone at the version of one answer.
                event.event_type is objects.EventType.DELETED
                and event.version == self._version
            ):
                self._note(event)
                yield event

    async def _relisted(self) -> Events:
        listing = await self._transport.read_all(self._kind)
        self._note_success()
        if listing.version < self._version:
            raise errors.Unavailable(
                f'{self._kind}: the listing is older than version '
                f'{self._version}'
            )
        seen = self._version
        names = {stored.name for stored in listing.objects}
        for stored in sorted(listing.objects, key=lambda item: item.version):
            if stored.version > seen:
                event = objects.WatchEvent(
                    objects.EventType.PUT, stored.version, stored
                )
                self._note(event)
                yield event
        for name in sorted(self._known_names - names):
            stored = objects.StoredObject(
                self._kind, name, listing.version, {}
            )
            yield objects.WatchEvent(
                objects.EventType.DELETED, listing.version, stored
            )
        self._known_names = names
        self._version = listing.version
        self._list_next = False
        yield objects.WatchEvent(objects.EventType.BOOKMARK, self._version)

    def _note_failure(self, error: errors.StoreError) -> None:
        # One line for each loss and each return keeps the volume bounded
        # however often calls are repeated.
        if not self._failures:
            _LOG.warning(
                'watch of %s failed at version %d: %r',
                self._kind,
                self._version,
                error,
            )
        self._failures += 1

    def _note_success(self) -> None:
        self._backoff.reset()
        if self._failures:
            _LOG.info(
                'watch of %s is back at version %d after %d failures',
                self._kind,
                self._version,
                self._failures,
            )
        self._failures = 0

    def _note(self, event: objects.WatchEvent) -> None:
        self._version = event.version
        if event.stored is None:
            return
        if event.event_type is objects.EventType.DELETED:
            self._known_names.discard(event.stored.name)
        else:
            self._known_names.add(event.stored.name)
