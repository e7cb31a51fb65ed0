"""When a placer may bind: lease, settle time, coverage and hand-over."""

import unittest

from acaciamoor import placement
from acaciamoor.placement.tests import builders
from acaciamoor.requests import ledger as ledgers
from acaciamoor.wire import envelope as wire

MILLISECOND = builders.MILLISECOND
SECOND = builders.SECOND
UNKNOWN = wire.Outcome.OUTCOME_UNKNOWN
Reason = placement.Reason


class TenureTest(unittest.TestCase):
    def test_new_placer_settles_before_it_binds(self):
        """Guards against two placers that bind at the same time."""
        driver = builders.Driver(settled=False)
        driver.take(driver.placer.set_lease(holds=True))
        driver.submit(1)
        self.assertEqual([], driver.advance(990 * MILLISECOND))
        self.assertEqual(1, len(driver.advance(20 * MILLISECOND)))

    def test_backlog_of_the_settle_time_is_not_refused(self):
        """Guards against a takeover that refuses work as if at a peak."""
        driver = builders.Driver()
        driver.serve(1, 30)
        driver.take(driver.placer.set_lease(holds=False))
        driver.take(driver.placer.set_lease(holds=True))
        effects = []
        for request in range(100, 200):
            effects += driver.submit(request)
        self.assertEqual([], effects)

    def test_work_that_came_without_lease_never_runs(self):
        """Guards against an order that the other side of a cut has run."""
        driver = builders.Driver()
        driver.take(driver.placer.set_lease(holds=False))
        driver.submit(1)
        driver.submit(2, idempotent=True)
        driver.take(driver.placer.set_lease(holds=True))
        effects = driver.advance(2 * SECOND)
        self.assertEqual(
            [2], [b.work.request for b in builders.binds(effects)]
        )
        (reply,) = builders.replies(effects, UNKNOWN)
        self.assertEqual(Reason.PLACER_CHANGED, reply.reason)

    def test_refusal_without_lease_is_not_claimed_as_not_run(self):
        """Guards against a false "not run" while another placer runs it."""
        driver = builders.Driver(settled=False, queue_limit=0)
        (reply,) = driver.submit(1)
        self.assertEqual(UNKNOWN, reply.outcome)

    def test_pause_ends_the_queue_and_the_lease(self):
        """Guards against a resumed process that runs what it had queued."""
        driver = builders.Driver()
        bound = builders.fill(driver, 4)
        driver.submit(1)
        driver.clock.advance(5 * SECOND)
        effects = driver.submit(2)
        self.assertEqual(
            [(1, UNKNOWN), (2, UNKNOWN)],
            [(reply.work.request, reply.outcome) for reply in effects],
        )
        self.assertEqual(1, len(builders.replies(driver.answer(bound[0]))))
        driver.advance(SECOND)
        self.assertEqual([], driver.submit(3))

    def test_later_attempt_without_record_waits_out_uneven_views(self):
        """Guards against an order that waits at a placer unknown so far."""
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
        """Guards against running what the last placer ran while settling."""
        driver = builders.Driver()
        driver.advance(5 * SECOND)
        (asked,) = driver.submit(
            1, attempt=1, age=5500 * MILLISECOND - ledgers.COVERAGE_MARGIN
        )
        self.assertIsInstance(asked, placement.AskPeer)

    def test_hand_over_passes_the_queue_and_keeps_bound_work(self):
        """Guards against a graceful shutdown that cuts requests."""
        driver = builders.Driver()
        bound = builders.fill(driver, 4)
        driver.submit(1)
        (passed,) = driver.take(driver.placer.hand_over('host-2'))
        self.assertEqual(('host-2', 1), (passed.host_id, passed.work.request))
        effects = driver.answer(bound[0])
        self.assertEqual(1, len(effects))
        self.assertEqual(UNKNOWN, driver.submit(1, attempt=1)[0].outcome)
        successor = builders.Driver(settled=False)
        successor.take(successor.placer.set_lease(holds=True))
        successor.submit(1, placement.Origin.HAND_OVER, attempt=1)
        self.assertEqual(
            1, len(builders.binds(successor.advance(1010 * MILLISECOND)))
        )
