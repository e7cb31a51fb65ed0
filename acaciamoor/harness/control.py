"""Control planes of many hosts on a virtual network."""

import collections
import collections.abc
import dataclasses
import datetime
import random

from acaciamoor import configuration
from acaciamoor import harness
from acaciamoor.harness import control_sizes
from acaciamoor.membership import messages
from acaciamoor.membership import table as tables
from acaciamoor.model import identifiers
from acaciamoor.model import members
from acaciamoor.model import service as services
from acaciamoor.naive import configuration as naive_configuration
from acaciamoor.naive import membership as naive_membership

# The watch delivers a change within this time.
_WATCH_DELAY = datetime.timedelta(milliseconds=5)


class VirtualPlatform:
    """Simulated platform: an ordered log of configuration changes.

    It serves no watch while `is_up` is not set.
    """

    def __init__(self) -> None:
        self.changes: list[configuration.ServiceVersion] = []
        self.is_up = True

    @property
    def version(self) -> int:
        """Version of the latest change, 0 before the first."""
        return self.changes[-1].version if self.changes else 0

    def write(
        self, service_id: int, service: services.Service | None = None
    ) -> int:
        """Store a service, or its deletion, and return the version."""
        version = self.version + 1
        if service is not None:
            service = service.at_version(version)
        self.changes.append(
            configuration.ServiceVersion(
                identifiers.ServiceId(service_id), version, service
            )
        )
        return version

    def services(self) -> list[services.Service]:
        """Return the services that have not been deleted."""
        latest_by_id = {item.service_id: item for item in self.changes}
        return [item.service for item in latest_by_id.values() if item.service]

    def changes_after(
        self, version: int
    ) -> list[configuration.ServiceVersion]:
        """Return the changes after `version`."""
        return [item for item in self.changes if item.version > version]


@dataclasses.dataclass
class Node:
    """Control plane of one host process.

    Parameters
    ----------
    host_id : HostId
        Identifier of the host.
    table, store : object
        Membership and configuration, of the product or of the naive baseline.
    watch_version : int
        Version up to which the watch of this host has delivered changes.
    """

    host_id: identifiers.HostId
    table: tables.MembershipTable
    store: configuration.ConfigurationStore
    watch_version: int = 0


class ControlFleet:
    """Control planes of the hosts of one data centre.

    Parameters
    ----------
    count : int
        Number of hosts.
    seed : int
        Seed of all random choices.
    link : LinkSettings or None
        Delay and loss of the links.
    is_naive : bool
        Whether to run the naive baseline.
    """

    def __init__(
        self,
        count: int,
        seed: int,
        link: harness.LinkSettings | None = None,
        is_naive: bool = False,
    ) -> None:
        self.network = harness.VirtualNetwork(seed, link)
        self.clock = self.network.clock
        self.platform = VirtualPlatform()
        self.nodes_by_id: dict[identifiers.HostId, Node] = {}
        self.unreachable_platform: set[identifiers.HostId] = set()
        self.bytes_sent_by_id: collections.Counter = collections.Counter()
        self.messages_sent_by_id: collections.Counter = collections.Counter()
        self.observers: list[collections.abc.Callable[[Node], None]] = []
        self._is_naive = is_naive
        self._rng = random.Random(seed)
        self._incarnations_by_id = collections.Counter()
        width = len(str(count))
        self.host_ids = tuple(
            identifiers.HostId(f'kgn-a-{index:0{width}}')
            for index in range(count)
        )
        self.host_list = tables.HostList(frozenset(self.host_ids))
        for host_id in self.host_ids:
            self.start(host_id)

    def start(self, host_id: identifiers.HostId) -> Node:
        """Start or restart the process of a host with empty state."""
        rng = random.Random(self._rng.random())
        table_type, store_type = (
            (
                naive_membership.NaiveMembership,
                naive_configuration.NaiveConfiguration,
            )
            if self._is_naive
            else (
                tables.MembershipTable,
                configuration.ConfigurationStore,
            )
        )
        store = store_type(host_id, self.clock, rng, control_sizes.change_size)
        node = Node(
            host_id, table_type(host_id, self.clock, rng, store), store
        )
        node.table.on_host_list(self.host_list)
        self.nodes_by_id[host_id] = node
        self._incarnations_by_id[host_id] += 1
        self.network.add_host(
            host_id,
            lambda sender, message: self._receive(node, sender, message),
        )
        self._schedule_tick(
            node, self._incarnations_by_id[host_id], rng.random()
        )
        return node

    def warm_up(self) -> None:
        """Give every host the complete membership, as after a long run.

        Must be called before `run`. It saves the about ten seconds of virtual
        time in which the hosts of a large data centre discover each other.
        """
        if self._is_naive:
            return
        updates = []
        for node in self.nodes_by_id.values():
            node.store.on_listing(0, [])
            sends = node.table.tick()
            updates.append(sends[0].message.member)
            self.send_all(node.host_id, sends)
        page = messages.ProbeAck(
            0, updates[0], page=tuple(updates), page_end=identifiers.HostId('')
        )
        for node in self.nodes_by_id.values():
            node.table.on_message(updates[0].host_id, page)

    def kill(self, host_id: identifiers.HostId) -> None:
        """Stop the process of a host without notice."""
        self._incarnations_by_id[host_id] += 1
        self.network.remove_host(host_id)
        self.nodes_by_id.pop(host_id, None)

    def set_host_list(self, hosts: tables.HostList) -> None:
        """Replace the host list of all hosts."""
        self.host_list = hosts
        for node in self.nodes_by_id.values():
            node.table.on_host_list(hosts)

    def cut_off(
        self,
        hosts: collections.abc.Iterable[identifiers.HostId],
        both: bool = True,
    ) -> None:
        """Drop messages from `hosts` to the others and, if `both`, back."""
        self._change_boundary_links(hosts, self.network.cut, both)

    def reconnect(
        self, hosts: collections.abc.Iterable[identifiers.HostId]
    ) -> None:
        """Restore all links between `hosts` and the others."""
        self._change_boundary_links(hosts, self.network.heal, True)

    def run(self, seconds: float) -> None:
        """Run all hosts for `seconds` of virtual time."""
        step = datetime.timedelta(seconds=seconds)
        self.network.run_until(self.clock.monotonic() + step)

    def send_all(
        self, host_id: identifiers.HostId, sends: list[configuration.Send]
    ) -> None:
        """Send messages from a host and count them."""
        for send in sends:
            self.messages_sent_by_id[host_id] += 1
            self.bytes_sent_by_id[host_id] += control_sizes.wire_size(
                send.message
            )
            self.network.send(host_id, send.host_id, send.message)

    def _change_boundary_links(self, hosts, action, both: bool) -> None:
        inside = set(hosts)
        for host in inside:
            for other in set(self.host_ids) - inside:
                action(host, other)
                if both:
                    action(other, host)

    def _schedule_tick(
        self, node: Node, incarnation: int, fraction: float
    ) -> None:
        def tick() -> None:
            if self._incarnations_by_id[node.host_id] == incarnation:
                self._tick(node)
                self._schedule_tick(node, incarnation, 1.0)

        self.network.call_later(
            tables.TICK_PERIOD * fraction, tick, host=node.host_id
        )

    def _tick(self, node: Node) -> None:
        sends = node.table.tick()
        view = node.table.view()
        self._deliver_changes(node, view)
        sends.extend(node.store.tick(view, node.table.has_target_in_force))
        self.send_all(node.host_id, sends)
        for observer in self.observers:
            observer(node)

    def _deliver_changes(
        self, node: Node, view: members.MembershipView
    ) -> None:
        if (
            not self.platform.is_up
            or node.host_id in self.unreachable_platform
            or not node.store.is_relay(view)
        ):
            return
        if not self._is_naive and not node.store.is_complete:
            node.store.on_listing(
                self.platform.version, self.platform.services()
            )
            node.watch_version = self.platform.version
        # One change per tick, so that a watch that resumes from an old version
        # delivers outdated changes for several ticks.
        for change in self.platform.changes_after(node.watch_version)[:1]:
            node.store.on_change(change)
            node.watch_version = change.version
        node.store.on_watch_alive(node.watch_version)

    def _receive(self, node: Node, sender: str, message: object) -> None:
        sends = [
            *node.table.on_message(sender, message),
            *node.store.on_message(sender, message),
        ]
        self.send_all(node.host_id, sends)
