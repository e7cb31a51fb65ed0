"""Calls to the store that keep one replica up to date."""

import asyncio
import collections.abc
import contextlib
import datetime
import functools
import logging
import random

import msgspec

from acaciamoor import clock as clocks
from acaciamoor import platform
from acaciamoor import replica as replicas
from acaciamoor import supervision
from acaciamoor.forwarder.shell import limits
from acaciamoor.platform import versions
from acaciamoor.platform import watching
from acaciamoor.telemetry import exposition

_LOG = logging.getLogger(__name__)
ApplyBatch = collections.abc.Callable[
    [
        replicas.Replica,
        replicas.Batch,
        str,
        collections.abc.Callable[[], bool],
    ],
    None,
]
_STORE = 'store'
_SEED_POLL_INTERVAL = datetime.timedelta(milliseconds=10)


class StoreTransports(msgspec.Struct, frozen=True):
    """Transports to the store, which differ in how long a call waits.

    Parameters
    ----------
    watch : Transport
        For long polls of hosts that use no relays, and for single reads and
        writes.
    relay : Transport
        For short polls of relays.
    refresh : Transport
        For calls that return the existing changes at once.
    """

    watch: platform.Transport
    relay: platform.Transport
    refresh: platform.Transport


class _ObservedTransport:
    """Transport of one source that records how its calls end.

    After a call that was cut off, calls ask without a wait until the store
    responds. The store may have been restored from an older copy meanwhile
    and have given the revision that a call waits after to another change.
    Only the era in its response shows that, and with a wait it would not
    respond before the wait ends.
    """

    def __init__(
        self,
        transport: platform.Transport,
        refresh: platform.Transport,
        source: 'StoreSource',
    ) -> None:
        self._transport = transport
        self._refresh = refresh
        self._source = source

    async def read_all(self, kind: str) -> platform.Listing:
        """Return the objects of a kind."""
        with self._source.observe_call():
            listing = await self._transport.read_all(kind)
            self._source.record_response()
            return listing

    async def stream(
        self, kind: str, after_version: int
    ) -> collections.abc.AsyncIterator[platform.WatchEvent]:
        """Yield the changes of one call, then a bookmark."""
        stream = self._stream
        if self._source.was_cut_off and self._transport is not self._refresh:
            stream = self._stream_without_wait
        with self._source.observe_call():
            async for event in stream(kind, after_version):
                self._source.record_response()
                yield event

    def _stream(
        self, kind: str, after_version: int
    ) -> collections.abc.AsyncIterator[platform.WatchEvent]:
        return self._transport.stream(kind, after_version)

    async def _stream_without_wait(
        self, kind: str, after_version: int
    ) -> collections.abc.AsyncIterator[platform.WatchEvent]:
        try:
            async for event in self._refresh.stream(kind, after_version):
                yield event
        except platform.TimedOut as error:
            # The timeout of a waiting call spaces out the attempts, this
            # one is too short for that: the backoff has to grow instead.
            raise platform.Unavailable(str(error)) from error


class StoreSource:
    """Calls the store to keep a replica up to date.

    Parameters
    ----------
    replica : Replica
        Replica to update.
    store : StoreTransports
        Transports to the store.
    apply : callable
        Called with the replica, a batch, the name of its source, and what
        confirms the replica afterwards.
    calls : Counter
        Counts the calls by kind.
    clock : Clock
        Source of time.
    random_source : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        replica: replicas.Replica,
        store: StoreTransports,
        apply: ApplyBatch,
        calls: exposition.Counter,
        clock: clocks.Clock,
        random_source: random.Random,
    ) -> None:
        self._replica = replica
        self._store = store
        self._apply = apply
        self._calls = calls
        self._clock = clock
        self._random = random_source
        self._call_mode = replicas.CallMode.NONE
        self._task: asyncio.Task[None] | None = None
        self._listed_at: datetime.timedelta | None = None
        # Start of the last call that failed.
        self.failed_at: datetime.timedelta | None = None
        # Whether the last call failed or was cancelled.
        self.was_cut_off = False

    @contextlib.contextmanager
    def observe_call(self) -> collections.abc.Iterator[None]:
        """Record that a call was cut off, and its start if it failed.

        A lost history is no failure: the store responds.
        """
        started_at = self._clock.monotonic()
        try:
            yield
        except platform.VersionExpired:
            self.record_response()
            raise
        except platform.StoreError:
            self.failed_at = started_at
            self.was_cut_off = True
            raise
        except asyncio.CancelledError:
            self.was_cut_off = True
            raise

    def record_response(self) -> None:
        """Record that the store has responded to the last call."""
        self.was_cut_off = False

    async def read_initial_listing(
        self, seed_wait: datetime.timedelta, seeds_failed: asyncio.Event
    ) -> None:
        """Fill the replica from the store, unless a seed does so at once.

        The listing is a consistent one. From one that is seconds old, a host
        that starts would use upstreams that have left, and routes that were
        withdrawn, until its first call for changes.

        Parameters
        ----------
        seed_wait : datetime.timedelta
            Time to wait for data from another host.
        seeds_failed : Event
            Set if another host was asked and has no data.
        """
        replica = self._replica
        if await self._is_confirmed_within(seed_wait, seeds_failed):
            self._listed_at = self._clock.monotonic()
            return
        sent_at = self._clock.monotonic()
        self._calls.add(call='list', kind=replica.kind)
        try:
            transport = self._observe(self._store.watch)
            listing = await transport.read_all(replica.kind)
        except platform.StoreError as error:
            _LOG.warning('first listing of %s failed: %r', replica.kind, error)
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
            replicas.Batch(0, listing.version, events, snapshot=True),
            _STORE,
            functools.partial(
                replica.confirm_by_store, listing.version, sent_at
            ),
        )

    async def _is_confirmed_within(
        self, wait: datetime.timedelta, seeds_failed: asyncio.Event
    ) -> bool:
        """Wait for data from another host; return whether it arrived."""
        end = self._clock.monotonic() + wait
        while self._clock.monotonic() < end and not seeds_failed.is_set():
            if self._replica.age(self._clock.monotonic()) is not None:
                return True
            await asyncio.sleep(_SEED_POLL_INTERVAL.total_seconds())
        return self._replica.age(self._clock.monotonic()) is not None

    def update_calls(
        self,
        role: replicas.Role,
        age_limits: replicas.AgeLimits,
        now: datetime.timedelta,
    ) -> None:
        """Start or stop calls as the role of the host and the age require."""
        if self._listed_at is None:
            return
        mode = replicas.select_call_mode(
            role, self._replica.age(now), now - self._listed_at, age_limits
        )
        if mode == self._call_mode and not self._ended:
            return
        self.cancel()
        self._call_mode = mode
        if mode is not replicas.CallMode.NONE:
            self._task = supervision.spawn(self._run(mode))

    def cancel(self) -> None:
        """Cancel the calls in progress."""
        if self._task is not None:
            self._task.cancel()
            self._task = None
        self._call_mode = replicas.CallMode.NONE

    def check_era(self, era: int) -> None:
        """Ask again, without a wait, if the replica is of an earlier era.

        A call that was sent after the store was restored waits for changes
        after a version of the earlier era, and no failure shows it.

        Parameters
        ----------
        era : int
            Era of the store, as another replica shows.
        """
        waits = self._call_mode in (
            replicas.CallMode.WATCH,
            replicas.CallMode.WATCH_OFTEN,
        )
        if waits and versions.get_era(self._replica.version) < era:
            # The periodic check starts the calls again.
            self.cancel()
            self.was_cut_off = True

    @property
    def _ended(self) -> bool:
        return self._task is None or self._task.done()

    def _observe(self, transport: platform.Transport) -> _ObservedTransport:
        return _ObservedTransport(transport, self._store.refresh, self)

    async def _run(self, mode: replicas.CallMode) -> None:
        replica = self._replica
        transport = {
            replicas.CallMode.WATCH: self._store.watch,
            replicas.CallMode.WATCH_OFTEN: self._store.relay,
            replicas.CallMode.REFRESH: self._store.refresh,
        }[mode]
        base = replica.version
        watch = watching.ResumingWatch(
            self._observe(transport),
            replica.kind,
            base,
            platform.Backoff(
                self._random, limits.INITIAL_BACKOFF, limits.MAX_BACKOFF
            ),
            platform.backoff.sleep,
            whole_listings=True,
        )
        events: list[platform.WatchEvent] = []
        self._calls.add(call=mode.value, kind=replica.kind)
        async for event in watch.events():
            if event.event_type is not platform.EventType.BOOKMARK:
                events.append(event)
                continue
            # Other hosts may have objects from after `base` that this one
            # never had; only a snapshot removes these.
            batch = replicas.Batch(
                0 if event.complete else base,
                event.version,
                tuple(events),
                snapshot=event.complete,
            )
            self._apply(
                replica,
                batch,
                _STORE,
                functools.partial(
                    replica.confirm_by_store,
                    event.version,
                    self._clock.monotonic() - event.transfer_time,
                ),
            )
            if mode is replicas.CallMode.REFRESH:
                return
            base, events = event.version, []
            self._calls.add(call=mode.value, kind=replica.kind)
