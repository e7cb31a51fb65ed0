"""Delays of messages between hosts whose clocks differ."""

import datetime
import unittest

from acaciamoor import replica

SECOND = datetime.timedelta(seconds=1)


class DelayEstimatorTest(unittest.TestCase):
    def test_clocks_may_differ(self):
        """Guards against comparing the clocks of two machines."""
        for offset in (-1000 * SECOND, 1000 * SECOND):
            delays = replica.DelayEstimator()
            for number in range(5):
                sent_at = (2000 + number) * SECOND
                self.assertEqual(
                    0 * SECOND, delays.record(sent_at, sent_at + offset)
                )

    def test_burst_of_held_messages_keeps_its_delays(self):
        """Guards against taking the first message of a burst for late only."""
        delays = replica.DelayEstimator()
        delays.record(10 * SECOND, 0 * SECOND)
        found = [
            delays.record(10 * SECOND + sent_at, 2 * SECOND) / SECOND
            for sent_at in (0.5 * SECOND, 1 * SECOND, 1.5 * SECOND)
        ]
        self.assertEqual([1.5, 1.0, 0.5], found)

    def test_clock_that_stood_still_is_no_lasting_delay(self):
        """Guards against hosts that call the store for ever.

        The clock of a suspended machine does not count that time.
        """
        delays = replica.DelayEstimator()
        delays.record(10 * SECOND, 0 * SECOND)
        for number in range(1, 40):
            delay = delays.record(
                (10 + number) * SECOND, (3 + number) * SECOND
            )
        self.assertEqual(0 * SECOND, delay)

    def test_slow_path_does_not_become_the_reference_within_seconds(self):
        """Guards against old sums that look new after three seconds.

        Ten messages of load reports arrive in a second.
        """
        delays = replica.DelayEstimator(replica.SUMMARY_DELAY_WINDOW)
        delays.record(0 * SECOND, 0 * SECOND)
        for number in range(1, 100):
            sent_at = number * SECOND / 10
            self.assertEqual(SECOND, delays.record(sent_at, sent_at + SECOND))


if __name__ == '__main__':
    unittest.main()
