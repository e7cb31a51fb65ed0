"""Two faults at a time against an oracle that knows every flow."""

import datetime
import os
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from acaciamoor import flows
from acaciamoor import harness
from acaciamoor import model
from acaciamoor import wire
from acaciamoor.flows.tests import builders
from acaciamoor.load.scenarios import flow_cluster
from acaciamoor.naive import flows as naive_flows

_LONG = os.environ.get('ACACIAMOOR_FUZZ_PROFILE') == 'long'
# Shrinking a failure takes minutes and hardly shortens it: most failures need
# many pairs of faults. The seed and the pairs are printed as they are.
PHASES = (
    hypothesis.Phase.explicit,
    hypothesis.Phase.reuse,
    hypothesis.Phase.generate,
)
SETTINGS = hypothesis.settings(
    max_examples=200 if _LONG else 12,
    phases=PHASES,
    stateful_step_count=24 if _LONG else 8,
    derandomize=not _LONG,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
SERVICES = (model.ServiceId(1), model.ServiceId(2))
KEEPALIVE = datetime.timedelta(seconds=5)
# Detection of a death, and one keepalive of every flow.
SETTLE = datetime.timedelta(seconds=20)
# A leaving host ends 30 s after it began to leave.
LEAVE = datetime.timedelta(seconds=35)
UPSTREAMS = 8


def make_router(host_id, clock):
    """Return the router under test."""
    return flows.FlowRouter(host_id, clock)


class Site:
    """A cluster with two services, their callers and every kind of fault."""

    def __init__(self, seed, router=make_router):
        self.cluster = flow_cluster.FlowCluster(
            router,
            seed,
            balancers=5,
            link=harness.LinkSettings(jitter=datetime.timedelta(seconds=0.02)),
        )
        self.random = self.cluster.random
        self.started = 5
        self.versions = dict.fromkeys(SERVICES, 1)
        self.draining = {service_id: set() for service_id in SERVICES}
        self.cuts = []
        for service_id in SERVICES:
            self.publish(service_id)
        self.cluster.run_for(datetime.timedelta(seconds=10))
        self.open_flows(60)

    def publish(self, service_id, late=()):
        self.cluster.publish(
            builders.view(
                self.versions[service_id],
                UPSTREAMS,
                self.draining[service_id],
                service_id=service_id,
                name=f'up{service_id}',
            ),
            datetime.timedelta(seconds=2),
            late,
        )
        self.versions[service_id] += 1

    def open_flows(self, count):
        for _ in range(count):
            flow = self.cluster.open_flow(self.random.choice(SERVICES))
            self.cluster.network.call_later(
                self.random.random() * KEEPALIVE,
                lambda flow=flow: self.keep(flow),
            )

    def keep(self, flow):
        kind = (
            wire.EnvelopeKind.CLOSE
            if self.random.random() < 0.01
            else wire.EnvelopeKind.KEEPALIVE
        )
        self.cluster.send(flow, kind)
        if not flow.closed:
            self.cluster.network.call_later(
                KEEPALIVE * (0.5 + self.random.random()),
                lambda: self.keep(flow),
            )

    def change_view(self, late=()):
        """Drain an upstream or take a drained one back."""
        service_id = self.random.choice(SERVICES)
        draining = self.draining[service_id]
        number = self.random.randint(1, UPSTREAMS)
        if number in draining:
            draining.remove(number)
        elif len(draining) < UPSTREAMS - 2:
            draining.add(number)
        self.publish(service_id, late)

    def change_view_late(self):
        running = self.cluster.running
        self.change_view(late={self.random.choice(running)})

    def join(self):
        self.cluster.join(model.HostId(f'host-{self.started}'))
        self.started += 1

    def leave(self):
        running = self.cluster.running
        if len(running) > 3:
            self.cluster.leave(self.random.choice(running))

    def kill(self):
        running = self.cluster.running
        if len(running) > 3:
            self.cluster.kill(self.random.choice(running))

    def freeze(self):
        running = self.cluster.running
        if len(running) > 3:
            host_id = self.random.choice(running)
            self.cluster.freeze(host_id)
            self.cluster.network.call_later(
                datetime.timedelta(seconds=0.5 + 12 * self.random.random()),
                lambda: self.cluster.resume(host_id),
            )

    def cut(self):
        pair = self.random.sample(self.cluster.running, 2)
        self.cluster.network.cut(*pair)
        self.cluster.network.call_later(
            datetime.timedelta(seconds=8),
            lambda: self.cluster.network.heal(*pair),
        )

    def faults(self, first, second, gap):
        """Let two faults happen `gap` apart and wait until both are over."""
        self.open_flows(15)
        getattr(self, first)()
        self.cluster.run_for(datetime.timedelta(seconds=gap))
        self.open_flows(15)
        getattr(self, second)()
        self.cluster.run_for(SETTLE)
        if 'leave' in (first, second):
            self.cluster.run_for(LEAVE)


PLANNED = ('change_view', 'change_view_late', 'join', 'leave', 'cut')
LOSSES = ('kill', 'freeze')


class FlowMachine(stateful.RuleBasedStateMachine):
    """Pairs of a planned change and any other fault."""

    router = staticmethod(make_router)

    @stateful.initialize(seed=strategies.integers(0, 2**32 - 1))
    def start(self, seed):
        self.site = Site(seed, self.router)

    @stateful.rule(
        first=strategies.sampled_from(PLANNED),
        second=strategies.sampled_from(PLANNED + LOSSES),
        gap=strategies.sampled_from([0.0, 0.3, 1.0, 2.6]),
        swap=strategies.booleans(),
    )
    def faults(self, first, second, gap, swap):
        pair = (second, first) if swap else (first, second)
        self.site.faults(*pair, gap)

    @stateful.rule()
    def outlast_the_retention(self):
        self.site.cluster.run_for(datetime.timedelta(seconds=70))

    @stateful.invariant()
    def no_flow_is_broken(self):
        cluster = self.site.cluster
        assert cluster.oracle.wrong_service == 0
        assert cluster.oracle.broken_flows() == 0
        assert cluster.oracle.silent_flows(cluster.now - 2 * SETTLE) == 0


class FlowMachineTest(FlowMachine.TestCase):
    """Guards against a pair of faults that breaks a flow whose upstream
    lives, or that sends a packet to another service.
    """

    settings = SETTINGS


class NaiveMachineTest(unittest.TestCase):
    def test_naive_variants_break_flows_under_the_same_check(self):
        """Guards against a check that no implementation can fail."""
        for placement in naive_flows.Placement:
            for table in (False, True):
                site = Site(
                    7,
                    lambda host_id, clock, placement=placement, table=table: (
                        naive_flows.NaiveRouter(placement, table)
                    ),
                )
                site.faults('change_view', 'kill', 0.3)
                self.assertGreater(site.cluster.oracle.broken_flows(), 0)
