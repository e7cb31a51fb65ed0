"""Tests of the benchmark report and of the scaling fits."""

import json
import pathlib
import tempfile
import unittest

from acaciamoor import load
from acaciamoor.load import bench
from acaciamoor.load import scaling
from acaciamoor.load import scenarios
from acaciamoor.load.tests import builders


class BenchTest(unittest.TestCase):
    def test_every_scenario_runs_after_a_failure(self):
        """Guards against losing the other scenarios when one fails."""
        calls = []

        def broken(options):
            calls.append('broken')
            raise ValueError('no measurements')

        def working(options):
            calls.append('working')
            return [builders.build_measurement()]

        selected = [
            scenarios.Scenario('broken', '', broken),
            scenarios.Scenario('working', '', working),
        ]
        result = bench.run_scenarios(selected, scenarios.Options())
        self.assertEqual(['broken', 'working'], calls)
        self.assertEqual((builders.build_measurement(),), result.measurements)
        self.assertEqual(1, len(result.error_group().exceptions))

    def test_json_file_has_the_documented_keys(self):
        """Guards against unintended changes of the JSON format."""
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / 'deep' / 'bench.json'
            bench.write_json([builders.build_measurement()], path)
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
        """Guards against reporting a missed target as met."""
        item = builders.build_measurement()
        self.assertEqual([item], bench.find_missed_targets([item]))
        self.assertIn('NO', bench.format_table([item]))

    def test_naive_measurements_do_not_count_as_missed(self):
        """Guards against reporting missed targets of the baselines."""
        item = builders.build_measurement(variant=load.Variant.NAIVE)
        self.assertEqual([], bench.find_missed_targets([item]))


class ScalingTest(unittest.TestCase):
    def test_fit_requires_three_distinct_sizes(self):
        """Guards against a growth rate that is fitted to two samples."""
        with self.assertRaises(ValueError):
            scaling.fit_samples(
                'memory',
                'B',
                'flows',
                [scaling.Sample(1, 1), scaling.Sample(2, 2)],
            )

    def test_quadratic_growth_is_detected(self):
        """Guards against reporting quadratic growth as linear."""
        fitted = scaling.fit_samples(
            'messages',
            '1/s',
            'hosts',
            [scaling.Sample(size, size**2) for size in (8, 64, 367)],
        )
        self.assertAlmostEqual(2.0, fitted.exponent)
