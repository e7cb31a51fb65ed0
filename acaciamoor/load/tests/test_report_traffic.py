"""Cost of load reports."""

import unittest

from acaciamoor.load import report_traffic
from acaciamoor.load_reports import pace

# Bytes a second for the control of a host at 11,000 hosts; see docs/parts.md.
BUDGET_BYTES_PER_S = 9000
# What heartbeats of two relays take of it at a listener; see docs/CAPACITY.md.
HEARTBEAT_BYTES_PER_S = 805
# Hosts and upstreams of a data centre, data centres. Besides the sites of the
# table, those around the sizes at which the interval and the limits change.
SITES = (
    *report_traffic.SITES,
    (25, 100, 2),
    (19, 75, 4),
    (25, 60, 4),
    (9, 60, 3),
    (32, 100, 2),
    (32, 100, 3),
    (16, 64, 2),
    (26, 104, 3),
    (33, 400, 2),
    (60, 300, 5),
    (100, 400, 8),
    (200, 800, 12),
)


class TrafficTest(unittest.TestCase):
    def test_listener_stays_within_its_budget_at_11_000_hosts(self):
        """Guards against reports that grow with the size of a site."""
        listener, *_ = report_traffic.Sizes(367, 2333, 30).rates()
        # Stricter than the heartbeats need: their number may grow.
        self.assertLess(listener[1], BUDGET_BYTES_PER_S - 1500)

    def test_listener_stays_within_its_budget_at_smaller_sites(self):
        """Guards against limits that take effect only in large sites."""
        for site in SITES:
            listener, *_ = report_traffic.Sizes(*site).rates()
            with self.subTest(site=site):
                self.assertLess(
                    listener[1], BUDGET_BYTES_PER_S - HEARTBEAT_BYTES_PER_S
                )

    def test_sums_of_data_centres_differ(self):
        """Guards against bytes of equal loads, which take no room twice."""
        sizes = report_traffic.Sizes(25, 40, 3)
        self.assertGreater(sizes.batch, 1.5 * sizes.foreign)

    def test_sizes_that_limit_messages_are_not_too_small(self):
        """Guards against limits in upstreams that allow too many bytes."""
        sizes = report_traffic.Sizes(367, 2333, 30)
        seconds = sizes.pace.interval.total_seconds()
        self.assertLessEqual(sizes.summary, pace.SUMMARY_BYTES_PER_S * seconds)
        self.assertLessEqual(sizes.report, pace.REPORT_BYTES_PER_S * seconds)

    def test_idle_host_sends_a_small_report(self):
        """Guards against reports that name idle upstreams or services."""
        self.assertLess(report_traffic.Sizes(75, 300, 1).idle, 100)


if __name__ == '__main__':
    unittest.main()
