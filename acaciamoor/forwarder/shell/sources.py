"""Calls to the store for the copy of one collection."""

import asyncio
import collections.abc
import datetime
import logging
import random

import msgspec

from acaciamoor import clock as clocks
from acaciamoor import platform
from acaciamoor import replica as replicas
from acaciamoor.forwarder.shell import limits
from acaciamoor.forwarder.shell import tasks
from acaciamoor.platform import watching

_LOG = logging.getLogger(__name__)
Apply = collections.abc.Callable[[replicas.Replica, replicas.Batch, str], None]
_STORE = 'store'


class StoreCalls(msgspec.Struct, frozen=True):
    """Transports to the store that differ in how long a call waits.

    Parameters
    ----------
    patient : Transport
        For hosts that watch for themselves alone.
    frequent : Transport
        For relays.
    prompt : Transport
        For calls that return at once.
    """

    patient: platform.Transport
    frequent: platform.Transport
    prompt: platform.Transport


class StoreSource:
    """Owns the calls to the store for a replica.

    Parameters
    ----------
    replica : Replica
        Kept up to date.
    store : StoreCalls
        Transports to the store.
    apply : callable
        Takes a batch for the replica, and the name of its source.
    on_refreshed : callable
        Called when a single call has confirmed the copy.
    clock : Clock
        Source of time.
    random_source : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        replica: replicas.Replica,
        store: StoreCalls,
        apply: Apply,
        on_refreshed: collections.abc.Callable[[], None],
        clock: clocks.Clock,
        random_source: random.Random,
    ) -> None:
        self._replica = replica
        self._store = store
        self._apply = apply
        self._on_refreshed = on_refreshed
        self._clock = clock
        self._random = random_source
        self._calls = replicas.Calls.NONE
        self._task: asyncio.Task[None] | None = None
        self._listed_at: datetime.timedelta | None = None

    async def list_once(self) -> None:
        """Read the collection for a first copy, which may be seconds old.

        Such a listing costs a tenth of another one. The first call for
        changes leads from its version to the newest one.
        """
        replica = self._replica
        try:
            listing = await self._store.patient.read_all(
                replica.kind, stale=True
            )
        except platform.StoreError as error:
            _LOG.warning('first listing of %s: %r', replica.kind, error)
            return
        finally:
            self._listed_at = self._clock.monotonic()
        put = platform.EventType.PUT
        events = tuple(
            platform.WatchEvent(put, stored.version, stored)
            for stored in listing.objects
        )
        self._apply(
            replica,
            replicas.Batch(0, listing.version, events, whole=True),
            _STORE,
        )

    def review(
        self,
        role: replicas.Role,
        age_limits: replicas.AgeLimits,
        now: datetime.timedelta,
    ) -> None:
        """Start and stop calls as the place of the host and the age say."""
        if self._listed_at is None:
            return
        needed = replicas.needed_calls(
            role, self._replica.age(now), now - self._listed_at, age_limits
        )
        if needed == self._calls and not self._ended:
            return
        self.cancel()
        self._calls = needed
        if needed is not replicas.Calls.NONE:
            self._task = tasks.spawn(self._run(needed))

    def cancel(self) -> None:
        """End all calls."""
        if self._task is not None:
            self._task.cancel()
            self._task = None
        self._calls = replicas.Calls.NONE

    @property
    def _ended(self) -> bool:
        return self._task is None or self._task.done()

    async def _run(self, needed: replicas.Calls) -> None:
        replica = self._replica
        transport = {
            replicas.Calls.WATCH: self._store.patient,
            replicas.Calls.WATCH_OFTEN: self._store.frequent,
            replicas.Calls.REFRESH: self._store.prompt,
        }[needed]
        base = replica.version
        watch = watching.ResumingWatch(
            transport,
            replica.kind,
            base,
            platform.Backoff(
                self._random, limits.FIRST_WAIT, limits.LONGEST_WAIT
            ),
            platform.backoff.sleep,
            replica.names,
        )
        events: list[platform.WatchEvent] = []
        async for event in watch.events():
            if event.event_type is not platform.EventType.BOOKMARK:
                events.append(event)
                continue
            batch = replicas.Batch(
                base, event.version, tuple(events), whole=not replica.known
            )
            self._apply(replica, batch, _STORE)
            replica.confirm(event.version, self._clock.monotonic())
            base, events = event.version, []
            if needed is replicas.Calls.REFRESH:
                self._on_refreshed()
                return
