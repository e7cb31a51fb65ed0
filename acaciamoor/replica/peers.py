"""Which hosts watch the store, and whom the others listen to.

A host listens to the first two hosts of its data centre in an order that all
hosts agree on. The first one watches the store for the others, so that the
number of calls grows with the data centres and not with the hosts. There is
no election: a host that finds its relays silent goes on to the next ones or
calls the store itself, and it is harmless if several hosts act as relays.
"""

import collections.abc
import datetime
import itertools

import msgspec

from acaciamoor import hashing
from acaciamoor import model
from acaciamoor.replica import sourcing


class Peer(msgspec.Struct, frozen=True):
    """Another host.

    Parameters
    ----------
    host_id : HostId
        Name of the host.
    data_centre : DataCentre
        Where it stands.
    address : Address
        Where it takes connections of other hosts.
    link_mbps : float
        Bandwidth of its link, in Mbit/s; strong hosts relay first.
    """

    host_id: model.HostId
    data_centre: model.DataCentre
    address: model.Address
    link_mbps: float = 0.0


class PeerSettings(msgspec.Struct, frozen=True):
    """When relays are used.

    Parameters
    ----------
    relays : int
        Relays that each host listens to. Two, so that the second one notices
        if the first one is cut off from the store.
    smallest_data_centre : int
        Hosts from which on relays are used. Relays ask the store once a
        second, direct watches only at changes; below six hosts relays save no
        calls.
    avoidance : datetime.timedelta
        Time for which a host that could not be reached is passed over.
    """

    relays: int = 2
    smallest_data_centre: int = 6
    avoidance: datetime.timedelta = datetime.timedelta(seconds=4)


class PeerList:
    """Hosts of the own data centre in the order in which they relay.

    Parameters
    ----------
    own : Peer
        This host.
    settings : PeerSettings
        When relays are used.

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
        self._avoided_until_by_id: dict[model.HostId, datetime.timedelta] = {}

    def replace(self, peers: collections.abc.Iterable[Peer]) -> None:
        """Take a new list of hosts."""
        peers_by_id = {
            peer.host_id: peer
            for peer in peers
            if peer.data_centre == self._own.data_centre
        }
        peers_by_id[self._own.host_id] = self._own
        self._ranked = tuple(sorted(peers_by_id.values(), key=_rank))

    def avoid(self, host_id: model.HostId, now: datetime.timedelta) -> None:
        """Pass over a host that could not be reached."""
        self._avoided_until_by_id[host_id] = now + self._settings.avoidance

    def relays(self, now: datetime.timedelta) -> tuple[Peer, ...]:
        """Return the relays that this host should listen to.

        The host itself may be among them. The result is empty where every
        host watches the store.
        """
        if len(self._ranked) < self._settings.smallest_data_centre:
            return ()
        return self._first(self._ranked, now)

    def helpers(self, now: datetime.timedelta) -> tuple[Peer, ...]:
        """Return other hosts to ask while the store does not answer."""
        others = [peer for peer in self._ranked if peer != self._own]
        return self._first(others, now)

    def _first(
        self, peers: collections.abc.Iterable[Peer], now: datetime.timedelta
    ) -> tuple[Peer, ...]:
        start = datetime.timedelta(0)
        usable = (
            peer
            for peer in peers
            if self._avoided_until_by_id.get(peer.host_id, start) <= now
        )
        return tuple(itertools.islice(usable, self._settings.relays))

    def role(self, now: datetime.timedelta) -> sourcing.Role:
        """Return the place of this host in the order."""
        relays = self.relays(now)
        if not relays:
            return sourcing.Role.ALONE
        if relays[0] == self._own:
            return sourcing.Role.RELAY
        if self._own in relays:
            return sourcing.Role.STANDBY
        return sourcing.Role.LISTENER


def _rank(peer: Peer) -> tuple[float, int]:
    return -peer.link_mbps, hashing.hash64(peer.host_id)
