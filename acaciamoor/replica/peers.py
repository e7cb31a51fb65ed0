"""Selection of the hosts that relay the store to their data centre.

All hosts of a data centre rank each other in the same order and listen to the
first two. The first one watches the store for all, so that the number of
calls grows with the number of data centres, not of hosts. There is no
election: a host that loses its relays uses the next ones or calls the store
itself, and several hosts may safely act as relays at the same time.
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
        Number of hosts in a data centre from which on relays are used. A
        relay polls the store once a second, a direct watch calls only at
        changes; with fewer than six hosts, relays save no calls.
    unreachable_period : datetime.timedelta
        Time for which a host that could not be reached is skipped; it doubles
        with each further failure.
    max_unreachable_period : datetime.timedelta
        Maximum of that time. Entries of hosts that are gone for good stay in
        the list.
    max_registered : int
        Number of better relays in the list from which on a host does not
        register itself. Each entry costs a write at every start.
    max_registration_delay : datetime.timedelta
        Delay of the registration of a host with the narrowest link.
    """

    relay_count: int = 2
    min_hosts: int = 6
    unreachable_period: datetime.timedelta = datetime.timedelta(seconds=4)
    max_unreachable_period: datetime.timedelta = datetime.timedelta(minutes=1)
    max_registered: int = 6
    max_registration_delay: datetime.timedelta = datetime.timedelta(seconds=2)


class PeerList:
    """Hosts of the local data centre, ranked by preference as relays.

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
    >>> peers.replace(peer(number) for number in range(2, 7))
    >>> peers.replace([*map(peer, range(2, 7)), peer(9, 200.0)])
    >>> peers.relays(datetime.timedelta(0))[0].host_id
    'h-9'
    """

    def __init__(
        self, own: Peer, settings: PeerSettings | None = None
    ) -> None:
        self._own = own
        self._settings = settings or PeerSettings()
        self._ranked: tuple[Peer, ...] = (own,)
        self._unreachable_until_by_id: dict[
            model.HostId, datetime.timedelta
        ] = {}
        self._failures_by_id: dict[model.HostId, int] = {}

    def replace(self, peers: collections.abc.Iterable[Peer]) -> None:
        """Replace the list of hosts."""
        peers_by_id = {
            peer.host_id: peer
            for peer in peers
            if peer.data_centre == self._own.data_centre
        }
        peers_by_id[self._own.host_id] = self._own
        self._ranked = tuple(sorted(peers_by_id.values(), key=_relay_order))

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
        return 2 * self.registration_delay

    def needs_registration(self, now: datetime.timedelta) -> bool:
        """Return whether too few hosts that rank before this one are up."""
        better = itertools.takewhile(
            lambda peer: peer != self._own, self._ranked
        )
        reachable = [peer for peer in better if self._is_reachable(peer, now)]
        return len(reachable) < self._settings.max_registered

    def relays(self, now: datetime.timedelta) -> tuple[Peer, ...]:
        """Return the relays that this host should listen to.

        This host itself may be among them. The result is empty if the data
        centre has too few hosts for relays.
        """
        if len(self._ranked) < self._settings.min_hosts:
            return ()
        return self._first_reachable(self._ranked, now)

    def has_lost_relays(self, now: datetime.timedelta) -> bool:
        """Return whether relays are listed, but none can be reached."""
        listed = len(self._ranked) >= self._settings.min_hosts
        return listed and not self.fallback_peers(now)

    def fallback_peers(self, now: datetime.timedelta) -> tuple[Peer, ...]:
        """Return hosts to fetch data from while the store is unreachable."""
        others = [peer for peer in self._ranked if peer != self._own]
        return self._first_reachable(others, now)

    def _first_reachable(
        self, peers: collections.abc.Iterable[Peer], now: datetime.timedelta
    ) -> tuple[Peer, ...]:
        reachable = (peer for peer in peers if self._is_reachable(peer, now))
        return tuple(itertools.islice(reachable, self._settings.relay_count))

    def _is_reachable(self, peer: Peer, now: datetime.timedelta) -> bool:
        until = self._unreachable_until_by_id.get(peer.host_id)
        return until is None or until <= now

    def role(self, now: datetime.timedelta) -> call_modes.Role:
        """Return the role of this host in its data centre."""
        relays = self.relays(now)
        if not relays:
            return call_modes.Role.ALONE
        if relays[0] == self._own:
            return call_modes.Role.RELAY
        if self._own in relays:
            return call_modes.Role.STANDBY
        return call_modes.Role.LISTENER


def _relay_order(peer: Peer) -> tuple[float, int]:
    return -peer.link_mbps, hashing.hash64(peer.host_id)
