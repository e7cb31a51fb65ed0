"""Tests of the lease, settle time, coverage, pauses and handover."""

import unittest

from acaciamoor import placement
from acaciamoor.placement.tests import builders
from acaciamoor.requests import ledger as ledgers
from acaciamoor.wire import envelope as wire

MILLISECOND = builders.MILLISECOND
SECOND = builders.SECOND
UNKNOWN = wire.Outcome.OUTCOME_UNKNOWN
Reason = placement.Reason


class LeaseTest(unittest.TestCase):
    def test_new_placer_settles_before_it_binds(self):
        """Guards against two placers that bind requests at the same time."""
        driver = builders.Driver(settled=False)
        driver.record(driver.placer.set_lease(holds=True))
        driver.submit(1)
        self.assertEqual([], driver.advance(990 * MILLISECOND))
        self.assertEqual(1, len(driver.advance(20 * MILLISECOND)))

    def test_backlog_of_the_settle_time_is_not_refused(self):
        """Guards against refusing the requests that queue during a takeover.

        Their number resembles overload, as nothing is bound meanwhile.
        """
        driver = builders.Driver()
        driver.serve(1, 30)
        driver.record(driver.placer.set_lease(holds=False))
        driver.record(driver.placer.set_lease(holds=True))
        effects = []
        for request in range(100, 200):
            effects += driver.submit(request)
        self.assertEqual([], effects)

    def test_non_idempotent_request_without_lease_never_runs(self):
        """Guards against a second run after a network partition.

        A placer on the other side may have run non-idempotent requests.
        """
        driver = builders.Driver()
        driver.record(driver.placer.set_lease(holds=False))
        driver.submit(1)
        driver.submit(2, idempotent=True)
        driver.record(driver.placer.set_lease(holds=True))
        effects = driver.advance(2 * SECOND)
        self.assertEqual(
            [2], [b.request_part.request for b in builders.binds(effects)]
        )
        (reply,) = builders.replies(effects, UNKNOWN)
        self.assertEqual(Reason.PLACER_CHANGED, reply.reason)

    def test_refusal_without_lease_is_not_claimed_as_not_run(self):
        """Guards against "not run" for a request that runs elsewhere."""
        driver = builders.Driver(settled=False, queue_limit=0)
        (reply,) = driver.submit(1)
        self.assertEqual(UNKNOWN, reply.outcome)

    def test_pause_ends_the_queue_and_the_lease(self):
        """Guards against running queued requests after a pause.

        Another placer may have run them meanwhile.
        """
        driver = builders.Driver()
        bound = builders.fill_slots(driver, 4)
        driver.submit(1)
        driver.clock.advance(5 * SECOND)
        effects = driver.submit(2)
        self.assertEqual(
            [(1, UNKNOWN), (2, UNKNOWN)],
            [(reply.request_part.request, reply.outcome) for reply in effects],
        )
        self.assertEqual(1, len(builders.replies(driver.answer(bound[0]))))
        driver.advance(SECOND)
        self.assertEqual([], driver.submit(3))

    def test_later_attempt_without_record_waits_for_the_settle_time(self):
        """Guards against a second run while two hosts act as the placer.

        The first attempt may be queued at a new placer that this host does
        not know yet.
        """
        driver = builders.Driver()
        driver.advance(10 * SECOND)
        self.assertEqual([], driver.submit(1, attempt=1, age=SECOND))
        (late,) = driver.submit(
            2, attempt=1, age=SECOND, timeout=500 * MILLISECOND
        )
        self.assertEqual(UNKNOWN, late.outcome)
        self.assertEqual([], driver.advance(990 * MILLISECOND))
        self.assertEqual(1, len(builders.binds(driver.advance(SECOND))))

    def test_coverage_starts_when_the_settle_time_ends(self):
        """Guards against a second run of what the previous placer ran.

        That placer may bind requests until the settle time ends.
        """
        driver = builders.Driver()
        driver.advance(5 * SECOND)
        (asked,) = driver.submit(
            1, attempt=1, age=5500 * MILLISECOND - ledgers.COVERAGE_MARGIN
        )
        self.assertIsInstance(asked, placement.AskPeer)

    def test_hand_over_passes_the_queue_and_keeps_bound_work(self):
        """Guards against a graceful shutdown that loses requests."""
        driver = builders.Driver()
        bound = builders.fill_slots(driver, 4)
        driver.submit(1)
        (passed,) = driver.record(driver.placer.hand_over('host-2'))
        self.assertEqual(
            ('host-2', 1), (passed.host_id, passed.request_part.request)
        )
        effects = driver.answer(bound[0])
        self.assertEqual(1, len(effects))
        self.assertEqual(UNKNOWN, driver.submit(1, attempt=1)[0].outcome)
        successor = builders.Driver(settled=False)
        successor.record(successor.placer.set_lease(holds=True))
        successor.submit(1, placement.Origin.HAND_OVER, attempt=1)
        self.assertEqual(
            1, len(builders.binds(successor.advance(1010 * MILLISECOND)))
        )
