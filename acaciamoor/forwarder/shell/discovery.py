"""Finds the other hosts of the site, through the host list of the store."""

import asyncio
import collections.abc
import datetime
import logging
import random

from acaciamoor import clock as clocks
from acaciamoor import platform
from acaciamoor import replica as replicas
from acaciamoor.forwarder import store_schema as schemas
from acaciamoor.forwarder.shell import limits
from acaciamoor.forwarder.shell import sources
from acaciamoor.platform import versions
from acaciamoor.telemetry import exposition

_LOG = logging.getLogger(__name__)


class HostListReader:
    """Registers this host in the store and reads who else has registered.

    Hosts tell each other of the hosts that they know, so few of them need the
    list: those that relay, so that groups which do not know each other join;
    those that may have to register; and those that can reach no relay.

    Parameters
    ----------
    settings : SyncSettings
        Settings of the synchronization.
    schema : StoreSchema
        Layout of the objects in the store.
    store : StoreTransports
        Transports to the store.
    peers : PeerList
        Known hosts; those in the list are added.
    on_found : callable
        Called with the hosts that were not known before.
    calls : Counter
        Counts the calls by kind.
    clock : Clock
        Source of time.
    random_source : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        settings: limits.SyncSettings,
        schema: schemas.StoreSchema,
        store: sources.StoreTransports,
        peers: replicas.PeerList,
        on_found: collections.abc.Callable[[list[replicas.Peer]], None],
        calls: exposition.Counter,
        clock: clocks.Clock,
        random_source: random.Random,
    ) -> None:
        self._settings = settings
        self._schema = schema
        self._store = store
        self._peers = peers
        self._on_found = on_found
        self._calls = calls
        self._clock = clock
        self._random = random_source
        self._started_at = clock.monotonic()
        self._registered = False
        self._store_era = 0
        # Start of the last read of the list that succeeded.
        self._read_at: datetime.timedelta | None = None

    @property
    def has_read(self) -> bool:
        """Whether the list was read."""
        return self._read_at is not None

    @property
    def has_searched(self) -> bool:
        """Whether hosts that started with this one had time to register."""
        return (
            self._read_at is not None
            and self._read_at - self._started_at >= self._peers.search_period
        )

    def register_again(self, store_era: int) -> None:
        """Check the entry of this host, which a restored store may lack.

        Parameters
        ----------
        store_era : int
            Era of the restored store. Stale listings of earlier eras do not
            show whether the entry is still there.
        """
        self._registered = False
        self._store_era = store_era

    async def run(self) -> None:
        """Read the host list from time to time until cancelled."""
        interval = limits.INITIAL_HOST_LIST_INTERVAL
        await asyncio.sleep(self._get_first_delay().total_seconds())
        while True:
            now = self._clock.monotonic()
            if self._needs_list(now):
                try:
                    await self._read_list()
                except platform.StoreError as error:
                    _LOG.info(
                        'reading or writing the host list failed: %r', error
                    )
                    await asyncio.sleep(
                        limits.HOST_LIST_RETRY_DELAY.total_seconds()
                    )
                    continue
            if self._peers.has_lost_relays(now):
                interval = limits.INITIAL_HOST_LIST_INTERVAL
            elif self._peers.relays(now):
                interval = max(interval, limits.HOST_LIST_INTERVAL_WITH_RELAYS)
            jitter = 0.5 + self._random.random()
            await asyncio.sleep(interval.total_seconds() * jitter)
            interval = min(2 * interval, limits.MAX_HOST_LIST_INTERVAL)

    def _get_first_delay(self) -> datetime.timedelta:
        delay = limits.FIRST_HOST_LIST_DELAY
        if self._settings.first_start:
            # Before, no one has anything to find in the list.
            delay += self._peers.registration_delay
        return delay + self._random.random() * limits.FIRST_READ_JITTER

    def _needs_list(self, now: datetime.timedelta) -> bool:
        if self._peers.role(now) in (
            replicas.Role.LISTENER,
            replicas.Role.BRANCH,
        ) and not self._peers.has_lost_relays(now):
            return self._may_register(now)
        return True

    def _may_register(self, now: datetime.timedelta) -> bool:
        return not self._registered and self._peers.needs_registration(now)

    async def _read_list(self) -> None:
        # Entries that were written just now decide who registers, unless the
        # hosts know of each other already.
        now = self._clock.monotonic()
        searching = (
            self._settings.first_start
            and now - self._started_at < self._peers.search_period
            and not self._peers.relays(now)
        )
        kind = self._schema.hosts_kind
        self._calls.add(call='list', kind=kind)
        listing = await self._store.watch.read_all(kind, stale=not searching)
        found = (
            self._schema.decode_host(stored) for stored in listing.objects
        )
        self._on_found(
            self._peers.add(peer for peer in found if peer is not None)
        )
        self._read_at = now
        if self._may_register(self._clock.monotonic()):
            self._registered = await self._register(listing)

    async def _register(self, listing: platform.Listing) -> bool:
        if versions.get_era(listing.version) < self._store_era:
            return False
        own = self._settings.own
        value = self._schema.encode_host(own)
        version = None
        for stored in listing.objects:
            if stored.name == own.host_id:
                if stored.value == value:
                    return True
                version = stored.version
        write = platform.Write(
            self._schema.hosts_kind, own.host_id, value, (), version
        )
        self._calls.add(call='write', kind=write.kind)
        try:
            await self._store.watch.write(write)
        except platform.Conflict:
            # The listing was stale; the next one is used instead.
            return False
        return True
