"""Keeps the collections of a host up to date, from relays or the store."""

import asyncio
import collections.abc
import datetime
import functools
import logging
import random

import msgspec

from acaciamoor import clock as clocks
from acaciamoor import model
from acaciamoor import platform
from acaciamoor import replica as replicas
from acaciamoor.forwarder import catalogue as catalogues
from acaciamoor.forwarder.shell import adoption as adoptions
from acaciamoor.forwarder.shell import limits
from acaciamoor.forwarder.shell import relay_link
from acaciamoor.forwarder.shell import relay_server
from acaciamoor.platform import watching

_LOG = logging.getLogger(__name__)


class _Watch(msgspec.Struct, frozen=True):
    transport: platform.Transport
    task: asyncio.Task[None]


class Following:
    """Owns the replicas and all their sources.

    Parameters
    ----------
    settings : FollowingSettings
        How collections are followed.
    catalogue : Catalogue
        Kinds of the objects.
    patient, frequent : Transport
        Calls to the store with the limits `FollowingSettings.patient_calls`
        and `FollowingSettings.frequent_calls`.
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
        patient: platform.Transport,
        frequent: platform.Transport,
        adoption: adoptions.Adoption,
        clock: clocks.Clock,
        random_source: random.Random,
    ) -> None:
        self._settings = settings
        self._catalogue = catalogue
        self._patient = patient
        self._frequent = frequent
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
        self._starting = set(self._replicas_by_kind)
        self._watches_by_kind: dict[str, _Watch] = {}
        self._links_by_peer: dict[replicas.Peer, asyncio.Task[None]] = {}
        self._relaying = False

    async def run(self) -> None:
        """Follow until cancelled."""
        await self._server.start()
        try:
            async with asyncio.TaskGroup() as group:
                for replica in self._replicas_by_kind.values():
                    group.create_task(self._start(replica))
                group.create_task(self._follow_hosts())
                group.create_task(self._beat())
                group.create_task(self._review())
        finally:
            self._server.close()
            self.restart()

    def restart(self) -> None:
        """Give up all connections, which may be dead after a pause."""
        for watch in self._watches_by_kind.values():
            watch.task.cancel()
        for task in self._links_by_peer.values():
            task.cancel()
        self._watches_by_kind.clear()
        self._links_by_peer.clear()

    def age(self) -> datetime.timedelta | None:
        """Return the age of the older collection; None if one is unknown."""
        now = self._clock.monotonic()
        ages = [item.age(now) for item in self._replicas_by_kind.values()]
        return None if None in ages else max(ages)

    @property
    def relaying(self) -> bool:
        """Whether this host watches the store for others."""
        return self._relaying

    @property
    def listeners(self) -> int:
        """Number of hosts that listen to this one."""
        return self._server.listeners

    async def _start(self, replica: replicas.Replica) -> None:
        # A listing that is seconds old costs a tenth. The first call for
        # changes leads from its version to the newest one.
        try:
            listing = await self._patient.read_all(replica.kind, stale=True)
        except platform.StoreError as error:
            _LOG.warning('first listing of %s: %r', replica.kind, error)
            return
        finally:
            self._starting.discard(replica.kind)
        put = platform.EventType.PUT
        events = tuple(
            platform.WatchEvent(put, stored.version, stored)
            for stored in listing.objects
        )
        self._apply(
            replica,
            replicas.Batch(0, listing.version, events, whole=True),
            'store',
        )

    def _apply(
        self, replica: replicas.Replica, batch: replicas.Batch, source: str
    ) -> None:
        base = replica.version
        events = replica.apply(batch)
        self._adoption.take(replica, events, source)
        if events:
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
            relays = self._peers.relays(now)
            self._note_role(self._settings.own in relays)
            for replica in self._replicas_by_kind.values():
                self._review_watch(replica, bool(relays), now)
            self._review_links(relays, now)
            await asyncio.sleep(limits.REVIEW_INTERVAL.total_seconds())

    def _note_role(self, relaying: bool) -> None:
        relaying = relaying or bool(self._server.listeners)
        if relaying != self._relaying:
            self._relaying = relaying
            _LOG.info('%s relaying', 'started' if relaying else 'stopped')

    def _review_watch(
        self,
        replica: replicas.Replica,
        has_relays: bool,
        now: datetime.timedelta,
    ) -> None:
        if replica.kind in self._starting:
            return
        age = replica.age(now)
        needed = (
            not has_relays
            or self._relaying
            or age is None
            or age > self._settings.age_limit
        )
        transport = self._frequent if has_relays else self._patient
        watch = self._watches_by_kind.get(replica.kind)
        if watch is not None and (
            not needed or watch.task.done() or watch.transport != transport
        ):
            watch.task.cancel()
            del self._watches_by_kind[replica.kind]
            watch = None
        if needed and watch is None:
            self._watches_by_kind[replica.kind] = _Watch(
                transport, _spawn(self._watch(replica, transport))
            )

    async def _watch(
        self, replica: replicas.Replica, transport: platform.Transport
    ) -> None:
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
            self._apply(replica, batch, 'store')
            replica.confirm(event.version, self._clock.monotonic())
            base, events = event.version, []

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
            self._links_by_peer[peer] = _spawn(self._listen(peer))

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
                listing = await self._patient.read_all(
                    self._catalogue.hosts_kind, stale=True
                )
                registered = registered or await self._register(listing)
                self._take_hosts(listing)
            except platform.StoreError as error:
                _LOG.info('host list: %r', error)
                await asyncio.sleep(limits.HOSTS_RETRY.total_seconds())
                continue
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
            await self._patient.write(write)
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


def _spawn(
    work: collections.abc.Coroutine[object, object, None],
) -> asyncio.Task[None]:
    task = asyncio.create_task(work)
    task.add_done_callback(_log_failure)
    return task


def _log_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        _LOG.error('a task has failed', exc_info=task.exception())


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
