"""Selection of the hosts that relay the store to the other hosts of a site.

The hosts form a tree. One host, the relay of the site, watches the store; a
standby in another data centre calls it if the relay fails. Two hosts of each
data centre listen to these, and the other hosts to hosts of their own data
centre. In a large data centre a few more hosts stand between, so that the
listeners of each host stay few.

All hosts rank each other in the same order. There is no election: a host that
loses its relays uses the next ones or calls the store itself, and several
hosts may safely act as relays at the same time.
"""

import collections.abc
import datetime
import itertools
import math

import msgspec

from acaciamoor import hashing
from acaciamoor import model
from acaciamoor.replica import call_modes

# Links of this width or more register without delay.
_WIDEST_LINK_MBPS = 1000.0
# Time in which hosts that start together learn of each other.
_MIN_SEARCH_PERIOD = datetime.timedelta(milliseconds=500)
# Maximum number of known hosts, many times the size of a site's data centres.
_MAX_PEERS = 16384


class Peer(msgspec.Struct, frozen=True):
    """A host that takes part in relaying.

    Parameters
    ----------
    host_id : HostId
        Identifier of the host.
    data_centre : DataCentre
        Data centre of the host.
    address : Address
        Address that accepts connections from other hosts.
    link_mbps : float
        Bandwidth of the network link, in Mbit/s; hosts with more bandwidth
        are preferred as relays.
    """

    host_id: model.HostId
    data_centre: model.DataCentre
    address: model.Address
    link_mbps: float = 0.0


class PeerSettings(msgspec.Struct, frozen=True):
    """Settings for the selection of relays.

    Parameters
    ----------
    relay_count : int
        Number of relays that each host listens to. With two, the second one
        notices if the first one is cut off from the store.
    min_hosts : int
        Number of hosts of a site from which on relays are used. A relay polls
        the store once a second, a direct watch calls only at changes; with
        fewer than six hosts, relays save no calls.
    hosts_per_branch : int
        Number of hosts of a data centre for each one that passes changes on
        to others, if the data centre has more than twice as many hosts.
    unreachable_period : datetime.timedelta
        Time for which a host that could not be reached is skipped; it doubles
        with each further failure.
    max_unreachable_period : datetime.timedelta
        Maximum of that time. Entries of hosts that are gone for good stay in
        the list.
    shared_per_data_centre : int
        Number of hosts of each other data centre that hosts tell each other
        of. Only the best ones matter there.
    max_registered : int
        Number of better relays in its data centre from which on a host does
        not register itself. Each entry costs a write at the first start.
    max_registration_delay : datetime.timedelta
        Delay of the registration of a host with the narrowest link.
    """

    relay_count: int = 2
    min_hosts: int = 6
    hosts_per_branch: int = 16
    unreachable_period: datetime.timedelta = datetime.timedelta(seconds=4)
    max_unreachable_period: datetime.timedelta = datetime.timedelta(minutes=30)
    shared_per_data_centre: int = 4
    max_registered: int = 4
    max_registration_delay: datetime.timedelta = datetime.timedelta(seconds=2)


class PeerList:
    """Known hosts of the site, ranked by preference as relays.

    Parameters
    ----------
    own : Peer
        This host.
    settings : PeerSettings
        Settings for the selection.

    Examples
    --------
    >>> def peer(number, link=10.0):
    ...     address = model.Address('127.0.0.1', 7000 + number)
    ...     return Peer(f'h-{number}', 'kgn-a', address, link)
    >>> peers = PeerList(peer(1))
    >>> added = peers.add([*map(peer, range(2, 7)), peer(9, 200.0)])
    >>> peers.relays(datetime.timedelta(0))[0].host_id
    'h-9'
    """

    def __init__(
        self, own: Peer, settings: PeerSettings | None = None
    ) -> None:
        self._own = own
        self._settings = settings or PeerSettings()
        self._peers_by_id = {own.host_id: own}
        self._ranked_by_data_centre: dict[
            model.DataCentre, tuple[Peer, ...]
        ] = {own.data_centre: (own,)}
        self._unreachable_until_by_id: dict[
            model.HostId, datetime.timedelta
        ] = {}
        self._failures_by_id: dict[model.HostId, int] = {}
        # Grows when hosts are added or replaced.
        self.revision = 0

    def __len__(self) -> int:
        return len(self._peers_by_id)

    def add(
        self, peers: collections.abc.Iterable[Peer], replace: bool = True
    ) -> list[Peer]:
        """Add hosts; return those that were not known, or not so.

        Parameters
        ----------
        peers : iterable of Peer
            The hosts.
        replace : bool
            Whether to replace known hosts of the same identifier. What a third
            host says of them may be out of date, and two hosts that replace
            each other's statements would do so for ever.
        """
        changed = [
            peer
            for peer in peers
            if peer.host_id != self._own.host_id
            and self._peers_by_id.get(peer.host_id) != peer
            and (replace or peer.host_id not in self._peers_by_id)
        ][: _MAX_PEERS - len(self._peers_by_id)]
        for peer in changed:
            self._peers_by_id[peer.host_id] = peer
        if changed:
            self.revision += 1
            self._rank()
        return changed

    @property
    def local_count(self) -> int:
        """Number of known hosts of the own data centre."""
        return len(self._local)

    @property
    def all_registered(self) -> bool:
        """Whether so few local hosts are known that all register."""
        return self.local_count < self._settings.max_registered

    @property
    def hosts_by_data_centre(
        self,
    ) -> dict[model.DataCentre, tuple[model.HostId, ...]]:
        """Known hosts: all of the own data centre, a few of the others."""
        return {
            data_centre: tuple(peer.host_id for peer in ranked)
            for data_centre, ranked in self._ranked_by_data_centre.items()
        }

    def select_shared(
        self, data_centre: model.DataCentre
    ) -> collections.abc.Iterator[Peer]:
        """Yield the known hosts that matter to those of a data centre."""
        for name, ranked in self._ranked_by_data_centre.items():
            if name == data_centre:
                yield from ranked
            else:
                yield from ranked[: self._settings.shared_per_data_centre]

    def is_shared(self, peer: Peer) -> bool:
        """Return whether a host matters to those that listen to this one."""
        if peer.data_centre == self._own.data_centre:
            return True
        ranked = self._ranked_by_data_centre[peer.data_centre]
        return peer in ranked[: self._settings.shared_per_data_centre]

    def find(self, address: model.Address) -> Peer | None:
        """Return the host with an address; None if it is not known."""
        for peer in self._peers_by_id.values():
            if peer.address == address:
                return peer
        return None

    def mark_unreachable(
        self, host_id: model.HostId, now: datetime.timedelta
    ) -> None:
        """Skip a host, which could not be reached, for some time."""
        failures = self._failures_by_id.get(host_id, 0)
        self._failures_by_id[host_id] = failures + 1
        self._unreachable_until_by_id[host_id] = now + min(
            self._settings.unreachable_period * (1 << min(failures, 8)),
            self._settings.max_unreachable_period,
        )

    def mark_reachable(self, host_id: model.HostId) -> None:
        """Record that a host has sent data."""
        self._failures_by_id.pop(host_id, None)
        self._unreachable_until_by_id.pop(host_id, None)

    @property
    def registration_delay(self) -> datetime.timedelta:
        """Time after its start at which this host may register.

        All hosts of a site may start at once and find no one in the list. The
        delay is shorter for wider links, so that the best relays register
        first and the other hosts find them.
        """
        width = min(max(self._own.link_mbps, 1.0), _WIDEST_LINK_MBPS)
        share = 1.0 - math.log(width) / math.log(_WIDEST_LINK_MBPS)
        return self._settings.max_registration_delay * share

    @property
    def search_period(self) -> datetime.timedelta:
        """Time after its start in which this host expects to find relays."""
        return 2 * self.registration_delay + _MIN_SEARCH_PERIOD

    def needs_registration(self, now: datetime.timedelta) -> bool:
        """Return whether too few hosts that rank before this one are up."""
        better = itertools.takewhile(
            lambda peer: peer != self._own, self._local
        )
        reachable = [peer for peer in better if self._is_reachable(peer, now)]
        return len(reachable) < self._settings.max_registered

    def relays(self, now: datetime.timedelta) -> tuple[Peer, ...]:
        """Return the hosts that this host should listen to.

        The result is empty if the site has too few hosts for relays.
        """
        if len(self._peers_by_id) < self._settings.min_hosts:
            return ()
        own = self._own
        local = self._local_relays(now)
        if own not in local:
            return self._select_branches(local, now)
        sources = list(self._site_relays(now))
        if own not in (local[0], *sources) and local[0] not in sources:
            # The second host of a data centre listens to the first one, so
            # that changes cross between data centres less often.
            sources[0] = local[0]
        return tuple(dict.fromkeys(peer for peer in sources if peer != own))

    def leads_data_centre(self, now: datetime.timedelta) -> bool:
        """Return whether all hosts of the data centre are below this one."""
        return self._local_relays(now)[:1] == (self._own,)

    def is_branch(self, now: datetime.timedelta) -> bool:
        """Return whether this host is between local relays and listeners."""
        return self._own in self._branches(now)

    def has_lost_relays(self, now: datetime.timedelta) -> bool:
        """Return whether relays are known, but none can be reached."""
        enough = len(self._peers_by_id) >= self._settings.min_hosts
        return enough and not self.fallback_peers(now)

    def fallback_peers(self, now: datetime.timedelta) -> tuple[Peer, ...]:
        """Return hosts to fetch data from while this host has none."""
        local = set(self._local)
        others = [peer for peer in self._local if peer != self._own]
        others += sorted(
            (peer for peer in self._peers_by_id.values() if peer not in local),
            key=_relay_order,
        )
        return self._first_reachable(others, now)

    def role(self, now: datetime.timedelta) -> call_modes.Role:
        """Return the role of this host at its site."""
        if len(self._peers_by_id) < self._settings.min_hosts:
            return call_modes.Role.ALONE
        site_relays = self._site_relays(now)
        if site_relays[0] == self._own:
            return call_modes.Role.RELAY
        if self._own in site_relays:
            return call_modes.Role.STANDBY
        if self._own in self._local_relays(now) or self._own in (
            self._branches(now)
        ):
            return call_modes.Role.BRANCH
        return call_modes.Role.LISTENER

    @property
    def _local(self) -> tuple[Peer, ...]:
        return self._ranked_by_data_centre[self._own.data_centre]

    def _rank(self) -> None:
        groups: dict[model.DataCentre, list[Peer]] = {}
        for peer in self._peers_by_id.values():
            groups.setdefault(peer.data_centre, []).append(peer)
        self._ranked_by_data_centre = {
            data_centre: tuple(sorted(group, key=_relay_order))
            for data_centre, group in groups.items()
        }

    def _local_relays(self, now: datetime.timedelta) -> tuple[Peer, ...]:
        return self._first_reachable(self._local, now)

    def _site_relays(self, now: datetime.timedelta) -> tuple[Peer, ...]:
        """Return the relay of the site and its standby.

        The standby is in another data centre, if there is one that can be
        reached, so that a cut does not separate both from a data centre.
        """
        candidates = sorted(
            (
                peer
                for ranked in self._ranked_by_data_centre.values()
                for peer in self._first_reachable(ranked, now)
            ),
            key=_relay_order,
        )
        first = candidates[0]
        elsewhere = [
            peer
            for peer in candidates
            if peer.data_centre != first.data_centre
        ]
        return tuple(dict.fromkeys([first, *elsewhere, *candidates]))[
            : self._settings.relay_count
        ]

    def _branches(self, now: datetime.timedelta) -> tuple[Peer, ...]:
        """Return the hosts between the local relays and the listeners."""
        count = math.ceil(len(self._local) / self._settings.hosts_per_branch)
        if count <= self._settings.relay_count:
            return ()
        reachable = (
            peer for peer in self._local if self._is_reachable(peer, now)
        )
        skipped = self._settings.relay_count
        return tuple(itertools.islice(reachable, skipped, skipped + count))

    def _select_branches(
        self, local: tuple[Peer, ...], now: datetime.timedelta
    ) -> tuple[Peer, ...]:
        branches = self._branches(now)
        if not branches or self._own in branches:
            return local
        chosen = sorted(
            branches,
            key=lambda peer: hashing.hash64(
                f'{self._own.host_id}/{peer.host_id}'
            ),
        )
        return tuple(chosen[: self._settings.relay_count])

    def _first_reachable(
        self, peers: collections.abc.Iterable[Peer], now: datetime.timedelta
    ) -> tuple[Peer, ...]:
        reachable = (peer for peer in peers if self._is_reachable(peer, now))
        return tuple(itertools.islice(reachable, self._settings.relay_count))

    def _is_reachable(self, peer: Peer, now: datetime.timedelta) -> bool:
        until = self._unreachable_until_by_id.get(peer.host_id)
        return until is None or until <= now


def _relay_order(peer: Peer) -> tuple[float, int]:
    return -peer.link_mbps, hashing.hash64(peer.host_id)
