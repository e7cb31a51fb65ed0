"""The bench reports every figure and hides no failure."""

import json
import pathlib
import tempfile
import unittest

from acaciamoor import load
from acaciamoor.load import bench
from acaciamoor.load import scenarios
from acaciamoor.load import slopes
from acaciamoor.load.tests import builders


class BenchTest(unittest.TestCase):
    def test_every_scenario_runs_after_a_failure(self):
        """Guards against one broken scenario hiding the others."""
        calls = []

        def broken(options):
            calls.append('broken')
            raise ValueError('no figures')

        def working(options):
            calls.append('working')
            return [builders.figure()]

        selected = [
            scenarios.Scenario('broken', '', broken),
            scenarios.Scenario('working', '', working),
        ]
        outcome = bench.run(selected, scenarios.Options())
        self.assertEqual(['broken', 'working'], calls)
        self.assertEqual((builders.figure(),), outcome.figures)
        self.assertEqual(1, len(outcome.error_group().exceptions))

    def test_file_has_the_documented_keys(self):
        """Guards against a changed format of the bench file."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'deep' / 'bench.json'
            bench.write([builders.figure()], path)
            documents = json.loads(path.read_text(encoding='utf-8'))
        self.assertEqual(
            [
                {
                    'scenario': 'drain',
                    'variant': 'acaciamoor',
                    'measure': 'broken flows',
                    'value': 1.0,
                    'unit': 'flows',
                    'target': {'op': '==', 'value': 0.0},
                    'seed': 7,
                }
            ],
            documents,
        )

    def test_missed_target_is_marked(self):
        """Guards against a missed target that looks met."""
        figure = builders.figure()
        self.assertEqual([figure], bench.missed([figure]))
        self.assertIn('NO', bench.table([figure]))

    def test_naive_figures_do_not_count_as_missed(self):
        """Guards against failing the bench on its own baseline."""
        figure = builders.figure(variant=load.Variant.NAIVE)
        self.assertEqual([], bench.missed([figure]))


class SlopesTest(unittest.TestCase):
    def test_two_sizes_are_not_enough(self):
        """Guards against a growth rate that is fitted to two points."""
        with self.assertRaises(ValueError):
            slopes.fit(
                'memory',
                'B',
                'flows',
                [slopes.Sample(1, 1), slopes.Sample(2, 2)],
            )

    def test_quadratic_growth_is_seen(self):
        """Guards against reporting quadratic growth as linear."""
        fitted = slopes.fit(
            'messages',
            '1/s',
            'hosts',
            [slopes.Sample(size, size**2) for size in (8, 64, 367)],
        )
        self.assertAlmostEqual(2.0, fitted.exponent)
