"""Callers, balancers and upstreams of one service on virtual time."""

import collections.abc
import dataclasses
import datetime
import functools

from acaciamoor import harness
from acaciamoor.load.scenarios import placement_hosts as hosts
from acaciamoor.load.scenarios import placement_naive as naive_hosts
from acaciamoor.load.scenarios import placement_oracle as oracles
from acaciamoor.load.scenarios import placement_settings as world_settings
from acaciamoor.load.scenarios import placement_upstream as stand_ins
from acaciamoor.model import address as addresses
from acaciamoor.model import identifiers
from acaciamoor.model import upstream as upstream_models
from acaciamoor.placement import messages
from acaciamoor.requests import work as works
from acaciamoor.wire import envelope as wire

DATA_CENTRE = identifiers.DataCentre('quimper')
# Time in which a change of the members reaches all hosts; the settle time of
# a placer must be longer.
VIEW_SPREAD = datetime.timedelta(milliseconds=800)
# Time until the others take a silent host for dead.
DETECTION = datetime.timedelta(seconds=2)
_LINK = datetime.timedelta(milliseconds=1)
_ZERO = datetime.timedelta(0)


class World:
    """One service in one data centre.

    Views change unevenly: each host learns of a change at a random time
    within `VIEW_SPREAD`.
    """

    def __init__(
        self,
        settings: world_settings.WorldSettings,
        naive_kind: naive_hosts.NaiveKind | None = None,
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
            item.upstream_id: stand_ins.SimulatedUpstream(
                self.network, item, self.oracle, settings.upstream_queue
            )
            for item in self.upstreams
        }
        names = [f'host-{index}' for index in range(settings.balancers)]
        make_host = hosts.PlacerHost
        if naive_kind is not None:
            self.counts = naive_hosts.SharedCounts(self.network)
            make_host = functools.partial(
                naive_hosts.NaiveHost, kind=naive_kind, counts=self.counts
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
        self.ranking = names
        for host in self.hosts_by_name.values():
            host.start_as(names[0], names[1 % len(names)])
            host.on_message('member', hosts.NewUpstreams(self.upstreams))

    @property
    def now(self) -> datetime.timedelta:
        """Virtual monotonic time."""
        return self.network.clock.monotonic()

    @property
    def leader(self) -> hosts.PlacerHost:
        """The host that is the placer once all hosts know it."""
        return self.hosts_by_name[self.ranking[0]]

    def run_for(self, step: datetime.timedelta) -> None:
        """Let time pass."""
        self.network.run_until(self.now + step)

    def start(self) -> None:
        """Let the first placer settle."""
        self.run_for(datetime.timedelta(seconds=1.1))

    def send(
        self,
        key: works.RequestKey,
        service: datetime.timedelta,
        timeout: datetime.timedelta,
        idempotent: bool = False,
        size_class: wire.SizeClass = wire.SizeClass.UNKNOWN,
    ) -> oracles.CallerRecord:
        """Send the first attempt of a request to a random balancer."""
        work = works.Work(
            flow=key.flow,
            request=key.request,
            attempt=0,
            idempotent=idempotent,
            age=_ZERO,
            deadline=self.now + timeout,
            size_class=size_class,
            caller=key,
            payload=stand_ins.Job(service),
        )
        record = self.oracle.sent(work, self.now)
        self._transmit(work)
        return record

    def retransmit(self, key: works.RequestKey) -> None:
        """Send a further attempt of a request."""
        record = self.oracle.records_by_key[key]
        work = dataclasses.replace(
            record.work,
            attempt=record.attempts,
            age=self.now - record.sent_at,
        )
        record.attempts += 1
        self._transmit(work)

    def cancel(self, key: works.RequestKey) -> None:
        """Tell the placer that a caller has gone."""
        self.network.send('caller', self.ranking[0], hosts.Cancel(key))

    def on_reply(self, reply: messages.Reply) -> None:
        """Carry a reply to its caller."""
        self.network.call_later(
            _LINK,
            lambda: self.oracle.replied(
                reply.work.caller,
                reply.work.attempt,
                reply.outcome,
                reply.reason,
                reply.payload,
                self.now,
            ),
        )

    def set_upstreams(
        self, upstreams: collections.abc.Iterable[upstream_models.Upstream]
    ) -> None:
        """Change the upstreams; the hosts learn of it unevenly."""
        self.upstreams = tuple(upstreams)
        for name in self.hosts_by_name:
            self._inform(name, hosts.NewUpstreams(self.upstreams))

    def set_upstream_states(
        self, states: collections.abc.Iterable[upstream_models.UpstreamState]
    ) -> None:
        """Change which upstreams take new work, in order of the upstreams."""
        self.set_upstreams(
            dataclasses.replace(upstream, state=state)
            for upstream, state in zip(self.upstreams, states, strict=True)
        )

    def move_leader(self, leaving: bool = True) -> None:
        """Make the next live host the placer.

        Either the placer announces that it leaves, or the next host joins;
        the host that causes the change knows of it at once.
        """
        first = self.ranking[0]
        self._demote(first)
        knows = first if leaving else self.ranking[0]
        self.hosts_by_name[knows].on_message('member', self._view())

    def kill_leader(self) -> None:
        """End the placer's process; the others notice it later."""
        dead = self.leader
        dead.alive = False
        self.network.remove_host(dead.name)
        self.ranking.remove(dead.name)
        self._announce(DETECTION)

    def freeze_leader(self, duration: datetime.timedelta) -> None:
        """Stop the placer's process for a while, without its knowledge."""
        frozen = self.leader
        self.network.freeze(frozen.name)
        self._demote_when_detected(frozen.name, duration)
        self.network.call_later(duration, lambda: self._resume(frozen.name))

    def cut_leader(self, duration: datetime.timedelta) -> None:
        """Cut the placer off from the other hosts, not from the rest."""
        host = self.leader
        host.cut_off = True
        self._demote_when_detected(host.name, duration)
        self.network.call_later(duration, lambda: self._heal(host))

    def _transmit(self, work: works.Work) -> None:
        alive = [n for n in self.ranking if self.hosts_by_name[n].alive]
        target = self.network.random.choice(alive)
        jitter = self.network.random.random() * self.settings.request_jitter
        self.network.call_later(
            _LINK + jitter,
            lambda: self.hosts_by_name[target].on_message(
                'caller', hosts.Forward(work)
            ),
            host=target,
        )

    def _demote(self, name: str) -> None:
        alive = [n for n in self.ranking if self.hosts_by_name[n].alive]
        alive.remove(name)
        self.ranking = [*alive, name]
        self._announce()

    def _demote_when_detected(
        self, name: str, duration: datetime.timedelta
    ) -> None:
        def demote() -> None:
            if self.ranking[0] == name:
                self._demote(name)

        if duration > DETECTION:
            self.network.call_later(DETECTION, demote)

    def _announce(self, delay: datetime.timedelta = _ZERO) -> None:
        for name in self.hosts_by_name:
            self._inform(name, self._view(), delay)

    def _view(self) -> hosts.NewView:
        return hosts.NewView(self.ranking[0], self.ranking[-1])

    def _inform(
        self,
        name: str,
        message: object,
        delay: datetime.timedelta = _ZERO,
    ) -> None:
        spread = self.network.random.random() * VIEW_SPREAD
        host = self.hosts_by_name[name]

        def deliver() -> None:
            if isinstance(message, hosts.NewView):
                if host.cut_off:
                    return
                self._refresh(host)
            else:
                host.on_message('member', message)

        self.network.call_later(delay + spread, deliver, host=name)

    def _refresh(self, host: hosts.PlacerHost) -> None:
        host.refresh()
        host.on_message('member', self._view())

    def _resume(self, name: str) -> None:
        self.network.resume(name)
        self._inform(name, self._view())

    def _heal(self, host: hosts.PlacerHost) -> None:
        host.cut_off = False
        self._inform(host.name, self._view())
        self._inform(host.name, hosts.NewUpstreams(self.upstreams))
