"""When refused callers are told to return, and what happens then."""

import datetime
import random
import unittest

from acaciamoor.placement import returns
from acaciamoor.placement.tests import builders
from acaciamoor.requests import request_part as request_parts
from acaciamoor.wire import envelope as wire

MILLISECOND = builders.MILLISECOND
SECOND = builders.SECOND
ZERO = datetime.timedelta(0)
Reason = request_parts.Reason


class ReturnScheduleTest(unittest.TestCase):
    def setUp(self):
        self.schedule = returns.ReturnSchedule(random.Random(1))

    def reserve(self, flow, now=ZERO, patience=10 * SECOND):
        return self.schedule.reserve(
            flow, now, now + patience, 100 * MILLISECOND, 10 * MILLISECOND
        )

    def test_returns_fit_the_rate_of_starts(self):
        """Guards against callers that all come back at the same moment."""
        due = [self.reserve(flow) for flow in range(200)]
        self.assertLess(due[0], 150 * MILLISECOND)
        # Four fifths of the starts are promised: one each 12.5 ms.
        self.assertAlmostEqual(2.6, due[-1].total_seconds(), delta=0.1)
        for window in range(3):
            start = window * SECOND
            count = sum(start <= item < start + SECOND for item in due)
            self.assertLessEqual(count, 81)

    def test_older_callers_return_first(self):
        """Guards against callers that are overtaken again and again."""
        first = self.reserve(1)
        later = self.reserve(2, now=50 * MILLISECOND) + 50 * MILLISECOND
        self.assertLess(first, later)

    def test_nothing_is_promised_beyond_the_deadline(self):
        """Guards against places that are kept for callers who have left."""
        impatient = [
            self.reserve(flow, patience=SECOND) for flow in range(1000)
        ]
        self.assertGreater(max(impatient), 0.7 * SECOND)
        self.assertLess(self.reserve(2000), 1.5 * SECOND)

    def test_missed_returns_are_forgotten(self):
        """Guards against places that are kept for callers who never came."""
        for flow in range(100):
            self.reserve(flow)
        self.assertGreater(self.schedule.count_due(200 * MILLISECOND), 5)
        self.assertEqual(0, self.schedule.count_due(9 * SECOND))
        self.assertLess(self.reserve(200, now=9 * SECOND), 0.2 * SECOND)

    def test_early_and_late_callers_have_no_precedence(self):
        """Guards against callers that gain by ignoring what they were told."""
        due = self.reserve(1)
        self.assertFalse(self.schedule.take(1, due - 0.2 * SECOND))
        self.assertTrue(self.schedule.take(1, due))
        late = self.reserve(2)
        self.assertFalse(self.schedule.take(2, late + 0.2 * SECOND))

    def test_unknown_rate_spreads_the_returns(self):
        """Guards against all callers at once when upstreams come back."""
        due = {
            self.schedule.reserve(flow, ZERO, 9 * SECOND, ZERO, ZERO)
            for flow in range(50)
        }
        self.assertGreater(len(due), 40)
        self.assertGreaterEqual(min(due), 0.5 * SECOND)
        self.assertLessEqual(max(due), 1.5 * SECOND)


class RetryAfterTest(unittest.TestCase):
    def refuse_many(self, count):
        """Return the refusals of a full service, in order."""
        driver = builders.Driver()
        # A backlog from the settle time does not count as overload.
        driver.advance(3 * SECOND)
        driver.serve(1, 30)
        builders.fill_slots(driver, 4)
        found = []
        for request in range(count):
            found += builders.replies(
                driver.submit(200 + request, flow=200 + request)
            )
        return driver, [
            reply for reply in found if reply.outcome is wire.Outcome.NOT_RUN
        ]

    def test_refusal_says_when_to_return(self):
        """Guards against refusals after which callers come at random."""
        _, refusals = self.refuse_many(200)
        delays = [reply.retry_after for reply in refusals]
        self.assertGreater(len(delays), 50)
        self.assertGreater(min(delays), ZERO)
        self.assertGreater(delays[-1], 5 * delays[0])

    def test_caller_that_returns_in_time_is_served(self):
        """Guards against a caller that does as told and is refused again."""
        driver, refusals = self.refuse_many(200)
        reply = refusals[0]
        driver.advance(reply.retry_after)
        effects = driver.submit(999, flow=reply.request_part.flow)
        self.assertEqual([], builders.replies(effects))

    def test_service_without_upstreams_says_when_to_return(self):
        """Guards against callers that come back at once, all together."""
        driver = builders.Driver(count=0)
        (reply,) = driver.submit(1)
        self.assertEqual(Reason.NO_UPSTREAM, reply.reason)
        self.assertGreaterEqual(reply.retry_after, 0.5 * SECOND)

    def test_caller_of_an_unknown_outcome_is_not_told_to_return(self):
        """Guards against a second run of work that may have run."""
        driver = builders.Driver(count=0, settled=False)
        (reply,) = driver.submit(1, flow=7)
        self.assertIs(wire.Outcome.OUTCOME_UNKNOWN, reply.outcome)
        self.assertEqual(ZERO, reply.retry_after)


if __name__ == '__main__':
    unittest.main()
