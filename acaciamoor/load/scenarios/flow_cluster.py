"""Simulated cluster of flow routers and their callers, on virtual time."""

import collections
import collections.abc
import datetime

from acaciamoor import flows
from acaciamoor import harness
from acaciamoor import model
from acaciamoor import views
from acaciamoor import wire
from acaciamoor.load.scenarios import flow_oracle
from acaciamoor.load.scenarios import flow_types

_TICK_INTERVAL = datetime.timedelta(milliseconds=250)
_OPEN_RETRY_INTERVAL = datetime.timedelta(milliseconds=500)
# Time until a failure is detected, and after that, time within which all hosts
# learn of it.
_FAILURE_DETECTION_DELAY = datetime.timedelta(seconds=1)
# Time within which all hosts learn of a planned change of the members.
_MEMBERSHIP_SPREAD = datetime.timedelta(seconds=1)
# Time that a host takes after a pause to apply the views that it missed.
_RECOVERY_DURATION = datetime.timedelta(milliseconds=500)
# A longer gap between two events of a host means that it was paused.
_PAUSE_THRESHOLD = datetime.timedelta(seconds=1)
# Views that were published within this time may not have reached the peer of a
# joining host yet.
_RECENT_VIEW_AGE = datetime.timedelta(seconds=5)
_ZERO = datetime.timedelta(0)


class FlowCluster:
    """Simulated balancers of one data centre, with fault injection.

    Parameters
    ----------
    make_router : Callable
        Creates the router of a host.
    seed : int
        Seed of all random choices.
    balancers : int
        Initial number of hosts.
    link : harness.LinkSettings or None
        Delay, jitter and loss of the network between the hosts.
    echo_token : bool
        Whether callers include the identifier of their first upstream in
        later packets.

    See Also
    --------
    acaciamoor.load.scenarios.flow_oracle.FlowOracle : Checks every packet.
    """

    def __init__(
        self,
        make_router: flow_types.RouterFactory,
        seed: int,
        balancers: int,
        link: harness.LinkSettings | None = None,
        echo_token: bool = False,
    ) -> None:
        self.network = harness.VirtualNetwork(seed, link)
        self.random = self.network.random
        self.oracle = flow_oracle.FlowOracle()
        self.leaving: set[model.HostId] = set()
        self.frozen: set[model.HostId] = set()
        self.hosts: dict[model.HostId, flow_types.HostState] = {}
        self._make_router = make_router
        self._echo_token = echo_token
        # Hosts that the others consider live, and the copy of them to which
        # the fabric sends packets, as of the last announcement.
        self._live_hosts: set[model.HostId] = set()
        self._fabric_targets: list[model.HostId] = []
        self._published_views: dict[
            model.ServiceId, list[tuple[views.ServiceView, datetime.timedelta]]
        ] = collections.defaultdict(list)
        for number in range(balancers):
            self._start_host(model.HostId(f'host-{number}'))
        self._announce_members(_ZERO)

    @property
    def now(self) -> datetime.timedelta:
        """Current virtual time."""
        return self.network.clock.monotonic()

    @property
    def running(self) -> list[model.HostId]:
        """Identifiers of the hosts that are neither frozen nor leaving."""
        return [
            host_id
            for host_id in self.hosts
            if host_id not in self.frozen | self.leaving
        ]

    def run_for(self, duration: datetime.timedelta) -> None:
        """Advance the virtual time by `duration`."""
        self.network.run_until(self.now + duration)

    def publish(
        self,
        view: views.ServiceView,
        spread: datetime.timedelta = _ZERO,
        late: collections.abc.Collection[model.HostId] = (),
    ) -> None:
        """Publish a view; each host receives it at a random time in `spread`.

        Hosts in `late` receive it 4 s later. A host that has not received
        the view after `views.FRESHNESS_LIMIT` is no longer fresh.
        """
        self._published_views[view.service_id].append((view, self.now))
        self.oracle.allow_upstreams(view)
        published_at = self.now
        for host_id in sorted(self.hosts):
            delay = self.random.random() * spread
            if host_id in late:
                delay += datetime.timedelta(seconds=4)
            if delay > views.FRESHNESS_LIMIT:
                self._call_host_later(
                    views.FRESHNESS_LIMIT,
                    host_id,
                    self._mark_not_fresh_if_behind,
                )
            self._call_host_later(
                delay,
                host_id,
                lambda host_id: self._apply_view(host_id, view, published_at),
            )

    def join(self, host_id: model.HostId) -> None:
        """Start a balancer with the retained views of a running one."""
        peer = self.hosts[self.random.choice(self.running)]
        self._start_host(host_id)
        host = self.hosts[host_id]
        for view, age in peer.router.retained_views():
            host.router.apply_view(view, age)
        for service_id, published in self._published_views.items():
            for view, published_at in published:
                if self.now - published_at < _RECENT_VIEW_AGE:
                    host.router.apply_view(view, self.now - published_at)
                host.applied_views.add((service_id, view.version))
        self._announce_members(_MEMBERSHIP_SPREAD)
        self._update_members(host_id)

    def leave(self, host_id: model.HostId) -> None:
        """Drain a balancer, and stop it 30 s later."""
        self.leaving.add(host_id)
        self._announce_members(_MEMBERSHIP_SPREAD)
        self.network.call_later(
            datetime.timedelta(seconds=30), lambda: self.kill(host_id)
        )

    def kill(self, host_id: model.HostId) -> None:
        """Stop a balancer; the others detect it 1 s to 2 s later."""
        if self.hosts.pop(host_id, None) is None:
            return
        self.network.remove_host(host_id)
        self.leaving.discard(host_id)
        self.frozen.discard(host_id)
        self.network.call_later(
            _FAILURE_DETECTION_DELAY, self._remove_failed_hosts
        )

    def freeze(self, host_id: model.HostId) -> None:
        """Pause a balancer; after 1 s, the others detect it as failed."""
        self.frozen.add(host_id)
        self.network.freeze(host_id)
        self.network.call_later(
            _FAILURE_DETECTION_DELAY, self._remove_failed_hosts
        )

    def resume(self, host_id: model.HostId) -> None:
        """Resume a frozen balancer."""
        if host_id in self.frozen:
            self.frozen.discard(host_id)
            self.network.resume(host_id)

    def open_flow(self, service_id: model.ServiceId) -> flow_types.CallerFlow:
        """Open a flow; its caller retries OPEN until it is delivered."""
        flow = flow_types.CallerFlow(
            service_id, self.random.getrandbits(64), self.now
        )
        self.oracle.flows.append(flow)
        self._send_open(flow)
        return flow

    def send(
        self, flow: flow_types.CallerFlow, kind: wire.EnvelopeKind
    ) -> None:
        """Send a packet of an open, delivered flow to a random balancer."""
        if flow.last_delivered_at is None or flow.closed:
            return
        flow.closed = kind is wire.EnvelopeKind.CLOSE
        self._send_to_random_host(flow, kind)

    def control_bytes(self) -> dict[model.HostId, int]:
        """Return the larger of sent and received control bytes, by host."""
        return {
            host_id: max(host.control_bytes_sent, host.control_bytes_received)
            for host_id, host in self.hosts.items()
        }

    def recorded_flows(self) -> int:
        """Return the total number of flow records on all hosts."""
        return sum(
            getattr(host.router, 'recorded_flows', 0)
            for host in self.hosts.values()
        )

    def _send_open(self, flow: flow_types.CallerFlow) -> None:
        if flow.last_delivered_at is None:
            self._send_to_random_host(flow, wire.EnvelopeKind.OPEN)
        if flow.last_delivered_at is None:
            self.network.call_later(
                _OPEN_RETRY_INTERVAL, lambda: self._send_open(flow)
            )

    def _send_to_random_host(
        self, flow: flow_types.CallerFlow, kind: wire.EnvelopeKind
    ) -> None:
        host_id = self.random.choice(self._fabric_targets)
        hop = None
        if self._echo_token and flow.upstream_id is not None:
            hop = flows.Hop(flows.HopPurpose.RESOLVE, 0, flow.upstream_id)
        packet = flow_types.Packet(flow, kind, hop)
        if host_id in self.frozen:
            self.network.call_later(
                _ZERO,
                lambda: self._route_packet(host_id, packet),
                host=host_id,
            )
        elif host_id in self.hosts:
            self._route_packet(host_id, packet)

    def _route_packet(
        self, host_id: model.HostId, packet: flow_types.Packet
    ) -> None:
        host = self.hosts[host_id]
        if self._detect_pause(host_id, host):
            return
        flow = packet.flow
        decision = host.router.route(
            flow.service_id, flow.flow_id, packet.kind, packet.hop
        )
        if isinstance(decision, flows.ToPeer):
            self.network.send(
                host_id,
                decision.host_id,
                flow_types.Packet(
                    flow, packet.kind, decision.hop, packet.hops + 1
                ),
            )
        elif isinstance(decision, flows.ToUpstream):
            self.oracle.record_delivery(packet, decision.upstream, self.now)
        else:
            self.oracle.record_refusal(flow, decision.reason)

    def _receive_message(
        self, host_id: model.HostId, sender: str, message: object
    ) -> None:
        if isinstance(message, flow_types.Packet):
            self._route_packet(host_id, message)
            return
        host = self.hosts[host_id]
        if self._detect_pause(host_id, host):
            return
        host.control_bytes_received += message.encoded_bytes
        if isinstance(message, flows.PutRecords):
            host.router.receive_records(message)
        elif isinstance(message, flows.ViewNeeds):
            host.router.receive_needs(model.HostId(sender), message)

    def _detect_pause(
        self, host_id: model.HostId, host: flow_types.HostState
    ) -> bool:
        """Return whether the host must ignore the current event.

        True after a pause: for the event that reveals it, which starts the
        recovery, and for events that were buffered during the pause.
        """
        gap = self.now - host.last_active_at
        if gap > _PAUSE_THRESHOLD:
            host.fresh, host.recovering = False, True
            self._update_members(host_id)
            self._call_host_later(
                _RECOVERY_DURATION, host_id, self._finish_recovery
            )
            host.last_active_at = self.now
            return True
        if host.recovering and gap == _ZERO:
            return True
        host.last_active_at = self.now
        return False

    def _finish_recovery(self, host_id: model.HostId) -> None:
        """Apply all published views to a host and mark it as fresh."""
        host = self.hosts[host_id]
        for published in list(self._published_views.values()):
            for view, published_at in published:
                host.router.apply_view(view, self.now - published_at)
                host.applied_views.add((view.service_id, view.version))
        host.fresh, host.recovering = True, False
        self._live_hosts.add(host_id)
        self._announce_members(_MEMBERSHIP_SPREAD)
        self._update_members(host_id)

    def _start_host(self, host_id: model.HostId) -> None:
        router = self._make_router(host_id, self.network.clock)
        self.hosts[host_id] = flow_types.HostState(router, self.now)
        self._live_hosts.add(host_id)
        self.network.add_host(
            host_id,
            lambda sender, message: self._receive_message(
                host_id, sender, message
            ),
        )
        self._call_host_later(_TICK_INTERVAL, host_id, self._tick_host)

    def _tick_host(self, host_id: model.HostId) -> None:
        host = self.hosts[host_id]
        self._call_host_later(_TICK_INTERVAL, host_id, self._tick_host)
        if self._detect_pause(host_id, host):
            return
        for message in host.router.tick():
            receivers = (
                [message.host_id]
                if isinstance(message, flows.PutRecords)
                else [peer for peer in self._live_hosts if peer != host_id]
            )
            for receiver in sorted(receivers):
                host.control_bytes_sent += message.encoded_bytes
                self.network.send(host_id, receiver, message)

    def _remove_failed_hosts(self) -> None:
        self._live_hosts = set(self.hosts) - self.frozen
        self._announce_members(_FAILURE_DETECTION_DELAY)

    def _announce_members(self, spread: datetime.timedelta) -> None:
        self._fabric_targets = sorted(self._live_hosts)
        for host_id in sorted(self.hosts):
            self._call_host_later(
                self.random.random() * spread, host_id, self._update_members
            )

    def _update_members(self, host_id: model.HostId) -> None:
        host = self.hosts[host_id]
        host.membership_version += 1
        host.router.set_members(
            model.MembershipView(
                host.membership_version,
                tuple(sorted(self._live_hosts)),
                tuple(sorted(self.leaving & self._live_hosts)),
                fresh=host.fresh,
            )
        )

    def _apply_view(
        self,
        host_id: model.HostId,
        view: views.ServiceView,
        published_at: datetime.timedelta,
    ) -> None:
        host = self.hosts[host_id]
        host.router.apply_view(view, self.now - published_at)
        host.applied_views.add((view.service_id, view.version))
        if not host.fresh and not host.recovering:
            host.fresh = self._has_due_views(host)
            self._update_members(host_id)

    def _mark_not_fresh_if_behind(self, host_id: model.HostId) -> None:
        host = self.hosts[host_id]
        if not self._has_due_views(host):
            host.fresh = False
            self._update_members(host_id)

    def _has_due_views(self, host: flow_types.HostState) -> bool:
        """Return whether a host has all views past the freshness limit."""
        return all(
            (view.service_id, view.version) in host.applied_views
            for published in self._published_views.values()
            for view, published_at in published
            if self.now - published_at >= views.FRESHNESS_LIMIT
        )

    def _call_host_later(
        self,
        delay: datetime.timedelta,
        host_id: model.HostId,
        action: collections.abc.Callable[[model.HostId], None],
    ) -> None:
        self.network.call_later(delay, lambda: action(host_id), host=host_id)
