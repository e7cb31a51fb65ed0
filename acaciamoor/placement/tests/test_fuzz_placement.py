"""Stateful fuzzing of several placers in a simulated network.

Rules inject faults at any time, so that faults may overlap. An oracle observes
every run at an upstream and every reply to a caller.
"""

import datetime
import os
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from acaciamoor.load.scenarios import placement_settings as world_settings
from acaciamoor.load.scenarios import placement_world as worlds
from acaciamoor.model import policy as policies
from acaciamoor.model import upstream as upstreams
from acaciamoor.placement import messages
from acaciamoor.requests import request_part as works
from acaciamoor.wire import envelope as wire

MILLISECOND = datetime.timedelta(milliseconds=1)
LONG = os.environ.get('ACACIAMOOR_FUZZ_PROFILE') == 'long'
SETTINGS = hypothesis.settings(
    derandomize=not LONG,
    database=None,
    deadline=None,
    max_examples=1000 if LONG else 60,
    stateful_step_count=60 if LONG else 40,
    suppress_health_check=list(hypothesis.HealthCheck),
)
durations = strategies.integers(min_value=100, max_value=5000)
indexes = strategies.integers(min_value=0, max_value=2)


class PlacementMachine(stateful.RuleBasedStateMachine):
    """Four balancers, three upstreams of two slots, and short timeouts."""

    def __init__(self):
        super().__init__()
        self.world = worlds.World(
            world_settings.WorldSettings(
                balancers=4,
                upstreams=3,
                policy=policies.Policy(queue_limit=8),
                upstream_queue=0,
                request_jitter=900 * MILLISECOND,
                tick=50 * MILLISECOND,
            )
        )
        self.world.start()
        self.keys = []

    @stateful.rule(
        idempotent=strategies.booleans(),
        service=strategies.sampled_from([5, 50, 600, 3000]),
        timeout=strategies.sampled_from([200, 1500, 8000]),
        size_class=strategies.sampled_from(list(wire.SizeClass)),
        same_flow=strategies.booleans(),
        count=strategies.integers(min_value=1, max_value=6),
    )
    def send(self, idempotent, service, timeout, size_class, same_flow, count):
        """Send requests, each retransmitted up to twice until a reply."""
        for _ in range(count):
            number = len(self.keys) + 1
            flow = 1 if same_flow else 1000 + number
            key = works.RequestKey(flow, number)
            self.keys.append(key)
            self.world.send(
                key,
                service * MILLISECOND,
                timeout * MILLISECOND,
                idempotent,
                size_class,
            )
            for delay in (300, 1300):
                self.world.network.call_later(
                    delay * MILLISECOND,
                    lambda key=key: self.retransmit(key),
                )

    def retransmit(self, key):
        """Send another attempt, unless the caller has received a reply."""
        if self.world.oracle.records_by_key[key].ended_at is None:
            self.world.retransmit(key)

    @stateful.rule(step=strategies.integers(min_value=1, max_value=2500))
    def advance(self, step):
        """Advance the simulated time."""
        self.world.run_for(step * MILLISECOND)

    @stateful.precondition(lambda self: self.keys)
    @stateful.rule(index=strategies.integers(min_value=0, max_value=9))
    def cancel(self, index):
        """A caller cancels its request."""
        self.world.cancel(self.keys[-1 - index % len(self.keys)])

    @stateful.precondition(lambda self: self.keys)
    @stateful.rule(index=strategies.integers(min_value=0, max_value=9))
    def retransmit_late(self, index):
        """A request is retransmitted, even if its caller has a reply."""
        self.world.retransmit(self.keys[-1 - index % len(self.keys)])

    @stateful.precondition(lambda self: len(self.world.ranking) > 2)
    @stateful.rule()
    def kill(self):
        """The placer's process crashes."""
        self.world.kill_leader()

    @stateful.rule(duration=durations)
    def freeze(self, duration):
        """The placer's process is paused."""
        self.world.freeze_leader(duration * MILLISECOND)

    @stateful.rule(duration=durations)
    def cut(self, duration):
        """A network partition separates the placer from other balancers."""
        self.world.cut_leader(duration * MILLISECOND)

    @stateful.rule(leaving=strategies.booleans())
    def move(self, leaving):
        """A planned change of placer; hosts learn of it at different times."""
        self.world.move_leader(leaving)

    @stateful.rule(index=indexes)
    def drain(self, index):
        """Drain one upstream and reactivate the others."""
        states = [upstreams.UpstreamState.ACTIVE] * 3
        states[index] = upstreams.UpstreamState.DRAINING
        self.world.set_upstream_states(states)

    @stateful.rule(
        index=indexes,
        slots=strategies.integers(min_value=0, max_value=2),
    )
    def shed(self, index, slots):
        """An upstream runs fewer requests than its slots allow."""
        self.stand_in(index).slots = slots

    @stateful.rule(
        index=indexes,
        delay=strategies.sampled_from([0, 100, 3000]),
        copies=strategies.integers(min_value=1, max_value=2),
    )
    def delay_answers(self, index, delay, copies):
        """An upstream's answers are delayed, reordered and duplicated."""
        self.stand_in(index).answer_delay = delay * MILLISECOND
        self.stand_in(index).copies = copies

    @stateful.rule(
        index=indexes,
        running=strategies.integers(min_value=0, max_value=3),
        healthy=strategies.booleans(),
    )
    def mislead(self, index, running, healthy):
        """Load and health endpoints return arbitrary values."""
        name = self.stand_in(index).name
        sent = [messages.LoadReport(name, running)]
        sent += [messages.ProbeResult(name, healthy)] * 3
        for message in sent:
            self.world.network.send(name, self.world.ranking[0], message)

    @stateful.invariant()
    def guarantees_hold(self):
        """Check that the oracle has seen no violation of a guarantee.

        Violations are a second run, a false "not run", an answer to another
        request, an overloaded upstream and a binding to a draining one.
        """
        if self.world.oracle.violations:
            raise AssertionError(self.world.oracle.violations)
        late = [host.late_binds for host in self.world.hosts_by_name.values()]
        if any(late):
            raise AssertionError(
                f'requests bound to draining upstreams, by host: {late}'
            )

    def teardown(self):
        """Check that requests are served again once the faults are over."""
        for index in range(3):
            self.shed(index, 2)
            self.delay_answers(index, 0, 1)
        self.world.set_upstream_states([upstreams.UpstreamState.ACTIVE] * 3)
        self.advance(12_000)
        self.guarantees_hold()
        key = works.RequestKey(7, 7_000_000)
        record = self.world.send(key, MILLISECOND, 9000 * MILLISECOND)
        self.advance(9000)
        if record.outcome is not wire.Outcome.COMPLETE:
            raise AssertionError(
                f'request not completed after the faults: {record}'
            )

    def stand_in(self, index):
        """Return the simulated upstream of an index."""
        name = self.world.upstreams[index].upstream_id
        return self.world.stand_ins_by_id[name]


class PlacementFuzzTest(unittest.TestCase):
    def test_guarantees_hold_under_overlapping_faults(self):
        """Guards against sequences of faults that break a guarantee."""
        stateful.run_state_machine_as_test(PlacementMachine, settings=SETTINGS)
