"""Decisions about new flows while a service is overloaded."""

import datetime
import unittest
from unittest import mock

from acaciamoor.admission import caller_counts
from acaciamoor.admission.tests import builders

SECOND = builders.SECOND
IMPORTANT, LESS_IMPORTANT = builders.IMPORTANT, builders.LESS_IMPORTANT
# All upstreams full: 8 requests in progress at 2 slots.
FULL = {'open_flows': 40, 'started': 14, 'finished': 12}
DEMANDS = {IMPORTANT: (80, 0), LESS_IMPORTANT: (200, 0)}


def overloaded_site(**arguments):
    """Return a host that learns of an overload after one second."""
    site = builders.Site(**arguments)
    site.report(1 * SECOND, 8, DEMANDS, **FULL)
    return site


class AdmissionControllerTest(unittest.TestCase):
    def test_less_important_openings_are_refused_first(self):
        """Guards against important openings that pay for the others."""
        site = overloaded_site()
        self.assertEqual(1.0, site.share(IMPORTANT, 1.1 * SECOND))
        share = site.share(LESS_IMPORTANT, 1.1 * SECOND)
        self.assertLess(0.0, share)
        self.assertLess(share, 0.9)

    def test_priorities_in_between_are_refused_after_the_last(self):
        """Guards against shares that ignore the order of priorities."""
        site = builders.Site((0, 3, 7))
        demands = {0: (80, 0), 3: (100, 0), 7: (100, 0)}
        site.report(1 * SECOND, 8, demands, **FULL)
        shares = [site.share(key, 1.1 * SECOND) for key in (0, 3, 7)]
        self.assertEqual(1.0, shares[0])
        self.assertGreater(shares[1], shares[2])

    def test_nothing_is_refused_below_the_capacity(self):
        """Guards against refusals while upstreams have room."""
        site = builders.Site()
        site.report(1 * SECOND, 4, DEMANDS, **FULL)
        for priority in (IMPORTANT, LESS_IMPORTANT):
            self.assertEqual(1.0, site.share(priority, 1.1 * SECOND))

    def test_old_or_missing_picture_refuses_nothing(self):
        """Guards against refusals that rest on a load of the past."""
        site = builders.Site()
        self.assertEqual(1.0, site.share(LESS_IMPORTANT, 1 * SECOND))
        site.report(1 * SECOND, 8, DEMANDS, **FULL)
        self.assertLess(site.share(LESS_IMPORTANT, 1.1 * SECOND), 1.0)
        self.assertEqual(1.0, site.share(LESS_IMPORTANT, 2.6 * SECOND))

    def test_summary_of_no_hosts_refuses_nothing(self):
        """Guards against a division by its interval, which is zero.

        Each opening was lost while the summing host had only old reports.
        """
        site = builders.Site()
        site.report(1 * SECOND, 8, DEMANDS, interval=0.0, **FULL)
        self.assertEqual(1.0, site.share(LESS_IMPORTANT, 1.1 * SECOND))

    def test_older_reports_of_another_sender_are_no_negative_time(self):
        """Guards against growth of the flows with the wrong sign.

        The sum of more hosts replaces a newer one that has older reports.
        """
        site = builders.Site()
        counts = {**FULL, 'open_flows': 60}
        site.report(1 * SECOND, 8, DEMANDS, **counts)
        site.share(LESS_IMPORTANT, 1.1 * SECOND, 1)
        site.report(
            1.2 * SECOND, 8, DEMANDS, sender='h-2', hosts=80, age=0.5, **FULL
        )
        site.share(LESS_IMPORTANT, 1.3 * SECOND, 1)
        falling = site.controller.evidence_of(builders.SERVICE).admitted
        alone = builders.Site()
        alone.report(1.2 * SECOND, 8, DEMANDS, **FULL)
        alone.share(LESS_IMPORTANT, 1.3 * SECOND, 1)
        self.assertAlmostEqual(
            alone.controller.evidence_of(builders.SERVICE).admitted,
            falling,
            delta=1.0,
        )

    def test_flows_that_move_to_other_hosts_are_not_counted_as_growth(self):
        """Guards against refusals after hosts start, die or are replaced.

        Flows that moved stay open in the reports of their old hosts as well,
        for up to 15 s, and then disappear.
        """
        admitted_by_flows = {}
        for flows in (20, 40, 80):
            site = builders.Site()
            site.report(1 * SECOND, 8, DEMANDS, **FULL)
            site.share(LESS_IMPORTANT, 1.1 * SECOND, 1)
            counts = {**FULL, 'open_flows': flows}
            site.report(1.2 * SECOND, 8, DEMANDS, **counts)
            site.share(LESS_IMPORTANT, 1.3 * SECOND, 1)
            evidence = site.controller.evidence_of(builders.SERVICE)
            admitted_by_flows[flows] = evidence.admitted
        for flows in (20, 80):
            self.assertAlmostEqual(
                admitted_by_flows[40], admitted_by_flows[flows], delta=150.0
            )

    def test_data_centre_that_falls_silent_adds_nothing(self):
        """Guards against openings of a sum that is too old by now.

        They were part of the mean of the last second, but no longer of the
        demand, so that all was admitted in the middle of an overload.
        """
        sites = builders.Site(), builders.Site()
        for number in range(12):
            at = (1 + number / 5) * SECOND
            for site in sites:
                site.report(at, 8, DEMANDS, **FULL)
            if number < 3:
                sites[1].report(
                    at, 8, DEMANDS, data_centre='kgn-b', sender='g-1', **FULL
                )
            for site in sites:
                site.share(LESS_IMPORTANT, at + 0.1 * SECOND, 1)
        # The last sum of the other data centre counted until 2.9 s.
        alone, other = (
            site.controller.evidence_of(builders.SERVICE) for site in sites
        )
        self.assertAlmostEqual(alone.admitted, other.admitted, delta=1.0)

    def test_sums_of_other_data_centres_are_no_growth(self):
        """Guards against rates between sums that were taken apart.

        The sum of another data centre arrives without a new own one, so that
        two pictures have equal times.
        """
        site = overloaded_site()
        before = site.share(LESS_IMPORTANT, 1.1 * SECOND)
        site.report(
            1.1 * SECOND,
            0,
            DEMANDS,
            data_centre='kgn-b',
            sender='g-1',
            open_flows=40,
        )
        shares = [site.share(LESS_IMPORTANT, 1.2 * SECOND)]
        site.report(1.3 * SECOND, 8, DEMANDS, **FULL)
        shares.append(site.share(LESS_IMPORTANT, 1.4 * SECOND))
        for share in shares:
            self.assertGreater(share, before - 0.15)

    def test_greedy_caller_stays_known_when_routes_change(self):
        """Guards against excess that starts anew with each configuration."""
        site = overloaded_site()
        site.share(IMPORTANT, 1.1 * SECOND, 500)
        site.share(IMPORTANT, 1.1 * SECOND, 500, caller=-1)
        site.controller.update_routes(
            builders.route_table(IMPORTANT, LESS_IMPORTANT, version=2)
        )
        greedy = site.share(IMPORTANT, 1.2 * SECOND, 3, caller=-1)
        self.assertEqual(0.0, greedy)

    def test_service_with_one_priority_is_left_alone(self):
        """Guards against a part that acts where it was not asked for."""
        site = overloaded_site(priorities=(2,))
        self.assertEqual(1.0, site.share(2, 1.1 * SECOND))
        self.assertIsNone(site.controller.evidence_of(builders.SERVICE))

    def test_new_routes_end_the_refusals(self):
        """Guards against priorities of a replaced configuration."""
        site = overloaded_site()
        self.assertLess(site.share(LESS_IMPORTANT, 1.1 * SECOND), 1.0)
        site.controller.update_routes(builders.route_table(2, version=2))
        self.assertEqual(1.0, site.share(LESS_IMPORTANT, 1.2 * SECOND))

    def test_priority_that_becomes_the_first_is_served_at_once(self):
        """Guards against shares of the priorities that were in force before.

        They stayed until the next picture, also for the priority that is the
        most important one by now.
        """
        site = overloaded_site()
        self.assertLess(site.share(LESS_IMPORTANT, 1.1 * SECOND), 1.0)
        site.controller.update_routes(
            builders.route_table(LESS_IMPORTANT, 3, version=2)
        )
        self.assertEqual(1.0, site.share(LESS_IMPORTANT, 1.1 * SECOND))

    def test_shares_of_an_earlier_overload_do_not_count(self):
        """Guards against shares that fall at once after a quiet minute.

        A host without openings computes no shares meanwhile, and took the
        minute for the time since which they may fall.
        """
        counts = {'open_flows': 40, 'started': 30, 'finished': 12}
        site = builders.Site()
        for at in (1, 60):
            site.report(at * SECOND, 10, DEMANDS, **counts)
            share = site.share(LESS_IMPORTANT, (at + 0.1) * SECOND)
            self.assertGreater(share, 0.85)

    def test_rejections_beside_idle_upstreams_refuse_nothing(self):
        """Guards against refusals where rejections show no lack of room.

        Short and fast responses are taken for rejections, as those of a
        cache, and upstreams that fail answer so as well.
        """
        site = builders.Site()
        site.report(
            1 * SECOND, 0, DEMANDS, open_flows=40, started=10, finished=7,
            rejected=3,
        )  # fmt: skip
        self.assertEqual(1.0, site.share(LESS_IMPORTANT, 1.1 * SECOND))

    def test_hosts_agree_on_one_picture(self):
        """Guards against shares that depend on the past of a host."""
        old, new = builders.Site(), builders.Site(seed=2)
        for number in range(30):
            load = 3 + number % 5
            old.report((1 + number / 5) * SECOND, load, DEMANDS, **FULL)
            old.share(LESS_IMPORTANT, (1.1 + number / 5) * SECOND, 1)
            if number >= 24:
                new.report((1 + number / 5) * SECOND, load, DEMANDS, **FULL)
                new.share(LESS_IMPORTANT, (1.1 + number / 5) * SECOND, 1)
        found = [
            site.controller.evidence_of(builders.SERVICE).shares_by_priority
            for site in (old, new)
        ]
        self.assertEqual(*found)

    def test_host_that_starts_in_an_overload_agrees_soon(self):
        """Guards against shares that stay above those of other hosts."""
        sites = builders.Site(), builders.Site(seed=2)
        for number in range(30):
            at = (1 + number / 5) * SECOND
            # The second host starts 1.7 s before the last picture.
            for site in sites if number >= 21 else sites[:1]:
                site.report(
                    at, 10, DEMANDS, open_flows=40, started=30, finished=12
                )
                site.share(LESS_IMPORTANT, at + SECOND / 10, 1)
        shares = [
            site.controller.evidence_of(builders.SERVICE).shares_by_priority
            for site in sites
        ]
        self.assertEqual(*shares)
        self.assertLess(shares[0][LESS_IMPORTANT], 0.5)

    def test_upstreams_without_a_queue_are_noticed_by_rejections(self):
        """Guards against a target that upstreams cannot reach."""
        site = builders.Site()
        site.report(
            1 * SECOND, 2, DEMANDS, open_flows=40, started=14, finished=7,
            rejected=7,
        )  # fmt: skip
        self.assertLess(site.share(LESS_IMPORTANT, 1.1 * SECOND), 0.9)
        self.assertEqual(1.0, site.share(IMPORTANT, 1.1 * SECOND))

    def test_no_kind_is_starved(self):
        """Guards against an important crowd that leaves nothing at all."""
        site = builders.Site()
        demands = {IMPORTANT: (2000, 0), LESS_IMPORTANT: (100, 0)}
        site.report(1 * SECOND, 10, demands, open_flows=40, started=60)
        for number in range(5):
            at = (1.2 + number / 5) * SECOND
            site.report(at, 10, demands, open_flows=40, started=60, finished=9)
            site.share(LESS_IMPORTANT, at, 1)
        self.assertGreater(site.share(LESS_IMPORTANT, 2.1 * SECOND), 0.02)

    def test_service_that_returns_is_filled_at_once(self):
        """Guards against a service that waits for flows to end it lacks.

        Its reports hold the refusals from the time when it was empty.
        """
        site = builders.Site()
        demands = {IMPORTANT: (80, 80), LESS_IMPORTANT: (200, 200)}
        site.report(1 * SECOND, 0, demands)
        self.assertEqual(1.0, site.share(LESS_IMPORTANT, 1.1 * SECOND))

    def test_upstreams_that_answer_nothing_leave_a_floor(self):
        """Guards against shares of zero where no flow can be replaced."""
        site = builders.Site()
        site.report(1 * SECOND, 10, DEMANDS, open_flows=400, started=60)
        share = site.share(LESS_IMPORTANT, 1.1 * SECOND, 20000)
        self.assertTrue(0.002 < share < 0.05, share)

    def test_greedy_caller_is_refused_for_its_excess_alone(self):
        """Guards against a caller that takes the room of the others."""
        site = overloaded_site()
        site.share(IMPORTANT, 1.1 * SECOND, 500)
        greedy = site.share(IMPORTANT, 1.1 * SECOND, 500, caller=-1)
        self.assertLess(greedy, 0.1)
        self.assertEqual(1.0, site.share(IMPORTANT, 1.2 * SECOND, 400))

    def test_cost_does_not_grow_with_the_callers(self):
        """Guards against a pass over all callers for each usual opening."""
        site = overloaded_site()
        with mock.patch.object(
            caller_counts.CallerCounts, 'mean_of_others'
        ) as mean:
            site.share(IMPORTANT, 1.1 * SECOND, 500)
        mean.assert_not_called()

    def test_greedy_caller_is_served_while_there_is_room(self):
        """Guards against a limit for callers without any overload."""
        site = builders.Site()
        site.report(1 * SECOND, 1, DEMANDS, **FULL)
        share = site.share(IMPORTANT, 1.1 * SECOND, 500, caller=-1)
        self.assertEqual(1.0, share)

    def test_important_openings_behind_others_are_noticed(self):
        """Guards against inversions that operators cannot see."""
        site = overloaded_site()
        now = 1.1 * SECOND
        controller = site.controller
        self.assertFalse(
            controller.is_behind_lower(builders.SERVICE, IMPORTANT, now)
        )
        site.share(LESS_IMPORTANT, now)
        self.assertTrue(
            controller.is_behind_lower(builders.SERVICE, IMPORTANT, now)
        )


class CallerCountsTest(unittest.TestCase):
    def test_memory_is_bounded_and_greedy_callers_stay(self):
        """Guards against memory that grows with the callers of a crowd."""
        counts = caller_counts.CallerCounts(SECOND, limit=50)
        found = 0
        for number in range(20000):
            counts.add(number, datetime.timedelta(0))
            if number % 10 == 0:
                found = counts.add(-1, datetime.timedelta(0))
            self.assertLessEqual(len(counts), 100)
        self.assertGreater(found, 1000)

    def test_callers_are_forgotten_after_two_windows(self):
        """Guards against a caller that is refused for its past."""
        counts = caller_counts.CallerCounts(SECOND, limit=50)
        for _ in range(100):
            counts.add(7, datetime.timedelta(0))
        self.assertEqual(101, counts.add(7, 1.5 * SECOND))
        self.assertEqual(1, counts.add(7, 4 * SECOND))


if __name__ == '__main__':
    unittest.main()
