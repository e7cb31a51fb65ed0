"""Many flow routers and their callers on a manual clock."""

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

_TICK = datetime.timedelta(milliseconds=250)
_OPEN_RETRY = datetime.timedelta(milliseconds=500)
_LEARN_DEATH = datetime.timedelta(seconds=1)
_LEARN_CHANGE = datetime.timedelta(seconds=1)
_RELEARN = datetime.timedelta(milliseconds=500)
# A longer gap between two actions of a host means that it was paused.
_PAUSE = datetime.timedelta(seconds=1)
# Views that the peer of a joining host may not have yet.
_RECENT = datetime.timedelta(seconds=5)
_ZERO = datetime.timedelta(0)


class FlowCluster:
    """Balancers of one data centre under faults.

    Parameters
    ----------
    make_router : Callable
        Makes the router of a host.
    seed : int
        Seed of all random choices.
    balancers : int
        Number of hosts at the start.
    link : harness.LinkSettings or None
        Behaviour of the network between the hosts.
    echo_token : bool
        Whether callers send the name of the upstream that answered first.

    See Also
    --------
    acaciamoor.load.scenarios.flow_oracle.FlowOracle : Judges the packets.
    """

    def __init__(
        self,
        make_router: flow_types.MakeRouter,
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
        self.hosts: dict[model.HostId, flow_types.Host] = {}
        self._make_router = make_router
        self._echo_token = echo_token
        # Hosts that the others believe to be live, and those of them that
        # the fabric sends to.
        self._listed: set[model.HostId] = set()
        self._fabric: list[model.HostId] = []
        self._published: dict[
            model.ServiceId, list[tuple[views.ServiceView, datetime.timedelta]]
        ] = collections.defaultdict(list)
        for number in range(balancers):
            self._start(model.HostId(f'host-{number}'))
        self._announce(_ZERO)

    @property
    def now(self) -> datetime.timedelta:
        """Virtual time."""
        return self.network.clock.monotonic()

    @property
    def running(self) -> list[model.HostId]:
        """Hosts that are neither frozen nor leaving."""
        return [
            host_id
            for host_id in self.hosts
            if host_id not in self.frozen | self.leaving
        ]

    def run_for(self, duration: datetime.timedelta) -> None:
        """Let time pass."""
        self.network.run_until(self.now + duration)

    def publish(
        self,
        view: views.ServiceView,
        spread: datetime.timedelta = _ZERO,
        late: collections.abc.Collection[model.HostId] = (),
    ) -> None:
        """Publish a view that reaches the hosts unevenly within `spread`.

        Hosts in `late` get it 4 s later than the others and are not fresh
        from the time when they would have missed its announcement.
        """
        self._published[view.service_id].append((view, self.now))
        self.oracle.allow(view)
        published = self.now
        for host_id in sorted(self.hosts):
            delay = self.random.random() * spread
            if host_id in late:
                delay += datetime.timedelta(seconds=4)
            if delay > views.FRESHNESS_LIMIT:
                self._after(views.FRESHNESS_LIMIT, host_id, self._become_stale)
            self._after(
                delay,
                host_id,
                lambda host_id: self._apply(host_id, view, published),
            )

    def join(self, host_id: model.HostId) -> None:
        """Start a balancer with a snapshot from a running one."""
        peer = self.hosts[self.random.choice(self.running)]
        self._start(host_id)
        host = self.hosts[host_id]
        for view, age in peer.router.retained_views():
            host.router.apply_view(view, age)
        for service_id, published in self._published.items():
            for view, instant in published:
                if self.now - instant < _RECENT:
                    host.router.apply_view(view, self.now - instant)
                host.applied.add((service_id, view.version))
        self._announce(_LEARN_CHANGE)
        self._learn_members(host_id)

    def leave(self, host_id: model.HostId) -> None:
        """Drain a balancer; it ends 30 s later."""
        self.leaving.add(host_id)
        self._announce(_LEARN_CHANGE)
        self.network.call_later(
            datetime.timedelta(seconds=30), lambda: self.kill(host_id)
        )

    def kill(self, host_id: model.HostId) -> None:
        """End a balancer; the others learn it 1 to 2 s later."""
        if self.hosts.pop(host_id, None) is None:
            return
        self.network.remove_host(host_id)
        self.leaving.discard(host_id)
        self.frozen.discard(host_id)
        self.network.call_later(_LEARN_DEATH, self._detect)

    def freeze(self, host_id: model.HostId) -> None:
        """Stop a balancer without its knowledge."""
        self.frozen.add(host_id)
        self.network.freeze(host_id)
        self.network.call_later(_LEARN_DEATH, self._detect)

    def resume(self, host_id: model.HostId) -> None:
        """Let a frozen balancer go on."""
        if host_id in self.frozen:
            self.frozen.discard(host_id)
            self.network.resume(host_id)

    def open_flow(self, service_id: model.ServiceId) -> flow_types.CallerFlow:
        """Start a stream; its caller repeats OPEN until it is delivered."""
        flow = flow_types.CallerFlow(
            service_id, self.random.getrandbits(64), self.now
        )
        self.oracle.flows.append(flow)
        self._send_open(flow)
        return flow

    def send(
        self, flow: flow_types.CallerFlow, kind: wire.EnvelopeKind
    ) -> None:
        """Send a packet of a stream through a random balancer."""
        if flow.delivered is None or flow.closed:
            return
        flow.closed = kind is wire.EnvelopeKind.CLOSE
        self._spray(flow, kind)

    def control_bytes(self) -> dict[model.HostId, int]:
        """Return the larger of sent and received bytes of every host."""
        return {
            host_id: max(host.control_sent, host.control_received)
            for host_id, host in self.hosts.items()
        }

    def recorded_flows(self) -> int:
        """Return the number of records on all hosts."""
        return sum(
            getattr(host.router, 'recorded_flows', 0)
            for host in self.hosts.values()
        )

    def _send_open(self, flow: flow_types.CallerFlow) -> None:
        if flow.delivered is None:
            self._spray(flow, wire.EnvelopeKind.OPEN)
        if flow.delivered is None:
            self.network.call_later(_OPEN_RETRY, lambda: self._send_open(flow))

    def _spray(
        self, flow: flow_types.CallerFlow, kind: wire.EnvelopeKind
    ) -> None:
        host_id = self.random.choice(self._fabric)
        hop = None
        if self._echo_token and flow.upstream_id is not None:
            hop = flows.Hop(flows.HopPurpose.RESOLVE, 0, flow.upstream_id)
        packet = flow_types.Packet(flow, kind, hop)
        if host_id in self.frozen:
            self.network.call_later(
                _ZERO, lambda: self._handle(host_id, packet), host=host_id
            )
        elif host_id in self.hosts:
            self._handle(host_id, packet)

    def _handle(
        self, host_id: model.HostId, packet: flow_types.Packet
    ) -> None:
        host = self.hosts[host_id]
        if self._was_paused(host_id, host):
            return
        flow = packet.flow
        decision = host.router.route(
            flow.service_id, flow.flow, packet.kind, packet.hop
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
            self.oracle.deliver(packet, decision.upstream, self.now)
        else:
            self.oracle.refuse(flow, decision.reason)

    def _receive(
        self, host_id: model.HostId, sender: str, message: object
    ) -> None:
        if isinstance(message, flow_types.Packet):
            self._handle(host_id, message)
            return
        host = self.hosts[host_id]
        if self._was_paused(host_id, host):
            return
        host.control_received += message.encoded_bytes
        if isinstance(message, flows.PutRecords):
            host.router.receive_records(message)
        elif isinstance(message, flows.ViewNeeds):
            host.router.receive_needs(model.HostId(sender), message)

    def _was_paused(
        self, host_id: model.HostId, host: flow_types.Host
    ) -> bool:
        """Drop what waited while the host was paused, and learn again."""
        gap = self.now - host.active
        if gap > _PAUSE:
            host.fresh, host.relearning = False, True
            self._learn_members(host_id)
            self._after(_RELEARN, host_id, self._relearn)
            host.active = self.now
            return True
        if host.relearning and gap == _ZERO:
            return True
        host.active = self.now
        return False

    def _relearn(self, host_id: model.HostId) -> None:
        """Let a host hear of all views that it may have missed."""
        host = self.hosts[host_id]
        for published in list(self._published.values()):
            for view, instant in published:
                host.router.apply_view(view, self.now - instant)
                host.applied.add((view.service_id, view.version))
        host.fresh, host.relearning = True, False
        self._listed.add(host_id)
        self._announce(_LEARN_CHANGE)
        self._learn_members(host_id)

    def _start(self, host_id: model.HostId) -> None:
        router = self._make_router(host_id, self.network.clock)
        self.hosts[host_id] = flow_types.Host(router, self.now)
        self._listed.add(host_id)
        self.network.add_host(
            host_id,
            lambda sender, message: self._receive(host_id, sender, message),
        )
        self._after(_TICK, host_id, self._tick)

    def _tick(self, host_id: model.HostId) -> None:
        host = self.hosts[host_id]
        self._after(_TICK, host_id, self._tick)
        if self._was_paused(host_id, host):
            return
        for message in host.router.tick():
            receivers = (
                [message.host_id]
                if isinstance(message, flows.PutRecords)
                else [item for item in self._listed if item != host_id]
            )
            for receiver in sorted(receivers):
                host.control_sent += message.encoded_bytes
                self.network.send(host_id, receiver, message)

    def _detect(self) -> None:
        self._listed = set(self.hosts) - self.frozen
        self._announce(_LEARN_DEATH)

    def _announce(self, spread: datetime.timedelta) -> None:
        self._fabric = sorted(self._listed)
        for host_id in sorted(self.hosts):
            self._after(
                self.random.random() * spread, host_id, self._learn_members
            )

    def _learn_members(self, host_id: model.HostId) -> None:
        host = self.hosts[host_id]
        host.version += 1
        host.router.set_members(
            model.MembershipView(
                host.version,
                tuple(sorted(self._listed)),
                tuple(sorted(self.leaving & self._listed)),
                fresh=host.fresh,
            )
        )

    def _apply(
        self,
        host_id: model.HostId,
        view: views.ServiceView,
        published: datetime.timedelta,
    ) -> None:
        host = self.hosts[host_id]
        host.router.apply_view(view, self.now - published)
        host.applied.add((view.service_id, view.version))
        if not host.fresh and not host.relearning:
            host.fresh = self._knows_all(host)
            self._learn_members(host_id)

    def _become_stale(self, host_id: model.HostId) -> None:
        host = self.hosts[host_id]
        if not self._knows_all(host):
            host.fresh = False
            self._learn_members(host_id)

    def _knows_all(self, host: flow_types.Host) -> bool:
        """Return whether a host has every view that it must have heard of."""
        return all(
            (view.service_id, view.version) in host.applied
            for published in self._published.values()
            for view, instant in published
            if self.now - instant >= views.FRESHNESS_LIMIT
        )

    def _after(
        self,
        delay: datetime.timedelta,
        host_id: model.HostId,
        action: collections.abc.Callable[[model.HostId], None],
    ) -> None:
        self.network.call_later(delay, lambda: action(host_id), host=host_id)
