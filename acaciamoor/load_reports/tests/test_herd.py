"""The herd of hosts that share the loads of upstreams."""

import unittest

from acaciamoor.load import shared_loads


class HerdTest(unittest.TestCase):
    def test_least_loaded_upstream_attracts_all_hosts(self):
        """Guards against the naive use of loads that all hosts share."""
        naive = shared_loads.Replay(shared_loads.choose_least_loaded).run()
        spread = shared_loads.Replay(shared_loads.choose_in_proportion).run()
        self.assertGreater(min(naive.top_shares), 0.99)
        self.assertGreater(naive.rejection_share, 0.5)
        self.assertLess(max(spread.top_shares), 0.2)
        self.assertLess(spread.rejection_share, 0.1)

    def test_reported_durations_show_which_upstreams_are_slow(self):
        """Guards against reports that hide a loss of capacity."""
        spread = shared_loads.Replay(
            shared_loads.choose_by_capacity, shared_loads.SLOW_UPSTREAMS
        ).run()
        blind = shared_loads.Replay(
            shared_loads.choose_any, shared_loads.SLOW_UPSTREAMS
        ).run()
        self.assertLess(spread.rejection_share, 0.5 * blind.rejection_share)


if __name__ == '__main__':
    unittest.main()
