"""Keeps the replicas of a host up to date, from relays or the store."""

import asyncio
import collections.abc
import datetime
import functools
import logging
import random

from acaciamoor import clock as clocks
from acaciamoor import load_reports
from acaciamoor import replica as replicas
from acaciamoor import supervision
from acaciamoor.forwarder import store_schema as schemas
from acaciamoor.forwarder.shell import directory_updater as updaters
from acaciamoor.forwarder.shell import discovery
from acaciamoor.forwarder.shell import known_hosts
from acaciamoor.forwarder.shell import limits
from acaciamoor.forwarder.shell import load_exchange
from acaciamoor.forwarder.shell import relay_links
from acaciamoor.forwarder.shell import relay_messages
from acaciamoor.forwarder.shell import relay_server
from acaciamoor.forwarder.shell import sources
from acaciamoor.platform import versions
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
    load_collector : LoadCollector or None
        Counts the load that this host reports; None if it does not report.
    load_picture : LoadPicture or None
        Receives the load of all hosts; None if this host keeps none.
    """

    def __init__(
        self,
        settings: limits.SyncSettings,
        schema: schemas.StoreSchema,
        store: sources.StoreTransports,
        updater: updaters.DirectoryUpdater,
        clock: clocks.Clock,
        random_source: random.Random,
        load_collector: load_reports.LoadCollector | None = None,
        load_picture: load_reports.LoadPicture | None = None,
    ) -> None:
        self._settings = settings
        self._updater = updater
        self._clock = clock
        # Confirmations of an earlier process of this host have other numbers.
        origin = f'{settings.own.host_id}/{random_source.getrandbits(32):x}'
        self._replicas_by_kind = {
            kind: replicas.Replica(kind, origin)
            for kind in settings.get_kinds(schema)
        }
        self._peers = replicas.PeerList(settings.own)
        self._age_limits = settings.get_age_limits(self._peers.search_period)
        self._server = relay_server.RelayServer(
            settings.own, self._replicas_by_kind, self._peers, clock
        )
        self.calls = exposition.Counter(
            'acaciamoor_forwarder_store_calls_total',
            'Calls to the store by kind; failed calls are not repeated here.',
        )
        self._host_list_reader = discovery.HostListReader(
            settings,
            schema,
            store,
            self._peers,
            self._server.publish_peers,
            self.calls,
            clock,
            random_source,
        )
        self._sources = [
            sources.StoreSource(
                replica,
                store,
                self._apply_batch,
                self.calls,
                clock,
                random_source,
            )
            for replica in self._replicas_by_kind.values()
        ]
        self._known_hosts = known_hosts.KnownHosts(
            self._peers, self._server, self._host_list_reader, updater
        )
        self._links = relay_links.RelayLinks(
            settings,
            self._replicas_by_kind,
            self._peers,
            self._on_message,
            self._on_lost_link,
            lambda: self._known_hosts.count_below(clock.monotonic()),
            clock,
            random_source.randrange(1 << 16),
        )
        self._load_exchange: load_exchange.LoadExchange | None = None
        if load_collector is not None and load_picture is not None:
            self._load_exchange = load_exchange.LoadExchange(
                settings.own,
                load_collector,
                load_picture,
                self._peers,
                self._server,
                self._links.send,
                clock,
                self.is_current,
            )
            self._server.on_report = self._load_exchange.receive_from_listener
        # Set if another host was asked for data and has none.
        self._seeds_failed = asyncio.Event()
        self._last_role = replicas.Role.ALONE
        self._last_era: int | None = None

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
        yield 'reading the host list', self._host_list_reader.run
        yield 'sending heartbeats', self._send_heartbeats
        yield 'selecting sources', self._update_sources
        if self._load_exchange is not None:
            yield 'exchanging load reports', self._load_exchange.run

    def _get_seed_wait(self) -> datetime.timedelta:
        settings = self._settings
        if not settings.first_start:
            return limits.SEED_GRACE
        if settings.own.address in settings.seeds:
            return datetime.timedelta(0)
        return self._peers.registration_delay + limits.FIRST_START_GRACE

    def close_connections(self) -> None:
        """Close all connections, which may be dead after a pause.

        The periodic check opens those again that are needed.
        """
        for source in self._sources:
            source.cancel()
        self._links.close()

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
    def load_metrics(self) -> tuple[exposition.Metric, ...]:
        """Metrics of the load reports; empty if this host sends none."""
        if self._load_exchange is None:
            return ()
        return (self._load_exchange.messages,)

    @property
    def listeners(self) -> int:
        """Number of hosts that are connected to this one as listeners."""
        return self._server.listeners

    @property
    def unsent_bytes(self) -> int:
        """Bytes that wait until listeners read them."""
        return self._server.unsent_bytes

    @property
    def kept_changes(self) -> int:
        """Number of changes that the replicas keep for other hosts."""
        return sum(
            item.kept_changes for item in self._replicas_by_kind.values()
        )

    def _apply_batch(
        self,
        replica: replicas.Replica,
        batch: replicas.Batch,
        source: str,
        confirm: collections.abc.Callable[[], bool],
    ) -> None:
        base = replica.version
        events = replica.apply(batch)
        self._record_era(versions.get_era(replica.version), source)
        self._updater.apply(replica, events, source, self._failed_at)
        confirmed = confirm()
        if replica.version != base:
            # Also without events: listeners that stay at an older version
            # would not accept confirmations of this one.
            self._server.publish(replica.kind, replica.changes_since(base))
        elif confirmed:
            self._server.pass_on_confirmation()

    @property
    def _failed_at(self) -> datetime.timedelta | None:
        """Start of the last call to the store that failed, if any has."""
        return max(
            (
                source.failed_at
                for source in self._sources
                if source.failed_at is not None
            ),
            default=None,
        )

    def _record_era(self, era: int, source: str) -> None:
        if self._last_era is not None and era > self._last_era:
            _LOG.warning(
                'the store was restored from an older copy: era %d after %d, '
                'learned from %s',
                era,
                self._last_era,
                source,
            )
            self._host_list_reader.register_again(era)
            for source in self._sources:
                source.check_era(era)
        self._last_era = max(era, self._last_era or 0)

    @property
    def store_era(self) -> int:
        """Era of the newest data from the store; 0 before any arrived."""
        return self._last_era or 0

    async def _send_heartbeats(self) -> None:
        interval = limits.HEARTBEAT_INTERVAL
        while True:
            await asyncio.sleep(
                (interval - self._server.idle_time).total_seconds()
            )
            if self._server.idle_time >= interval:
                self._server.send_heartbeat()

    async def _update_sources(self) -> None:
        while True:
            now = self._clock.monotonic()
            role = self._determine_role(now)
            for source in self._sources:
                source.update_calls(role, self._age_limits, now)
            relays = self._peers.relays(now)
            self._links.update(relays, self._initialized, now)
            self._known_hosts.update(relays, now)
            await asyncio.sleep(limits.SOURCE_CHECK_INTERVAL.total_seconds())

    def _determine_role(self, now: datetime.timedelta) -> replicas.Role:
        role = self._peers.role(now)
        if role is replicas.Role.LISTENER and self._server.listeners:
            # Other hosts use this one as a relay.
            role = replicas.Role.BRANCH
        if role != self._last_role:
            _LOG.info('this host is %s now', role.value)
            self._last_role = role
        return role

    @property
    def _initialized(self) -> bool:
        return all(
            item.initialized for item in self._replicas_by_kind.values()
        )

    def _on_lost_link(self, peer: replicas.Peer) -> None:
        self._known_hosts.forget(peer.address)
        self._stop_waiting_for_seeds()

    def _on_message(
        self,
        peer: replicas.Peer,
        message: replicas.Message,
        delay: datetime.timedelta,
    ) -> None:
        # Ages in the message are those of the time at which it was sent.
        sent_at = self._clock.monotonic() - delay
        if isinstance(message, replicas.Summary):
            # It says nothing of the collections, nor that the relay follows
            # them.
            if self._load_exchange is not None:
                self._load_exchange.receive_from_relay(
                    message, peer.host_id, sent_at
                )
            return
        self._peers.mark_reachable(peer.host_id)
        relay_messages.dispatch(message, self, peer, sent_at)

    def apply_update(
        self,
        update: replicas.Update,
        peer: replicas.Peer,
        sent_at: datetime.timedelta,
    ) -> None:
        """Apply an update that a relay sent at `sent_at` or before."""
        replica = self._replicas_by_kind.get(update.kind)
        if replica is not None:
            self._apply_batch(
                replica,
                update.to_batch(),
                peer.host_id,
                functools.partial(update.progress.confirm, replica, sent_at),
            )

    def apply_heartbeat(
        self,
        beat: replicas.Beat,
        peer: replicas.Peer,
        sent_at: datetime.timedelta,
    ) -> None:
        """Update the ages of the replicas from a heartbeat of a relay."""
        if beat.data_centre == self._settings.own.data_centre:
            self._known_hosts.record_count(peer.address, beat.hosts)
        if not beat.progress_by_kind:
            self._stop_waiting_for_seeds()
        confirmed = False
        for kind, progress in beat.progress_by_kind.items():
            replica = self._replicas_by_kind.get(kind)
            if replica is not None:
                confirmed |= progress.confirm(replica, sent_at)
        if confirmed:
            self._server.pass_on_confirmation()

    def add_peers(self, peers: replicas.Peers) -> None:
        """Add the hosts that a relay knows, and pass on the new ones."""
        self._server.publish_peers(
            self._peers.add(
                (state.to_peer() for state in peers.peers), replace=False
            )
        )

    def _stop_waiting_for_seeds(self) -> None:
        # At the first start of a site the seeds get data a little later, and
        # waiting saves two calls a host. After a power cut callers wait.
        if not self._settings.first_start:
            self._seeds_failed.set()
