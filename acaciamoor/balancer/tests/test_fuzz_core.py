"""Fuzz test of balancer cores under overlapping faults."""

import os
import unittest

import hypothesis
from hypothesis import strategies

from acaciamoor.balancer.tests import fuzzing

_IS_LONG = os.environ.get('ACACIAMOOR_FUZZ_PROFILE') == 'long'
_SETTINGS = hypothesis.settings(
    max_examples=200 if _IS_LONG else 12,
    derandomize=not _IS_LONG,
    deadline=None,
    # Shrinking takes minutes and hardly shortens the examples.
    phases=[hypothesis.Phase.explicit, hypothesis.Phase.generate],
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
_SERVICE = strategies.integers(0, 1)
_ACTIONS = strategies.one_of(
    strategies.tuples(strategies.just('open_stream'), _SERVICE),
    strategies.tuples(
        strategies.just('send_request'), _SERVICE, strategies.booleans()
    ),
    strategies.tuples(strategies.just('drain'), _SERVICE),
    strategies.tuples(strategies.just('evacuate'), strategies.booleans()),
    strategies.tuples(
        strategies.sampled_from(['kill', 'freeze', 'cut', 'repair'])
    ),
    strategies.tuples(strategies.just('wait'), strategies.integers(1, 12)),
)
_FINAL_STEPS = 24
# A long run found this example: a balancer that was killed and restarted knew
# one other member, and the two of them resolved a stream whose record the
# remaining ones held.
_MOVED_BY_A_RESTARTED_HOST = [
    ('repair',),
    ('open_stream', 0),
    ('cut',),
    ('wait', 10),
    ('drain', 0),
    ('open_stream', 0),
    ('open_stream', 0),
    ('wait', 2),
    ('wait', 6),
    ('cut',),
    ('drain', 1),
    ('drain', 0),
    ('wait', 7),
    ('drain', 0),
    ('open_stream', 0),
    ('drain', 1),
    ('wait', 10),
    ('wait', 6),
    ('send_request', 0, False),
    ('cut',),
    ('kill',),
    ('open_stream', 0),
    ('drain', 1),
    ('wait', 9),
    ('open_stream', 0),
    ('send_request', 0, True),
    ('wait', 3),
    ('open_stream', 1),
    ('open_stream', 0),
    ('send_request', 1, True),
]


def play(seed, actions):
    """Run `actions`, end all faults, and return the violations."""
    simulation = fuzzing.FaultSimulation(seed)
    for name, *arguments in actions:
        if name == 'wait':
            for _ in range(*arguments):
                simulation.step()
        else:
            getattr(simulation, name)(*arguments)
            simulation.step()
    for _ in range(3):
        simulation.repair()
    for _ in range(_FINAL_STEPS):
        simulation.step()
    return simulation.violations()


class FuzzCoreTest(unittest.TestCase):
    @_SETTINGS
    @hypothesis.example(4, _MOVED_BY_A_RESTARTED_HOST)
    @hypothesis.given(
        strategies.integers(0, 1000),
        strategies.lists(_ACTIONS, min_size=12, max_size=40),
    )
    def test_guarantees_hold_while_faults_overlap(self, seed, actions):
        """Guards against faults that break guarantees only together."""
        self.assertEqual([], play(seed, actions))
