"""Peaks of demand replayed with callers that are refused and return.

The naive callers come back after delays of their own, which double.
"""

import unittest

from acaciamoor.load.scenarios import placement_returns


def replay(peak, seed):
    """Return the outcome with callers that are told when, and without."""
    return (
        placement_returns.ReturnSimulation(peak, seed, told=True).run(),
        placement_returns.ReturnSimulation(peak, seed, told=False).run(),
    )


class ReturnTest(unittest.TestCase):
    def test_peak_is_served_completely_in_the_time_after_it(self):
        """Guards against capacity that is idle while callers wait to return.

        The demand of the peak fits into the time for which callers wait.
        """
        for peak in (
            placement_returns.SHORT_PEAK,
            placement_returns.RETURN_OF_ALL,
        ):
            for seed in (1, 2):
                with self.subTest(peak=peak.name, seed=seed):
                    told, naive = replay(peak, seed)
                    self.assertGreater(told.served, naive.served)
                    # Halfway from the naive callers to all.
                    self.assertGreater(
                        told.worst_second, (1.0 + naive.worst_second) / 2
                    )
                    self.assertLess(told.refusals, naive.refusals / 2)

    def test_lasting_overload_serves_no_fewer(self):
        """Guards against a queue in which all wait until it is too late."""
        told, naive = replay(placement_returns.LONG_PEAK, 1)
        self.assertGreater(told.served, naive.served)
        self.assertLess(told.refusals, naive.refusals / 2)
        self.assertLess(told.overtaken, naive.overtaken)


if __name__ == '__main__':
    unittest.main()
