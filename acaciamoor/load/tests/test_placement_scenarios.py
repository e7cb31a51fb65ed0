"""The guarantees for work hold with the placer and not without it."""

import datetime
import functools
import unittest

from acaciamoor.load import measurement
from acaciamoor.load.scenarios import placement
from acaciamoor.load.scenarios import registry as registries

OPTIONS = registries.Options(duration=datetime.timedelta(seconds=5))


@functools.cache
def run(scenario):
    """Run a scenario once for all tests."""
    registry = registries.ScenarioRegistry()
    placement.register(registry)
    return registry.scenarios_by_name[scenario].run(OPTIONS)


def figures(scenario, naive=False):
    """Return the figures of one variant."""
    variant = (
        measurement.Variant.NAIVE if naive else measurement.Variant.ACACIAMOOR
    )
    return [item for item in run(scenario) if item.variant is variant]


class PlacementScenariosTest(unittest.TestCase):
    def test_dead_placer_neither_doubles_nor_denies_work(self):
        """Guards against double runs and false "not run" at a takeover."""
        measured = figures('placement-placer-death')
        bounded = [item for item in measured if item.target]
        self.assertEqual([0, 0, 0], [item.value for item in bounded])

    def test_scenario_detects_double_runs_and_false_refusals(self):
        """Guards against an oracle that sees nothing: the naive one fails."""
        measured = figures('placement-placer-death', naive=True)
        doubles, false_not_run, *_ = [item.value for item in measured]
        self.assertGreater(doubles, 0)
        self.assertGreater(false_not_run, 0)

    def test_stragglers_delay_short_work_only_without_the_placer(self):
        """Guards against head-of-line blocking; the naive ones show it."""
        missed = [
            item.measure
            for item in figures('placement-stragglers')
            if item.target and not item.target.is_met_by(item.value)
        ]
        self.assertEqual([], missed)
        by_hash = figures('placement-stragglers', naive=True)[1]
        self.assertGreater(by_hash.value, 1.25)
