"""Keeps the collections of a host up to date, from relays or the store."""

import asyncio
import datetime
import functools
import logging
import random

from acaciamoor import clock as clocks
from acaciamoor import model
from acaciamoor import platform
from acaciamoor import replica as replicas
from acaciamoor.forwarder import catalogue as catalogues
from acaciamoor.forwarder.shell import adoption as adoptions
from acaciamoor.forwarder.shell import limits
from acaciamoor.forwarder.shell import relay_link
from acaciamoor.forwarder.shell import relay_server
from acaciamoor.forwarder.shell import sources
from acaciamoor.forwarder.shell import tasks

_LOG = logging.getLogger(__name__)


class Following:
    """Owns the replicas and all their sources.

    Parameters
    ----------
    settings : FollowingSettings
        How collections are followed.
    catalogue : Catalogue
        Kinds of the objects.
    store : StoreCalls
        Transports with the limits `patient_calls`, `frequent_calls` and
        `prompt_calls` of the settings.
    adoption : Adoption
        Puts changes in force.
    clock : Clock
        Source of time.
    random_source : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        settings: limits.FollowingSettings,
        catalogue: catalogues.Catalogue,
        store: sources.StoreCalls,
        adoption: adoptions.Adoption,
        clock: clocks.Clock,
        random_source: random.Random,
    ) -> None:
        self._settings = settings
        self._catalogue = catalogue
        self._store = store
        self._adoption = adoption
        self._clock = clock
        self._random = random_source
        self._replicas_by_kind = {
            kind: replicas.Replica(kind)
            for kind in (catalogue.routes_kind, catalogue.upstreams_kind)
        }
        self._peers = replicas.PeerList(settings.own)
        self._server = relay_server.RelayServer(
            settings.own.address, self._replicas_by_kind, clock
        )
        self._sources = [
            sources.StoreSource(
                replica,
                store,
                self._apply,
                self._server.beat,
                clock,
                random_source,
            )
            for replica in self._replicas_by_kind.values()
        ]
        self._links_by_peer: dict[replicas.Peer, asyncio.Task[None]] = {}
        self._last_role = replicas.Role.ALONE

    async def run(self) -> None:
        """Follow until cancelled."""
        await self._server.start()
        try:
            async with asyncio.TaskGroup() as group:
                for source in self._sources:
                    group.create_task(source.list_once())
                group.create_task(self._follow_hosts())
                group.create_task(self._beat())
                group.create_task(self._review())
        finally:
            self._server.close()
            self.restart()

    def restart(self) -> None:
        """Give up all connections, which may be dead after a pause."""
        for source in self._sources:
            source.cancel()
        for task in self._links_by_peer.values():
            task.cancel()
        self._links_by_peer.clear()

    def age(self) -> datetime.timedelta | None:
        """Return the age of the older collection; None if one is unknown."""
        now = self._clock.monotonic()
        ages = [item.age(now) for item in self._replicas_by_kind.values()]
        return None if None in ages else max(ages)

    @property
    def listeners(self) -> int:
        """Number of hosts that listen to this one."""
        return self._server.listeners

    def _apply(
        self, replica: replicas.Replica, batch: replicas.Batch, source: str
    ) -> None:
        base = replica.version
        events = replica.apply(batch)
        self._adoption.take(replica, events, source)
        if replica.version != base:
            # Also without events: listeners that stay at an older version
            # would find it unconfirmed.
            self._server.publish(
                replica.kind,
                replicas.Batch(base, replica.version, tuple(events)),
            )

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(limits.BEAT_INTERVAL.total_seconds())
            self._server.beat()

    async def _review(self) -> None:
        while True:
            now = self._clock.monotonic()
            role = self._role(now)
            for source in self._sources:
                source.review(role, self._settings.age_limits, now)
            self._review_links(self._peers.relays(now), now)
            await asyncio.sleep(limits.REVIEW_INTERVAL.total_seconds())

    def _role(self, now: datetime.timedelta) -> replicas.Role:
        role = self._peers.role(now)
        if role is replicas.Role.LISTENER and self._server.listeners:
            # Other hosts take this one for a relay.
            role = replicas.Role.STANDBY
        if role != self._last_role:
            _LOG.info('this host is %s now', role.value)
            self._last_role = role
        return role

    def _review_links(
        self, relays: tuple[replicas.Peer, ...], now: datetime.timedelta
    ) -> None:
        wanted = set(relays)
        if not all(item.known for item in self._replicas_by_kind.values()):
            wanted.update(self._peers.helpers(now) or self._seed_peers())
        wanted.discard(self._settings.own)
        for peer in self._links_by_peer.keys() - wanted:
            self._links_by_peer.pop(peer).cancel()
        for peer in wanted - self._links_by_peer.keys():
            self._links_by_peer[peer] = tasks.spawn(self._listen(peer))

    def _seed_peers(self) -> list[replicas.Peer]:
        own = self._settings.own
        return [
            replicas.Peer(model.HostId(str(address)), own.data_centre, address)
            for address in self._settings.seeds
            if address != own.address
        ]

    async def _listen(self, peer: replicas.Peer) -> None:
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
            self._peers.avoid(peer.host_id, self._clock.monotonic())
        finally:
            if self._links_by_peer.get(peer) is asyncio.current_task():
                del self._links_by_peer[peer]

    def _on_message(
        self, peer: replicas.Peer, message: replicas.Message
    ) -> None:
        now = self._clock.monotonic()
        _take(message, self, peer, now)

    def take_update(
        self,
        update: replicas.Update,
        peer: replicas.Peer,
        now: datetime.timedelta,
    ) -> None:
        """Apply changes that a relay has passed on."""
        replica = self._replicas_by_kind.get(update.kind)
        if replica is not None:
            self._apply(replica, update.batch(), peer.host_id)
            _confirm(replica, update.version, update.age, now)

    def take_beat(self, beat: replicas.Beat, now: datetime.timedelta) -> None:
        """Note for how long the versions that a relay has are confirmed."""
        for kind, progress in beat.progress_by_kind.items():
            replica = self._replicas_by_kind.get(kind)
            if replica is not None:
                _confirm(replica, progress.version, progress.age, now)

    async def _follow_hosts(self) -> None:
        registered = False
        interval = limits.FIRST_HOSTS_INTERVAL
        while True:
            try:
                listing = await self._store.patient.read_all(
                    self._catalogue.hosts_kind, stale=True
                )
                registered = registered or await self._register(listing)
                self._take_hosts(listing)
            except platform.StoreError as error:
                _LOG.info('host list: %r', error)
                await asyncio.sleep(limits.HOSTS_RETRY.total_seconds())
                continue
            if self._peers.relays(self._clock.monotonic()):
                interval = max(interval, limits.NEXT_HOSTS_INTERVAL)
            jitter = 0.5 + self._random.random()
            await asyncio.sleep(interval.total_seconds() * jitter)
            interval = min(2 * interval, limits.HOSTS_INTERVAL)

    def _take_hosts(self, listing: platform.Listing) -> None:
        found = (self._catalogue.host(stored) for stored in listing.objects)
        self._peers.replace(peer for peer in found if peer is not None)

    async def _register(self, listing: platform.Listing) -> bool:
        own = self._settings.own
        value = self._catalogue.host_value(own)
        version = None
        for stored in listing.objects:
            if stored.name == own.host_id:
                if stored.value == value:
                    return True
                version = stored.version
        write = platform.Write(
            self._catalogue.hosts_kind, own.host_id, value, (), version
        )
        try:
            await self._store.patient.write(write)
        except platform.Conflict:
            # The listing was stale; the next one tells.
            return False
        return True


def _confirm(
    replica: replicas.Replica,
    version: int,
    age_seconds: float,
    now: datetime.timedelta,
) -> None:
    age = replicas.messages.age_of(age_seconds)
    if age is not None:
        replica.confirm(version, now - age)


@functools.singledispatch
def _take(
    message: replicas.Message,
    following: Following,
    peer: replicas.Peer,
    now: datetime.timedelta,
) -> None:
    _LOG.warning('host %s sent %s', peer.host_id, type(message).__name__)


@_take.register
def _take_update(
    message: replicas.Update,
    following: Following,
    peer: replicas.Peer,
    now: datetime.timedelta,
) -> None:
    following.take_update(message, peer, now)


@_take.register
def _take_beat(
    message: replicas.Beat,
    following: Following,
    peer: replicas.Peer,
    now: datetime.timedelta,
) -> None:
    following.take_beat(message, now)
