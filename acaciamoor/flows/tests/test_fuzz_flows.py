"""Pairs of faults, checked by an oracle that tracks every flow."""

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
# The shrink phase is left out: it takes minutes and hardly shortens a failure,
# since most failures need many pairs of faults. A failure prints the seed and
# the pairs as generated.
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
KEEPALIVE_INTERVAL = datetime.timedelta(seconds=5)
# Covers the detection of a dead host and one keepalive of every flow.
SETTLE = datetime.timedelta(seconds=20)
# A leaving host stops 30 s after it starts to leave.
LEAVE_DURATION = datetime.timedelta(seconds=35)
UPSTREAM_COUNT = 8


def make_router(host_id, clock):
    """Return the router under test."""
    return flows.FlowRouter(host_id, clock)


class Site:
    """Simulated cluster with two services, callers and fault injection."""

    def __init__(self, seed, router=make_router):
        self.cluster = flow_cluster.FlowCluster(
            router,
            seed,
            balancers=5,
            link=harness.LinkSettings(jitter=datetime.timedelta(seconds=0.02)),
        )
        self.random = self.cluster.random
        self.next_host_number = 5
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
                UPSTREAM_COUNT,
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
                self.random.random() * KEEPALIVE_INTERVAL,
                lambda flow=flow: self.send_periodically(flow),
            )

    def send_periodically(self, flow):
        kind = (
            wire.EnvelopeKind.CLOSE
            if self.random.random() < 0.01
            else wire.EnvelopeKind.KEEPALIVE
        )
        self.cluster.send(flow, kind)
        if not flow.closed:
            self.cluster.network.call_later(
                KEEPALIVE_INTERVAL * (0.5 + self.random.random()),
                lambda: self.send_periodically(flow),
            )

    def change_view(self, late=()):
        """Drain an upstream, or reactivate a draining one."""
        service_id = self.random.choice(SERVICES)
        draining = self.draining[service_id]
        number = self.random.randint(1, UPSTREAM_COUNT)
        if number in draining:
            draining.remove(number)
        elif len(draining) < UPSTREAM_COUNT - 2:
            draining.add(number)
        self.publish(service_id, late)

    def change_view_late(self):
        running = self.cluster.running
        self.change_view(late={self.random.choice(running)})

    def join(self):
        self.cluster.join(model.HostId(f'host-{self.next_host_number}'))
        self.next_host_number += 1

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
        """Inject two faults, `gap` seconds apart, and wait until both end."""
        self.open_flows(15)
        getattr(self, first)()
        self.cluster.run_for(datetime.timedelta(seconds=gap))
        self.open_flows(15)
        getattr(self, second)()
        self.cluster.run_for(SETTLE)
        if 'leave' in (first, second):
            self.cluster.run_for(LEAVE_DURATION)


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
    """Guards against a pair of faults that breaks a flow whose upstream is
    alive, or that routes a packet to a different service.
    """

    settings = SETTINGS


class NaiveMachineTest(unittest.TestCase):
    def test_naive_variants_break_flows_under_the_same_check(self):
        """Guards against an oracle that accepts any implementation."""
        for placement in naive_flows.HashScheme:
            for table in (False, True):
                site = Site(
                    7,
                    lambda host_id, clock, placement=placement, table=table: (
                        naive_flows.NaiveRouter(placement, table)
                    ),
                )
                site.faults('change_view', 'kill', 0.3)
                self.assertGreater(site.cluster.oracle.broken_flows(), 0)
