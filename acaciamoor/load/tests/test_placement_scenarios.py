"""Tests that the placer upholds the guarantees for requests.

The naive baselines violate them in the same scenarios.
"""

import datetime
import functools
import unittest

from acaciamoor.load import measurement
from acaciamoor.load.scenarios import placement
from acaciamoor.load.scenarios import registry as registries

OPTIONS = registries.Options(duration=datetime.timedelta(seconds=5))


@functools.cache
def run_scenario(scenario):
    """Run a scenario; the result is cached for all tests."""
    registry = registries.ScenarioRegistry()
    placement.register(registry)
    return registry.scenarios_by_name[scenario].run(OPTIONS)


def measurements(scenario, naive=False):
    """Return the measurements of one variant."""
    variant = (
        measurement.Variant.NAIVE if naive else measurement.Variant.ACACIAMOOR
    )
    return [item for item in run_scenario(scenario) if item.variant is variant]


class PlacementScenariosTest(unittest.TestCase):
    def test_placer_death_causes_no_double_runs_or_false_refusals(self):
        """Guards against double runs and false "not run" at a failover."""
        found = measurements('placement-placer-death')
        with_target = [item for item in found if item.target]
        self.assertEqual([0, 0, 0], [item.value for item in with_target])

    def test_scenario_detects_double_runs_and_false_refusals(self):
        """Guards against an oracle that detects nothing: baselines fail."""
        found = measurements('placement-placer-death', naive=True)
        double_runs, false_not_run, *_ = [item.value for item in found]
        self.assertGreater(double_runs, 0)
        self.assertGreater(false_not_run, 0)

    def test_stragglers_delay_short_requests_only_without_the_placer(self):
        """Guards against head-of-line blocking, which the baseline shows."""
        missed = [
            item.measure
            for item in measurements('placement-stragglers')
            if item.target and not item.target.is_met_by(item.value)
        ]
        self.assertEqual([], missed)
        hash_baseline = measurements('placement-stragglers', naive=True)[1]
        self.assertGreater(hash_baseline.value, 1.25)
