"""Fuzz test of concurrent operators under faults, checked by an oracle."""

import asyncio
import itertools
import os
import random
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from acaciamoor import model
import acaciamoor.naive.operator as naive_operator
import acaciamoor.operator as operator
from acaciamoor.operator import claims
from acaciamoor.operator.tests import builders
from acaciamoor.operator.tests import fuzzing
import acaciamoor.platform as platform
from acaciamoor.platform.tests import builders as platform_builders

LONG_PROFILE = os.environ.get('ACACIAMOOR_FUZZ_PROFILE') == 'long'
SETTINGS = hypothesis.settings(
    derandomize=not LONG_PROFILE,
    max_examples=2000 if LONG_PROFILE else 60,
    stateful_step_count=30 if LONG_PROFILE else 15,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
NAMES = ('desk', 'bench')
DATA_CENTRES = ('kgn-a', 'kgn-b')
PORTS = tuple(range(9001, 9007))
SEEDS = strategies.integers(0, 2**32)


def creations(name: str) -> strategies.SearchStrategy[operator.Change]:
    """Return creations whose addresses may be in use by other services."""
    return strategies.lists(
        strategies.sampled_from(PORTS), min_size=2, max_size=4, unique=True
    ).map(lambda ports: builders.creation(name, ports[0], tuple(ports[1:])))


def changes(
    service: model.Service | None, name: str
) -> strategies.SearchStrategy[operator.Change]:
    """Return changes that are applicable to the current `service`."""
    if service is None:
        return creations(name)
    ports_by_state = {True: [], False: []}
    for item in service.upstreams_by_id.values():
        ports_by_state[item.takes_new_work].append(item.address.port)
    choices = [
        strategies.builds(
            lambda port, data_centre: builders.addition(
                port, name, data_centre=data_centre
            ),
            strategies.sampled_from(PORTS),
            strategies.sampled_from(DATA_CENTRES),
        ),
        strategies.sampled_from(ports_by_state[True]).map(
            lambda port: builders.drain(port, name)
        ),
        strategies.integers(1, 3).map(
            lambda limit: operator.ChangePolicy(
                name=name, fields={'queue_limit': limit}
            )
        ),
        strategies.just(operator.DeleteService(name=name)),
    ]
    if ports_by_state[False]:
        choices.append(
            strategies.sampled_from(ports_by_state[False]).map(
                lambda port: builders.removal(port, name)
            )
        )
    return strategies.one_of(choices)


class OperatorMachine(stateful.RuleBasedStateMachine):
    """Runs concurrent operators on one platform, with faults."""

    wrap_transport = staticmethod(builders.identity)

    def __init__(self):
        super().__init__()
        self.site = builders.Site(self.wrap_transport, fuzzing.CheckedTable())
        self.oracle = fuzzing.Oracle(self.site.table)
        self.delayed_writes = []
        self.store_seeds = itertools.count()
        self.runner = asyncio.Runner()

    def teardown(self):
        self.runner.close()

    @stateful.initialize()
    def create(self):
        for name, *ports in (
            ('desk', 9001, 9002, 9003),
            ('bench', 9004, 9005),
        ):
            change = builders.creation(name, ports[0], tuple(ports[1:]))
            self.runner.run(self._run([(change, 0)]))
        self.oracle.accept_current_state()

    @stateful.rule(data=strategies.data(), count=strategies.integers(1, 3))
    def change(self, data, count):
        batch = []
        for _ in range(count):
            name = data.draw(strategies.sampled_from(NAMES))
            change = data.draw(changes(self.site.service(name), name))
            batch.append((change, data.draw(SEEDS)))
        outcomes = self.runner.run(self._run(batch))
        problems = self.oracle.check(outcomes)
        assert not problems, (problems, outcomes)

    @stateful.rule(data_centre=strategies.sampled_from(DATA_CENTRES))
    def confirm(self, data_centre):
        version = self.site.table.listing('services').version
        self.site.confirm(version, data_centre)

    @stateful.rule()
    def wait(self):
        self.site.clock.advance(claims.ABANDONED_AFTER)

    @stateful.precondition(lambda self: self.delayed_writes)
    @stateful.rule()
    def deliver_delayed_write(self):
        write = self.delayed_writes.pop(0)
        try:
            self.site.table.write(write)
        except platform.StoreError:
            return
        problems = self.oracle.check([])
        assert not problems, problems

    async def _run(self, batch):
        return await asyncio.gather(
            *(self._execute(change, seed) for change, seed in batch)
        )

    async def _execute(self, change, seed):
        transport = fuzzing.FaultyTransport(
            self.site.table, seed, self.delayed_writes
        )
        store = platform.PlatformStore(
            self.wrap_transport(transport),
            # The stores must generate different change identifiers.
            random.Random(next(self.store_seeds)),
            platform_builders.no_sleep,
        )
        editor = operator.ServiceEditor(store, self.site.clock)
        try:
            return change, await editor.execute(change)
        except fuzzing.Crash:
            return change, None


class NaiveMachine(OperatorMachine):
    """Runs the same operators with unconditional writes."""

    wrap_transport = staticmethod(naive_operator.UnconditionalTransport)


class FuzzOperatorTest(unittest.TestCase):
    def test_operators_under_faults(self):
        """Guards against lost or reverted changes and shared addresses."""
        stateful.run_state_machine_as_test(OperatorMachine, settings=SETTINGS)

    def test_oracle_detects_unconditional_writes(self):
        """Guards against an oracle that accepts any result."""
        with self.assertRaises(AssertionError):
            stateful.run_state_machine_as_test(
                NaiveMachine,
                settings=hypothesis.settings(
                    SETTINGS, phases=[hypothesis.Phase.generate]
                ),
            )
