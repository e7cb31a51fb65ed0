"""Patterns of upstreams whose capacity must be measured, at 75 hosts.

Aims are those of docs/parts.md, part 4; docs/design/measured-capacity.md says
which of them are not reached.
"""

import dataclasses
import functools
import statistics
import unittest

from acaciamoor.load.scenarios import site_model
from acaciamoor.load.scenarios import site_patterns

SEEDS = range(1, 5)
PRODUCT = 'acaciamoor'
HERD = 'least shared load'
OWN_VIEW = 'own view'


@functools.cache
def replay(build, name):
    """Return the mean outcome of a placement over all seeds."""
    outcomes = [
        dataclasses.astuple(site_model.replay_capacity(name, build(), seed))
        for seed in SEEDS
    ]
    return site_model.SiteOutcome(
        *map(statistics.mean, zip(*outcomes, strict=True))
    )


class CapacityPatternTest(unittest.TestCase):
    def test_slow_upstreams_answer_few_new_flows_late(self):
        """Guards against flows to upstreams that are five times slower."""
        build = site_patterns.slow_upstreams
        product = replay(build, PRODUCT)
        self.assertLess(product.late_slow, 0.02)
        for naive in (OWN_VIEW, HERD):
            self.assertGreater(
                replay(build, naive).late_new, 3 * product.late_new
            )

    def test_overload_rejects_no_more_than_needed(self):
        """Guards against a herd that rejects beside upstreams with room.

        The aim of 0.05 needs admission: a sixth of the demand is too much.
        """
        build = site_patterns.overload
        product = replay(build, PRODUCT)
        best = replay(build, 'one table for all hosts')
        self.assertLess(product.rejected, replay(build, HERD).rejected / 2)
        self.assertLess(product.rejected, best.rejected + 0.05)

    def test_servers_get_their_measured_share(self):
        """Guards against equal shares for servers of 0.7 and 1.7."""
        build = site_patterns.unequal_speeds
        product = replay(build, PRODUCT)
        self.assertLess(product.busiest, 1.15)
        for naive in (OWN_VIEW, HERD):
            self.assertGreater(replay(build, naive).busiest, 1.2)
            self.assertLess(replay(build, naive).in_time, product.in_time)

    def test_uneven_demand_is_no_herd(self):
        """Guards against data centres that all send elsewhere at once."""
        build = site_patterns.uneven_demand
        product = replay(build, PRODUCT)
        self.assertLess(product.rejected, 0.05)
        self.assertLess(product.remote, 0.15)
        self.assertGreater(product.in_time, replay(build, HERD).in_time + 0.1)

    def test_upstreams_that_slow_early_are_not_filled(self):
        """Guards against late answers where slots are still free."""
        build = site_patterns.early_knee
        product = replay(build, PRODUCT)
        naive = replay(build, HERD)
        self.assertGreater(naive.late_new, 1.5 * product.late_new)
        self.assertGreater(product.in_time, naive.in_time + 0.03)
        self.assertLess(product.rejected, naive.rejected / 2)

    def test_hosts_alone_fill_upstreams_that_slow_early(self):
        """Guards against measured limits that are no better than slots."""
        build = site_patterns.early_knee
        product = replay(build, PRODUCT)
        naive = replay(build, OWN_VIEW)
        self.assertGreater(product.in_time, naive.in_time + 0.03)
        self.assertGreater(naive.late_new, 1.5 * product.late_new)


if __name__ == '__main__':
    unittest.main()
