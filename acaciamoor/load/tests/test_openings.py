"""Tests of the placement of new flows at peak load, in simulation."""

import datetime
import unittest

from acaciamoor.load.scenarios import openings
from acaciamoor.load.scenarios import registry

DURATION = datetime.timedelta(seconds=10)
# Shares that differ by less than this are within the noise, as in the users'
# benchmark.
NOISE_MARGIN = 0.03


def mean_share_in_time(
    name: str, rate: float, hosts: int, upstreams: int
) -> float:
    """Return the share of requests in time, averaged over three seeds."""
    shares = [
        openings.share_in_time(
            name, registry.Options(seed, hosts, upstreams, DURATION), rate
        )
        for seed in (1, 2, 3)
    ]
    return sum(shares) / len(shares)


class PeakLoadTest(unittest.TestCase):
    def test_own_load_is_better_than_random_choice(self):
        """Guards against a choice that ignores load at the peak."""
        own = mean_share_in_time('own load', openings.PEAK_RATE, 7, 7)
        self.assertGreater(
            own, mean_share_in_time('random', openings.PEAK_RATE, 7, 7)
        )

    def test_own_load_is_close_to_a_shared_table(self):
        """Guards against load estimates that mislead the choice.

        Each host sees only the load that it sends itself.
        """
        own = mean_share_in_time('own load', openings.PEAK_RATE, 7, 7)
        full = mean_share_in_time(
            'one table for all hosts', openings.PEAK_RATE, 7, 7
        )
        self.assertGreater(own, full - NOISE_MARGIN)

    def test_periodically_shared_load_causes_herding(self):
        """Guards against adding an exchange of loads between hosts.

        All hosts then learn of the same idle upstream and overload it together
        (herd effect).
        """
        own = mean_share_in_time('own load', openings.PEAK_RATE, 40, 20)
        shared = mean_share_in_time(
            'shared every 200 ms', openings.PEAK_RATE, 40, 20
        )
        self.assertGreater(own, shared + NOISE_MARGIN)


if __name__ == '__main__':
    unittest.main()
