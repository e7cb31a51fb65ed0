"""What a host knows of the hosts of its data centre."""

import datetime

from acaciamoor import model
from acaciamoor import replica as replicas
from acaciamoor.forwarder.shell import directory_updater as updaters
from acaciamoor.forwarder.shell import discovery
from acaciamoor.forwarder.shell import relay_server


class KnownHosts:
    """Tells the updater of the hosts of the data centre and their number.

    Parameters
    ----------
    peers : PeerList
        Known hosts.
    server : RelayServer
        Server that counts the listeners of this host.
    reader : HostListReader
        Reader of the host list.
    updater : DirectoryUpdater
        Receives the hosts once all are known, and their number.
    """

    def __init__(
        self,
        peers: replicas.PeerList,
        server: relay_server.RelayServer,
        reader: discovery.HostListReader,
        updater: updaters.DirectoryUpdater,
    ) -> None:
        self._peers = peers
        self._server = server
        self._reader = reader
        self._updater = updater
        # Number of hosts of the data centre, as others of it say.
        self._local_hosts_by_address: dict[model.Address, int] = {}
        # Whether a host of the data centre has sent the hosts that it knows.
        self._heard_locally = False
        # Revision of the host list that the updater knows.
        self._known_revision: int | None = None

    def record_count(self, address: model.Address, count: int) -> None:
        """Record the number of hosts that another one of them has sent."""
        self._local_hosts_by_address[address] = count
        # Each connection begins with the hosts that the other one knows.
        self._heard_locally = True

    def forget(self, address: model.Address) -> None:
        """Drop the number from a host whose connection was lost."""
        self._local_hosts_by_address.pop(address, None)

    def update(
        self, relays: tuple[replicas.Peer, ...], now: datetime.timedelta
    ) -> None:
        """Update the number of hosts, and the hosts if all are known."""
        self._update_count(relays, now)
        revision = self._peers.revision
        if revision != self._known_revision and self._knows_all(now):
            self._known_revision = revision
            self._updater.set_known_hosts(self._peers.hosts_by_data_centre)

    def count_below(self, now: datetime.timedelta) -> int:
        """Return the number of hosts that only this one can count."""
        # Elsewhere, the listeners of this host are known otherwise, or listen
        # to it only while they start.
        if self._peers.is_branch(now):
            return self._server.count_local_listeners()
        return 0

    def _update_count(
        self, relays: tuple[replicas.Peer, ...], now: datetime.timedelta
    ) -> None:
        count = self._server.count_local_hosts()
        if not self._peers.leads_data_centre(now):
            heard = (
                self._local_hosts_by_address.get(peer.address, 0)
                for peer in relays
            )
            count = max(count, *heard, 0)
        self._server.local_hosts = count
        self._updater.set_local_hosts(count)

    def _knows_all(self, now: datetime.timedelta) -> bool:
        """Return whether all hosts of the data centre are known.

        Only some hosts register in the store. The others are known to each
        host of the data centre, and to the first one, which all listen to.
        """
        if self._heard_locally:
            return True
        if len(self._peers) == 1:
            return self._reader.has_searched
        if self._peers.all_registered:
            return self._reader.has_read
        return (
            self._peers.leads_data_centre(now)
            and self._server.count_local_listeners() > 0
            and self._server.count_local_hosts() <= self._peers.local_count
        )
