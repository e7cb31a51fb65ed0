"""Simulation of one service: its callers, balancers and upstreams."""

import collections.abc
import dataclasses
import datetime
import functools

from acaciamoor import harness
from acaciamoor.load.scenarios import placement_hosts as hosts
from acaciamoor.load.scenarios import placement_naive as naive_hosts
from acaciamoor.load.scenarios import placement_oracle as oracles
from acaciamoor.load.scenarios import placement_settings as world_settings
from acaciamoor.load.scenarios import placement_upstream
from acaciamoor.model import address as addresses
from acaciamoor.model import identifiers
from acaciamoor.model import upstream as upstream_models
from acaciamoor.placement import messages
from acaciamoor.requests import request_part as request_parts
from acaciamoor.wire import envelope as wire

DATA_CENTRE = identifiers.DataCentre('quimper')
# Time within which all hosts learn of a change of the members. The settle time
# of a placer must be longer.
VIEW_SPREAD = datetime.timedelta(milliseconds=800)
# Time until the other hosts consider an unresponsive host dead.
FAILURE_DETECTION_DELAY = datetime.timedelta(seconds=2)
_CALLER_LINK_DELAY = datetime.timedelta(milliseconds=1)
_ZERO = datetime.timedelta(0)


class World:
    """Simulation of one service in one data centre, on virtual time.

    The leader is the host whose placer binds the requests of the service.
    Each host learns of a change of the leader or of the upstreams at a random
    time within `VIEW_SPREAD`.

    Parameters
    ----------
    settings : world_settings.WorldSettings
        Sizes, seed and delays.
    baseline : naive_hosts.Baseline or None
        Naive placement to simulate; None for Acaciamoor's placers.
    """

    def __init__(
        self,
        settings: world_settings.WorldSettings,
        baseline: naive_hosts.Baseline | None = None,
    ) -> None:
        self.settings = settings
        self.network = harness.VirtualNetwork(
            settings.seed, harness.LinkSettings(delay=settings.link_delay)
        )
        self.counts: naive_hosts.SharedCounts | None = None
        self.oracle = oracles.Oracle()
        self.upstreams = tuple(
            upstream_models.Upstream(
                identifiers.UpstreamId(f'lots-{index}'),
                DATA_CENTRE,
                addresses.Address('127.0.0.1', 9000 + index),
                slots=settings.slots,
            )
            for index in range(1, settings.upstreams + 1)
        )
        self.stand_ins_by_id = {
            item.upstream_id: placement_upstream.SimulatedUpstream(
                self.network, item, self.oracle, settings.upstream_queue
            )
            for item in self.upstreams
        }
        names = [f'host-{index}' for index in range(settings.balancers)]
        make_host = hosts.PlacerHost
        if baseline is not None:
            self.counts = naive_hosts.SharedCounts(self.network)
            make_host = functools.partial(
                naive_hosts.NaiveHost, baseline=baseline, counts=self.counts
            )
        self.hosts_by_name = {
            name: make_host(
                name,
                self.network,
                settings.policy,
                self.on_reply,
                settings.tick,
            )
            for name in names
        }
        # Hosts in the order in which they become the leader, without those
        # that were killed.
        self.ranking = names
        for host in self.hosts_by_name.values():
            host.set_initial_leader(names[0], names[1 % len(names)])
            host.on_message('member', hosts.UpstreamsUpdate(self.upstreams))

    @property
    def now(self) -> datetime.timedelta:
        """Current virtual time."""
        return self.network.clock.monotonic()

    @property
    def leader(self) -> hosts.PlacerHost:
        """Current leader, of which some hosts may not have learned yet."""
        return self.hosts_by_name[self.ranking[0]]

    def run_for(self, step: datetime.timedelta) -> None:
        """Advance the virtual time by `step`."""
        self.network.run_until(self.now + step)

    def start(self) -> None:
        """Wait until the first placer has settled."""
        self.run_for(datetime.timedelta(seconds=1.1))

    def send(
        self,
        key: request_parts.RequestKey,
        run_time: datetime.timedelta,
        timeout: datetime.timedelta,
        idempotent: bool = False,
        size_class: wire.SizeClass = wire.SizeClass.UNKNOWN,
    ) -> oracles.CallerRecord:
        """Send the first attempt of a request to a random balancer."""
        request_part = request_parts.RequestPart(
            flow=key.flow,
            request=key.request,
            attempt=0,
            idempotent=idempotent,
            age=_ZERO,
            deadline=self.now + timeout,
            size_class=size_class,
            caller=key,
            payload=placement_upstream.Job(run_time),
        )
        record = self.oracle.record_send(request_part, self.now)
        self._send_attempt(request_part)
        return record

    def retransmit(self, key: request_parts.RequestKey) -> None:
        """Send another attempt of a request."""
        record = self.oracle.records_by_key[key]
        request_part = dataclasses.replace(
            record.first_part,
            attempt=record.attempts,
            age=self.now - record.sent_at,
        )
        record.attempts += 1
        self._send_attempt(request_part)

    def cancel(self, key: request_parts.RequestKey) -> None:
        """Notify the leader that a caller has cancelled its request."""
        self.network.send('caller', self.ranking[0], hosts.Cancel(key))

    def on_reply(self, reply: messages.Reply) -> None:
        """Deliver a reply to its caller."""
        self.network.call_later(
            _CALLER_LINK_DELAY,
            lambda: self.oracle.record_reply(
                reply.request_part.caller,
                reply.request_part.attempt,
                reply.outcome,
                reply.reason,
                reply.payload,
                self.now,
            ),
        )

    def set_upstreams(
        self, upstreams: collections.abc.Iterable[upstream_models.Upstream]
    ) -> None:
        """Change the upstreams; hosts learn of it at different times."""
        self.upstreams = tuple(upstreams)
        for name in self.hosts_by_name:
            self._notify(name, hosts.UpstreamsUpdate(self.upstreams))

    def set_upstream_states(
        self, states: collections.abc.Iterable[upstream_models.UpstreamState]
    ) -> None:
        """Set the states of all upstreams, in their order."""
        self.set_upstreams(
            dataclasses.replace(upstream, state=state)
            for upstream, state in zip(self.upstreams, states, strict=True)
        )

    def move_leader(self, leaving: bool = True) -> None:
        """Make the next live host the leader.

        Either the leader announces that it leaves, or the next host joins.
        The host that causes the change learns of it immediately.
        """
        first = self.ranking[0]
        self._demote(first)
        initiator = first if leaving else self.ranking[0]
        self.hosts_by_name[initiator].on_message(
            'member', self._leader_update()
        )

    def kill_leader(self) -> None:
        """Kill the leader's process; the others detect it after a delay."""
        dead = self.leader
        dead.alive = False
        self.network.remove_host(dead.name)
        self.ranking.remove(dead.name)
        self._announce_leader(FAILURE_DETECTION_DELAY)

    def freeze_leader(self, duration: datetime.timedelta) -> None:
        """Pause the leader's process for `duration`, without notice."""
        frozen = self.leader
        self.network.freeze(frozen.name)
        self._demote_when_detected(frozen.name, duration)
        self.network.call_later(
            duration, lambda: self._resume_host(frozen.name)
        )

    def cut_leader(self, duration: datetime.timedelta) -> None:
        """Partition the leader from the other hosts for `duration`.

        It can still reach callers and upstreams.
        """
        host = self.leader
        host.cut_off = True
        self._demote_when_detected(host.name, duration)
        self.network.call_later(duration, lambda: self._heal_partition(host))

    def _send_attempt(self, request_part: request_parts.RequestPart) -> None:
        alive = [n for n in self.ranking if self.hosts_by_name[n].alive]
        target = self.network.random.choice(alive)
        jitter = self.network.random.random() * self.settings.request_jitter
        self.network.call_later(
            _CALLER_LINK_DELAY + jitter,
            lambda: self.hosts_by_name[target].on_message(
                'caller', hosts.Forward(request_part)
            ),
            host=target,
        )

    def _demote(self, name: str) -> None:
        alive = [n for n in self.ranking if self.hosts_by_name[n].alive]
        alive.remove(name)
        self.ranking = [*alive, name]
        self._announce_leader()

    def _demote_when_detected(
        self, name: str, duration: datetime.timedelta
    ) -> None:
        def demote() -> None:
            if self.ranking[0] == name:
                self._demote(name)

        if duration > FAILURE_DETECTION_DELAY:
            self.network.call_later(FAILURE_DETECTION_DELAY, demote)

    def _announce_leader(self, delay: datetime.timedelta = _ZERO) -> None:
        for name in self.hosts_by_name:
            self._notify(name, self._leader_update(), delay)

    def _leader_update(self) -> hosts.LeaderUpdate:
        return hosts.LeaderUpdate(self.ranking[0], self.ranking[-1])

    def _notify(
        self,
        name: str,
        message: object,
        delay: datetime.timedelta = _ZERO,
    ) -> None:
        spread = self.network.random.random() * VIEW_SPREAD
        host = self.hosts_by_name[name]

        def deliver() -> None:
            if isinstance(message, hosts.LeaderUpdate):
                if host.cut_off:
                    return
                self._rejoin(host)
            else:
                host.on_message('member', message)

        self.network.call_later(delay + spread, deliver, host=name)

    def _rejoin(self, host: hosts.PlacerHost) -> None:
        host.rejoin()
        host.on_message('member', self._leader_update())

    def _resume_host(self, name: str) -> None:
        self.network.resume(name)
        self._notify(name, self._leader_update())

    def _heal_partition(self, host: hosts.PlacerHost) -> None:
        host.cut_off = False
        self._notify(host.name, self._leader_update())
        self._notify(host.name, hosts.UpstreamsUpdate(self.upstreams))
