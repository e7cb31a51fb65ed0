"""The load of a crest, replayed on the placement of new flows."""

import datetime
import unittest

from acaciamoor.load.scenarios import openings
from acaciamoor.load.scenarios import registry

DURATION = datetime.timedelta(seconds=10)
# Scores that are closer than this are noise, by the users' bench.
LEEWAY = 0.03


def share(name: str, rate: float, hosts: int, upstreams: int) -> float:
    """Return the mean share in time of a few seeds."""
    shares = [
        openings.share_in_time(
            name, registry.Options(seed, hosts, upstreams, DURATION), rate
        )
        for seed in (1, 2, 3)
    ]
    return sum(shares) / len(shares)


class CrestTest(unittest.TestCase):
    def test_own_load_is_better_than_a_random_choice(self):
        """Guards against a choice that ignores the load at a crest."""
        own = share('own load', openings.PEAK_RATE, 7, 7)
        self.assertGreater(own, share('random', openings.PEAK_RATE, 7, 7))

    def test_own_load_is_close_to_full_knowledge(self):
        """Guards against estimates that mislead when hosts see a part."""
        own = share('own load', openings.PEAK_RATE, 7, 7)
        full = share('one table for all hosts', openings.PEAK_RATE, 7, 7)
        self.assertGreater(own, full - LEEWAY)

    def test_shared_loads_send_many_hosts_to_one_upstream(self):
        """Guards against an exchange of loads that is added unnoticed.

        All hosts hear of the same idle upstream and fill it together.
        """
        own = share('own load', openings.PEAK_RATE, 40, 20)
        shared = share('shared every 200 ms', openings.PEAK_RATE, 40, 20)
        self.assertGreater(own, shared + LEEWAY)


if __name__ == '__main__':
    unittest.main()
