"""Keeps the replicas of a host up to date, from relays or the store."""

import asyncio
import collections.abc
import datetime
import functools
import logging
import random

from acaciamoor import clock as clocks
from acaciamoor import model
from acaciamoor import platform
from acaciamoor import replica as replicas
from acaciamoor import supervision
from acaciamoor.forwarder import store_schema as schemas
from acaciamoor.forwarder.shell import adoption as adoptions
from acaciamoor.forwarder.shell import limits
from acaciamoor.forwarder.shell import relay_link
from acaciamoor.forwarder.shell import relay_server
from acaciamoor.forwarder.shell import sources
from acaciamoor.telemetry import exposition

_LOG = logging.getLogger(__name__)


class StoreSynchronizer:
    """Synchronizes the replicas of a host with the store.

    Parameters
    ----------
    settings : SyncSettings
        Settings of the synchronization.
    schema : StoreSchema
        Layout of the objects in the store.
    store : StoreTransports
        Transports with the limits `watch_calls`, `relay_calls` and
        `refresh_calls` of the settings.
    updater : DirectoryUpdater
        Applies changes to the directory.
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
        updater: adoptions.DirectoryUpdater,
        clock: clocks.Clock,
        random_source: random.Random,
    ) -> None:
        self._settings = settings
        self._schema = schema
        self._store = store
        self._updater = updater
        self._clock = clock
        self._random = random_source
        self._replicas_by_kind = {
            kind: replicas.Replica(kind)
            for kind in (schema.routes_kind, schema.upstreams_kind)
        }
        self._peers = replicas.PeerList(settings.own)
        self._age_limits = settings.get_age_limits(self._peers.search_period)
        self._server = relay_server.RelayServer(
            settings.own.address, self._replicas_by_kind, clock
        )
        self.calls = exposition.Counter(
            'acaciamoor_forwarder_store_calls_total',
            'Calls to the store by kind; failed calls are not repeated here.',
        )
        self._sources = [
            sources.StoreSource(
                replica,
                store,
                self._apply_batch,
                self._server.send_heartbeat,
                self.calls,
                clock,
                random_source,
            )
            for replica in self._replicas_by_kind.values()
        ]
        self._started_at = clock.monotonic()
        self._first_seed = random_source.randrange(1 << 16)
        self._failed_links = 0
        # Set if another host was asked for data and has none.
        self._seeds_failed = asyncio.Event()
        self._links_by_peer: dict[replicas.Peer, asyncio.Task[None]] = {}
        self._last_role = replicas.Role.ALONE

    async def run(self) -> None:
        """Synchronize until cancelled."""
        await self._server.start()
        try:
            async with asyncio.TaskGroup() as group:
                for name, run in self._tasks():
                    group.create_task(supervision.supervise(name, run))
        finally:
            self._server.close()
            self.close_connections()

    def _tasks(
        self,
    ) -> collections.abc.Iterator[
        tuple[
            str,
            collections.abc.Callable[
                [], collections.abc.Coroutine[object, object, None]
            ],
        ]
    ]:
        for source in self._sources:
            yield (
                'the first listing',
                functools.partial(
                    source.read_initial_listing,
                    self._get_seed_wait(),
                    self._seeds_failed,
                ),
            )
        yield 'reading the host list', self._poll_host_list
        yield 'sending heartbeats', self._send_heartbeats
        yield 'selecting sources', self._update_sources

    def _get_seed_wait(self) -> datetime.timedelta:
        delay = self._peers.registration_delay
        if self._settings.first_start and delay:
            return delay + limits.FIRST_START_GRACE
        return limits.SEED_GRACE

    def close_connections(self) -> None:
        """Close all connections, which may be dead after a pause.

        The periodic check opens those again that are needed.
        """
        for source in self._sources:
            source.cancel()
        for task in self._links_by_peer.values():
            task.cancel()
        self._links_by_peer.clear()

    def age(self) -> datetime.timedelta | None:
        """Return the largest age of the replicas; None if one has no age."""
        now = self._clock.monotonic()
        ages = [item.age(now) for item in self._replicas_by_kind.values()]
        return None if None in ages else max(ages)

    def is_current(self) -> bool:
        """Return whether the store confirmed the replicas lately."""
        age = self.age()
        return age is not None and age <= self._settings.change_bound

    @property
    def listeners(self) -> int:
        """Number of hosts that are connected to this one as listeners."""
        return self._server.listeners

    def _apply_batch(
        self, replica: replicas.Replica, batch: replicas.Batch, source: str
    ) -> None:
        base = replica.version
        events = replica.apply(batch)
        self._updater.apply(replica, events, source)
        if replica.version != base:
            # Also without events: listeners that stay at an older version
            # would not accept confirmations of this one.
            self._server.publish(
                replica.kind,
                replicas.Batch(
                    base,
                    replica.version,
                    tuple(events),
                    # Hosts may have connected before there was any data.
                    snapshot=not base,
                ),
            )

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(limits.HEARTBEAT_INTERVAL.total_seconds())
            self._server.send_heartbeat()

    async def _update_sources(self) -> None:
        while True:
            now = self._clock.monotonic()
            role = self._determine_role(now)
            for source in self._sources:
                source.update_calls(role, self._age_limits, now)
            self._update_links(self._peers.relays(now), now)
            await asyncio.sleep(limits.SOURCE_CHECK_INTERVAL.total_seconds())

    def _determine_role(self, now: datetime.timedelta) -> replicas.Role:
        role = self._peers.role(now)
        if role is replicas.Role.LISTENER and self._server.listeners:
            # Other hosts use this one as a relay.
            role = replicas.Role.STANDBY
        if role != self._last_role:
            _LOG.info('this host is %s now', role.value)
            self._last_role = role
        return role

    def _update_links(
        self, relays: tuple[replicas.Peer, ...], now: datetime.timedelta
    ) -> None:
        wanted = set(relays)
        if not all(
            item.initialized for item in self._replicas_by_kind.values()
        ):
            wanted = self._select_initial_peers(now)
        wanted.discard(self._settings.own)
        for peer in self._links_by_peer.keys() - wanted:
            self._links_by_peer.pop(peer).cancel()
        for peer in wanted - self._links_by_peer.keys():
            self._links_by_peer[peer] = supervision.spawn(self._run_link(peer))

    def _select_initial_peers(
        self, now: datetime.timedelta
    ) -> set[replicas.Peer]:
        """Return the hosts to ask for whole collections.

        At first it is a single one, since every host that is asked sends both
        collections.
        """
        fallback_peers = self._peers.fallback_peers(now)
        elapsed = now - self._started_at
        if elapsed < limits.SINGLE_SOURCE_PERIOD and fallback_peers:
            return set(fallback_peers[:1])
        if fallback_peers:
            return set(fallback_peers)
        seeds = self._seed_peers()
        if not seeds:
            return set()
        # Hosts start with different seeds, and go on to the next one if theirs
        # is down or has no data either.
        turn = self._failed_links + elapsed // limits.SEED_TURN
        return {seeds[(self._first_seed + turn) % len(seeds)]}

    def _seed_peers(self) -> list[replicas.Peer]:
        own = self._settings.own
        return [
            replicas.Peer(model.HostId(str(address)), own.data_centre, address)
            for address in self._settings.seeds
            if address != own.address
        ]

    async def _run_link(self, peer: replicas.Peer) -> None:
        link = relay_link.RelayLink(
            self._settings.own.host_id,
            peer,
            self._replicas_by_kind,
            self._on_message,
        )
        try:
            await link.run()
        except (OSError, EOFError, replicas.MessageError) as error:
            _LOG.info('relay %s is lost: %r', peer.host_id, error)
            self._failed_links += 1
            self._stop_waiting_for_seeds()
            self._peers.mark_unreachable(peer.host_id, self._clock.monotonic())
        finally:
            if self._links_by_peer.get(peer) is asyncio.current_task():
                del self._links_by_peer[peer]

    def _on_message(
        self, peer: replicas.Peer, message: replicas.Message
    ) -> None:
        now = self._clock.monotonic()
        self._peers.mark_reachable(peer.host_id)
        _handle_message(message, self, peer, now)

    def apply_update(
        self,
        update: replicas.Update,
        peer: replicas.Peer,
        now: datetime.timedelta,
    ) -> None:
        """Apply an update from a relay."""
        replica = self._replicas_by_kind.get(update.kind)
        if replica is not None:
            self._apply_batch(replica, update.to_batch(), peer.host_id)
            _confirm(replica, update.version, update.age, now)

    def apply_heartbeat(
        self, beat: replicas.Beat, now: datetime.timedelta
    ) -> None:
        """Update the ages of the replicas from a heartbeat of a relay."""
        if not beat.progress_by_kind:
            self._stop_waiting_for_seeds()
        for kind, progress in beat.progress_by_kind.items():
            replica = self._replicas_by_kind.get(kind)
            if replica is not None:
                _confirm(replica, progress.version, progress.age, now)

    def _stop_waiting_for_seeds(self) -> None:
        # At the first start of a site the seeds get data a little later, and
        # waiting saves two calls a host. After a power cut callers wait.
        if not self._settings.first_start:
            self._seeds_failed.set()

    async def _poll_host_list(self) -> None:
        registered = False
        peers = self._peers
        started_at = now = self._clock.monotonic()
        register_at = started_at + peers.registration_delay
        interval = limits.INITIAL_HOST_LIST_INTERVAL
        if self._settings.first_start and peers.registration_delay:
            # Until then, no one has anything to find in the list.
            jitter = self._random.random() * limits.FIRST_READ_JITTER
            await asyncio.sleep(
                (peers.registration_delay + jitter).total_seconds()
            )
        while True:
            # Entries that were written just now decide who registers.
            searching = (
                self._settings.first_start
                and now - started_at < peers.search_period
            )
            try:
                self.calls.add(call='list', kind=self._schema.hosts_kind)
                listing = await self._store.watch.read_all(
                    self._schema.hosts_kind, stale=not searching
                )
                self._update_peers(listing)
                now = self._clock.monotonic()
                if (
                    not registered
                    and now >= register_at
                    and peers.needs_registration(now)
                ):
                    registered = await self._register(listing)
            except platform.StoreError as error:
                _LOG.info('reading or writing the host list failed: %r', error)
                await asyncio.sleep(
                    limits.HOST_LIST_RETRY_DELAY.total_seconds()
                )
                continue
            if peers.has_lost_relays(now):
                interval = limits.INITIAL_HOST_LIST_INTERVAL
            elif peers.relays(now):
                interval = max(interval, limits.HOST_LIST_INTERVAL_WITH_RELAYS)
            jitter = 0.5 + self._random.random()
            await asyncio.sleep(interval.total_seconds() * jitter)
            interval = min(2 * interval, limits.MAX_HOST_LIST_INTERVAL)

    def _update_peers(self, listing: platform.Listing) -> None:
        found = (
            self._schema.decode_host(stored) for stored in listing.objects
        )
        self._peers.replace(peer for peer in found if peer is not None)

    async def _register(self, listing: platform.Listing) -> bool:
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
        self.calls.add(call='write', kind=write.kind)
        try:
            await self._store.watch.write(write)
        except platform.Conflict:
            # The listing was stale; the next one is used instead.
            return False
        return True


def _confirm(
    replica: replicas.Replica,
    version: int,
    age_seconds: float,
    now: datetime.timedelta,
) -> None:
    age = replicas.messages.decode_age(age_seconds)
    if age is not None:
        replica.confirm(version, now - age)


@functools.singledispatch
def _handle_message(
    message: replicas.Message,
    synchronizer: StoreSynchronizer,
    peer: replicas.Peer,
    now: datetime.timedelta,
) -> None:
    _LOG.warning(
        'relay %s sent an unexpected %s message',
        peer.host_id,
        type(message).__name__,
    )


@_handle_message.register
def _apply_update(
    message: replicas.Update,
    synchronizer: StoreSynchronizer,
    peer: replicas.Peer,
    now: datetime.timedelta,
) -> None:
    synchronizer.apply_update(message, peer, now)


@_handle_message.register
def _apply_heartbeat(
    message: replicas.Beat,
    synchronizer: StoreSynchronizer,
    peer: replicas.Peer,
    now: datetime.timedelta,
) -> None:
    synchronizer.apply_heartbeat(message, now)
