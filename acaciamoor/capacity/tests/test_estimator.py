"""Measured capacity of upstreams, from samples without noise."""

import datetime
import unittest

from acaciamoor import capacity
from acaciamoor.capacity.tests import builders


class EstimatorTest(unittest.TestCase):
    def setUp(self):
        self.load = builders.Load()

    def test_speeds_that_differ_are_measured(self):
        """Guards against equal shares for servers of 0.7 and 1.7."""
        self.load.run(4, ('a', 1, 0.04), ('b', 1, 0.04), ('c', 1, 0.016))
        slow, fast = self.load.estimate('a'), self.load.estimate('c')
        self.assertAlmostEqual(2.5, fast.rate / slow.rate, delta=0.2)
        self.assertEqual((2.0, 2.0), (slow.limit, fast.limit))

    def test_waiting_time_is_no_service_time(self):
        """Guards against a queue that passes for a slow upstream."""
        self.load.run(4, ('busy', 9, 0.03), ('idle', 1, 0.03))
        ratio = (
            self.load.estimate('busy').rate / self.load.estimate('idle').rate
        )
        self.assertAlmostEqual(1.0, ratio, delta=0.2)

    def test_slow_upstream_is_found_within_a_second(self):
        """Guards against seconds of late answers at a fivefold slowdown."""
        self.load.run(4, ('a', 1, 0.03), ('b', 1, 0.03), ('c', 1, 0.03))
        self.load.run(0.6, ('a', 1, 0.03), ('b', 1, 0.03), ('c', 3, 0.15))
        # Reports take up to 0.4 s of the second.
        self.assertLess(self.load.estimate('c').limit, 1.0)
        self.load.run(0.4, ('a', 1, 0.03), ('b', 1, 0.03), ('c', 3, 0.15))
        found = self.load.estimate('c')
        self.assertGreater(found.service_time, 0.1)
        self.assertLess(found.limit, 0.2)

    def test_upstream_without_any_answer_is_found(self):
        """Guards against an estimate that waits for answers."""
        self.load.run(4, ('a', 1, 0.03), ('b', 1, 0.03), ('c', 1, 0.03))
        self.load.run(0.8, ('a', 1, 0.03), ('b', 1, 0.03), ('c', 3, 99.0))
        self.assertLess(self.load.estimate('c').limit, 0.2)

    def test_recovery_shows_within_two_seconds(self):
        """Guards against an upstream that is avoided for good."""
        self.load.run(4, ('a', 1, 0.03), ('b', 1, 0.03), ('c', 1, 0.15))
        self.load.run(2, ('a', 1, 0.03), ('b', 1, 0.03), ('c', 1, 0.03))
        self.assertEqual(2.0, self.load.estimate('c').limit)

    def test_best_number_in_progress_below_the_slots(self):
        """Guards against filling slots that only slow the others down."""
        for _ in range(6):
            self.load.run(1, ('a', 3, 0.03), slots=8)
            self.load.run(1, ('a', 6, 0.07), slots=8)
        self.load.run(2, ('a', 3, 0.03), slots=8)
        found = self.load.estimate('a')
        self.assertAlmostEqual(3.0, found.limit, delta=0.5)
        self.assertAlmostEqual(100.0, found.rate, delta=10)

    def find_knee(self):
        for _ in range(6):
            self.load.run(1, ('a', 3, 0.03), slots=8)
            self.load.run(1, ('a', 6, 0.07), slots=8)

    def test_knee_is_remembered_while_it_is_respected(self):
        """Guards against an upstream that is filled again and again.

        Evidence that fades with time forgets the knee, as nothing new is seen
        beyond it.
        """
        self.find_knee()
        self.load.run(30, ('a', 3, 0.03), slots=8)
        self.assertAlmostEqual(3.0, self.load.estimate('a').limit, delta=0.5)

    def test_knee_that_has_gone_is_forgotten(self):
        """Guards against a limit that outlives its cause.

        Each step is within the fluctuations around the limit before it.
        """
        self.find_knee()
        for in_progress in (4, 5, 6, 7, 8):
            before = self.load.estimate('a').limit
            self.assertGreaterEqual(before, in_progress - 1.5)
            self.load.run(6, ('a', in_progress, 0.03), slots=8)
        self.assertEqual(8.0, self.load.estimate('a').limit)

    def test_slow_upstream_is_none_beyond_its_knee(self):
        """Guards against a slow upstream that passes for a busy one.

        Its slots fill as it slows, and it was faster when few were in use.
        """
        others = ('a', 3, 0.03), ('b', 3, 0.03)
        self.load.run(4, *others, ('c', 3, 0.03), slots=8)
        self.load.run(1, *others, ('c', 8, 0.15), slots=8)
        for in_progress in (8, 8, 8, 3, 3, 1, 1):
            self.load.run(1, *others, ('c', in_progress, 0.15), slots=8)
            found = self.load.estimate('c')
            self.assertLess(found.limit, 0.2)
            self.assertGreater(found.service_time, 0.1)

    def test_long_requests_at_two_slots_are_no_knee(self):
        """Guards against limits of one where both slots work."""
        for _ in range(10):
            self.load.run(1, ('a', 1, 0.024), slots=2)
            self.load.run(1, ('a', 2, 0.04), slots=2)
        self.assertEqual(2.0, self.load.estimate('a').limit)

    def test_little_load_is_no_limit(self):
        """Guards against a limit at the most that was ever seen."""
        for _ in range(6):
            self.load.run(1, ('a', 1, 0.03), slots=8)
            self.load.run(1, ('a', 2, 0.03), slots=8)
        self.assertEqual(8.0, self.load.estimate('a').limit)

    def test_new_upstream_counts_like_the_typical_one(self):
        """Guards against new upstreams that get nothing, or everything."""
        self.load.run(4, ('a', 1, 0.03), ('b', 1, 0.03), ('new', 0, 1.0))
        found, typical = self.load.estimate('new'), self.load.estimate('a')
        self.assertFalse(found.known)
        self.assertAlmostEqual(typical.rate, found.rate, delta=3)
        self.assertEqual(2.0, found.limit)

    def test_answers_in_no_time_are_no_limit_of_zero(self):
        """Guards against divisions by a limit or rate of zero.

        Durations below the resolution of the clock add up to nothing.
        """
        estimator = capacity.CapacityEstimator()
        second = datetime.timedelta(seconds=1)
        for number in range(40):
            busy = capacity.CapacitySample(0.2, 4, 6, 0.8)
            odd = busy
            if number < 20:
                odd = capacity.CapacitySample(0.2, 0, 40, 0.0)
            for upstream_id, sample in (('a', busy), ('odd', odd)):
                estimator.update(upstream_id, 2, sample, number * second / 5)
            found = estimator.estimate('odd', number * second / 5)
            self.assertGreater(found.limit, 0.0)
            self.assertGreater(found.rate, 0.0)

    def test_limit_beside_answers_in_no_time_is_above_zero(self):
        """Guards against divisions by a limit below the smallest number.

        The service time of the others decays to almost nothing.
        """
        estimator = capacity.CapacityEstimator()
        second = datetime.timedelta(seconds=1)
        for number in range(1000):
            fast = capacity.CapacitySample(0.2, 0, 40, 0.0)
            busy = capacity.CapacitySample(0.2, 1, 6, 0.2)
            if number < 8:
                fast = busy
            for upstream_id, sample in (('a', fast), ('b', fast), ('c', busy)):
                estimator.update(upstream_id, 2, sample, number * second / 5)
            found = estimator.estimate('c', number * second / 5)
            self.assertGreater(found.limit, 0.0, number)

    def test_load_of_decayed_service_time_is_no_fault(self):
        """Guards against divisions by a service time that underflows.

        After some busy samples all answers take no measurable time, until
        the sums have decayed below the smallest number.
        """
        estimator = capacity.CapacityEstimator()
        now = 0 * builders.SECOND
        for number in range(3500):
            now += builders.INTERVAL_S * builders.SECOND
            sample = capacity.CapacitySample(0.2, 0, 40, 0.0)
            if number < 8:
                sample = capacity.CapacitySample(0.2, 1, 6, 0.2)
            for upstream_id in ('a', 'b'):
                estimator.update(upstream_id, 8, sample, now)
            found = estimator.estimate('a', now)
            self.assertGreater(found.limit, 0.0)
            self.assertTrue(0.0 < found.rate < 1e12, number)

    def test_huge_load_is_no_fault(self):
        """Guards against an overflow in the busy slots.

        The sum of durations may be the largest that a report holds, and the
        interval the smallest.
        """
        estimator = capacity.CapacityEstimator()
        sample = capacity.CapacitySample(1e-6, 1 << 31, 1 << 31, 2.0**31)
        for _ in range(9):
            estimator.update('a', 1 << 16, sample, builders.SECOND)
        found = estimator.estimate('a', builders.SECOND)
        self.assertTrue(0.0 < found.limit <= 1 << 16)

    def test_old_evidence_of_a_level_does_not_return(self):
        """Guards against a knee that a single visit after minutes restores."""
        for _ in range(6):
            self.load.run(1, ('a', 3, 0.03), slots=8)
            self.load.run(1, ('a', 6, 0.12), slots=8)
        self.load.run(70, ('a', 3, 0.03), slots=8)
        self.load.run(0.2, ('a', 6, 0.03), slots=8)
        self.assertEqual(8.0, self.load.estimate('a').limit)

    def test_upstream_of_another_service_is_measured_anew(self):
        """Guards against the speed of requests that no longer come."""
        estimator = capacity.CapacityEstimator()
        slow = capacity.CapacitySample(0.2, 1, 2, 0.2)
        fast = capacity.CapacitySample(0.2, 1, 20, 0.2)
        now = 0 * builders.SECOND
        for service, own in (('old', slow), ('new', fast)):
            for _ in range(20):
                now += builders.INTERVAL_S * builders.SECOND
                estimator.update('a', 2, own, now, service)
                estimator.update('b', 2, slow, now, 'old')
                estimator.update('c', 2, fast, now, 'new')
            found = estimator.estimate('a', now)
            other = 'b' if service == 'old' else 'c'
            expected = estimator.estimate(other, now)
            self.assertAlmostEqual(1.0, found.rate / expected.rate, delta=0.1)
            self.assertEqual(2.0, found.limit)
        estimator.update('a', 2, slow, now, 'old')
        self.assertFalse(estimator.estimate('d', now).known)
        self.assertFalse(estimator.estimate('a', now).known)

    def test_slow_upstream_with_a_knee_is_found(self):
        """Guards against a slowdown that is put down to the knee.

        Open flows keep the slow upstream beyond its knee.
        """
        others = ('b', 3, 0.03), ('c', 3, 0.03)
        for _ in range(6):
            self.load.run(1, ('a', 3, 0.03), *others, slots=8)
            self.load.run(1, ('a', 6, 0.07), *others, slots=8)
        self.load.run(2, ('a', 3, 0.03), *others, slots=8)
        self.load.run(1, ('a', 6, 0.35), *others, slots=8)
        for _ in range(12):
            self.load.run(1, ('a', 6, 0.35), *others, slots=8)
            self.assertLess(self.load.estimate('a').limit, 0.5)
        # The knee is still known when it is as fast as before.
        self.load.run(2, ('a', 6, 0.07), *others, slots=8)
        self.assertAlmostEqual(3.0, self.load.estimate('a').limit, delta=0.5)
        self.load.run(2, ('a', 3, 0.03), *others, slots=8)
        found = self.load.estimate('a')
        self.assertAlmostEqual(3.0, found.limit, delta=0.5)
        self.assertAlmostEqual(100.0, found.rate, delta=20)

    def test_without_work_nothing_is_known(self):
        """Guards against invented figures in a service without requests."""
        self.load.run(4, ('a', 0, 1.0))
        found = self.load.estimate('a')
        self.assertEqual((2.0, False), (found.limit, found.known))
        self.assertFalse(self.load.estimate('other').known)


if __name__ == '__main__':
    unittest.main()
