"""Failures that hosts find together, replayed beside hosts alone.

The aims are those of docs/parts.md, part 6; docs/design/shared-evidence.md
says which of them are not reached.
"""

import time
import unittest

from acaciamoor.evidence.tests import builders
from acaciamoor.load.scenarios import site_patterns
from acaciamoor.load.tests import test_site_patterns

NAIVE = 'shared load'
PRODUCT = 'shared evidence'
HOSTS = 90


class SharedEvidenceTest(unittest.TestCase):
    def test_upstreams_that_fall_silent_by_turns(self):
        """Guards against hosts that each find out alone what all know."""
        build = site_patterns.flapping_upstreams
        product, naive, alone, worst, best = (
            test_site_patterns.replay(build, HOSTS, name)
            for name in (
                PRODUCT,
                NAIVE,
                'acaciamoor',
                'random',
                'one table for all hosts',
            )
        )
        self.assertGreater(product.worst_second, naive.worst_second + 0.05)
        self.assertGreater(product.worst_second, alone.worst_second + 0.02)
        self.assertGreater(
            product.worst_second, (worst.worst_second + best.worst_second) / 2
        )

    def test_nothing_changes_while_no_upstream_fails(self):
        """Guards against evidence where there is none."""
        for build in (
            site_patterns.usual_demand,
            site_patterns.cold_upstreams,
        ):
            with self.subTest(build.__name__):
                self.assertEqual(
                    test_site_patterns.replay(build, HOSTS, NAIVE),
                    test_site_patterns.replay(build, HOSTS, PRODUCT),
                )


class CostTest(unittest.TestCase):
    def test_summary_takes_little_time(self):
        """Guards against a cost that each host pays for each summary.

        The aim is 0.2 ms at 75 upstreams, of which half fail; this bound
        allows for a slow machine under load.
        """
        judge = builders.Judge(75)
        loads = [
            builders.load(
                f'desk-{number}',
                unanswered=2 * (number % 2),
                finished=7 * (1 - number % 2),
            )
            for number in range(75)
        ]
        judge.receive(*loads, remote_loads=loads)
        started_at = time.process_time()
        judge.receive(*loads, remote_loads=loads, times=200)
        elapsed = time.process_time() - started_at
        # Two summaries each time.
        self.assertLess(elapsed / 400, 0.001)


if __name__ == '__main__':
    unittest.main()
