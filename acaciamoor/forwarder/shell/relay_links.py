"""Connections of a host to those that it listens to."""

import asyncio
import collections.abc
import datetime
import logging

from acaciamoor import clock as clocks
from acaciamoor import model
from acaciamoor import replica as replicas
from acaciamoor import supervision
from acaciamoor.forwarder.shell import limits
from acaciamoor.forwarder.shell import relay_link

_LOG = logging.getLogger(__name__)


class RelayLinks:
    """Connects to relays, and at the start to seeds.

    Parameters
    ----------
    settings : SyncSettings
        Settings of the synchronization.
    replicas_by_kind : Mapping
        Replicas of this host.
    peers : PeerList
        Known hosts; those that cannot be reached are marked.
    on_message : callable
        Called with the relay, each message from it, and for how long that was
        on the way.
    on_lost : callable
        Called with a host whose connection has failed.
    count_listeners : callable
        Returns the number of hosts that other hosts cannot count.
    clock : Clock
        Source of time.
    first_seed : int
        Number of the seed to begin with, modulo the number of seeds.
    """

    def __init__(
        self,
        settings: limits.SyncSettings,
        replicas_by_kind: collections.abc.Mapping[str, replicas.Replica],
        peers: replicas.PeerList,
        on_message: collections.abc.Callable[
            [replicas.Peer, replicas.Message, datetime.timedelta], None
        ],
        on_lost: collections.abc.Callable[[replicas.Peer], None],
        count_listeners: collections.abc.Callable[[], int],
        clock: clocks.Clock,
        first_seed: int,
    ) -> None:
        self._settings = settings
        self._replicas_by_kind = replicas_by_kind
        self._peers = peers
        self._on_message = on_message
        self._on_lost = on_lost
        self._count_listeners = count_listeners
        self._clock = clock
        self._first_seed = first_seed
        self._started_at = clock.monotonic()
        self._failures = 0
        self._tasks_by_address: dict[model.Address, asyncio.Task[None]] = {}
        self._links_by_address: dict[model.Address, relay_link.RelayLink] = {}

    def send(
        self,
        peer: replicas.Peer,
        message: replicas.Report | replicas.Summary,
    ) -> bool:
        """Send a message to a relay; return whether its connection took it."""
        link = self._links_by_address.get(peer.address)
        return link is not None and link.send(message)

    def close(self) -> None:
        """Close all connections."""
        for task in self._tasks_by_address.values():
            task.cancel()
        self._tasks_by_address.clear()

    def update(
        self,
        relays: collections.abc.Iterable[replicas.Peer],
        initialized: bool,
        now: datetime.timedelta,
    ) -> None:
        """Open and close connections as needed.

        Parameters
        ----------
        relays : iterable of Peer
            Hosts that this host should listen to.
        initialized : bool
            Whether this host has both collections.
        now : datetime.timedelta
            Current time.
        """
        wanted = set(relays)
        if not initialized:
            wanted = set(self._select_initial_peers(now))
        elif now - self._started_at < limits.SEED_LINK_PERIOD:
            wanted.update(self._select_seeds(self._failures))
        wanted.discard(self._settings.own)
        peers_by_address = {peer.address: peer for peer in wanted}
        tasks = self._tasks_by_address
        for address in tasks.keys() - peers_by_address.keys():
            tasks.pop(address).cancel()
        for address in peers_by_address.keys() - tasks.keys():
            tasks[address] = supervision.spawn(
                self._run_link(peers_by_address[address])
            )

    def _select_initial_peers(
        self, now: datetime.timedelta
    ) -> collections.abc.Sequence[replicas.Peer]:
        """Return the hosts to ask for whole collections.

        At first it is a single one, since every host that is asked sends both
        collections.
        """
        fallback_peers = self._peers.fallback_peers(now)
        elapsed = now - self._started_at
        if elapsed >= limits.SINGLE_SOURCE_PERIOD and fallback_peers:
            return fallback_peers
        turn = self._failures + elapsed // limits.SEED_TURN
        return self._select_seeds(turn) or fallback_peers[:1]

    def _select_seeds(
        self, turn: int
    ) -> collections.abc.Sequence[replicas.Peer]:
        """Return a seed to connect to; on seeds, all others.

        Hosts start with different seeds, and go on to the next one if theirs
        is down or has no data.
        """
        own = self._settings.own
        seeds = [
            self._peers.find(address)
            or replicas.Peer(
                model.HostId(str(address)), own.data_centre, address
            )
            for address in self._settings.seeds
            if address != own.address
        ]
        if not seeds or own.address in self._settings.seeds:
            return seeds
        return [seeds[(self._first_seed + turn) % len(seeds)]]

    async def _run_link(self, peer: replicas.Peer) -> None:
        link = relay_link.RelayLink(
            self._settings.own,
            peer,
            self._replicas_by_kind,
            self._on_message,
            self._count_listeners,
            self._clock,
        )
        self._links_by_address[peer.address] = link
        try:
            await link.run()
        except (OSError, EOFError, replicas.MessageError) as error:
            _LOG.info('relay %s is lost: %r', peer.host_id, error)
            self._failures += 1
            self._peers.mark_unreachable(peer.host_id, self._clock.monotonic())
            self._on_lost(peer)
        finally:
            if self._links_by_address.get(peer.address) is link:
                del self._links_by_address[peer.address]
            tasks = self._tasks_by_address
            if tasks.get(peer.address) is asyncio.current_task():
                del tasks[peer.address]
