"""Tests of queueing, binding, retries and outcomes."""

import unittest

from acaciamoor import placement
from acaciamoor.placement.tests import builders
from acaciamoor.wire import envelope as wire

MILLISECOND = builders.MILLISECOND
SECOND = builders.SECOND
LONG = wire.SizeClass.LONG
SHORT = wire.SizeClass.SHORT
NOT_RUN = wire.Outcome.NOT_RUN
UNKNOWN = wire.Outcome.OUTCOME_UNKNOWN
Reason = placement.Reason


class QueueTest(unittest.TestCase):
    def test_requests_are_bound_only_to_free_slots(self):
        """Guards against requests that queue at an upstream.

        Those could not be reassigned to another upstream.
        """
        driver = builders.Driver()
        bound = builders.fill_slots(driver, 4)
        self.assertEqual(4, len(bound))
        self.assertEqual([], driver.submit(1))
        after = builders.binds(driver.answer(bound[2]))
        self.assertEqual([1], [bind.request_part.request for bind in after])
        self.assertEqual(bound[2].upstream, after[0].upstream)

    def test_short_request_overtakes_long_request(self):
        """Guards against short requests that wait behind long ones."""
        driver = builders.Driver()
        bound = builders.fill_slots(driver, 1, size_class=LONG)
        bound += builders.fill_slots(driver, 3, first=200)
        driver.submit(1, size_class=LONG)
        driver.submit(2, size_class=SHORT)
        after = builders.binds(driver.answer(bound[3]))
        self.assertEqual([2], [bind.request_part.request for bind in after])

    def test_declared_long_requests_leave_slots_to_short_ones(self):
        """Guards against long requests that fill every slot."""
        driver = builders.Driver(long_share=0.75)
        self.assertEqual(
            3, len(builders.fill_slots(driver, 4, size_class=LONG))
        )
        self.assertEqual(1, len(builders.binds(driver.submit(1))))

    def test_undeclared_long_requests_count_against_the_share(self):
        """Guards against long requests that their callers declared short.

        They are detected by their running time.
        """
        driver = builders.Driver(long_share=0.5)
        driver.serve(1, 30)
        builders.fill_slots(driver, 2)
        self.assertEqual(
            1, len(builders.fill_slots(driver, 1, first=200, size_class=LONG))
        )
        driver.advance(SECOND)
        self.assertEqual(
            [], builders.fill_slots(driver, 1, first=201, size_class=LONG)
        )

    def test_full_queue_refuses_as_not_run(self):
        """Guards against an unbounded queue."""
        driver = builders.Driver(queue_limit=1)
        builders.fill_slots(driver, 4)
        driver.submit(1)
        (reply,) = driver.submit(2)
        self.assertEqual(
            (NOT_RUN, Reason.QUEUE_FULL), (reply.outcome, reply.reason)
        )
        self.assertEqual(NOT_RUN, driver.submit(2, attempt=1)[0].outcome)

    def test_request_that_would_be_late_is_refused_at_once(self):
        """Guards against refusing a request only after a long wait."""
        driver = builders.Driver()
        driver.serve(1, 30)
        builders.fill_slots(driver, 4)
        for request in range(20):
            driver.submit(200 + request)
        (reply,) = driver.submit(90, timeout=50 * MILLISECOND)
        self.assertEqual(
            (NOT_RUN, Reason.DEADLINE), (reply.outcome, reply.reason)
        )
        self.assertEqual([], driver.submit(91, timeout=SECOND))

    def test_high_estimate_does_not_refuse_requests_forever(self):
        """Guards against an estimate that is never corrected.

        If it caused every request to be refused, no new samples would arrive.
        """
        driver = builders.Driver()
        driver.serve(1, 30, step=SECOND)
        after = driver.submit(90, timeout=500 * MILLISECOND)
        self.assertEqual(1, len(builders.binds(after)))

    def test_expired_request_is_not_bound(self):
        """Guards against running requests whose caller has given up."""
        driver = builders.Driver()
        bound = builders.fill_slots(driver, 4)
        driver.submit(1, timeout=105 * MILLISECOND)
        driver.clock.advance(106 * MILLISECOND)
        effects = driver.answer(bound[0])
        self.assertEqual([], builders.binds(effects))
        self.assertEqual(1, len(builders.replies(driver.effects, NOT_RUN)))

    def test_later_requests_of_a_flow_stay_on_its_upstream(self):
        """Guards against requests of one flow at several upstreams."""
        driver = builders.Driver()
        (first,) = builders.binds(driver.submit(1, flow=5))
        pinned_id = first.upstream.upstream_id
        driver.answer(first)
        others = builders.fill_slots(driver, 4)
        self.assertEqual([], driver.submit(2, flow=5))
        for bind in others:
            after = builders.binds(driver.answer(bind))
            if bind.upstream.upstream_id == pinned_id:
                self.assertEqual(2, after[0].request_part.request)
                break
            self.assertEqual([], after)
        driver.record(driver.placer.close_flow(5))

    def test_parts_are_sent_once(self):
        """Guards against parts that are sent twice or not at all."""
        driver = builders.Driver()
        bound = builders.fill_slots(driver, 4)
        driver.submit(1, part=1, parts=3)
        driver.submit(1, part=0, parts=3)
        driver.submit(1, part=0, parts=3, attempt=1)
        (bind,) = builders.binds(driver.answer(bound[0]))
        self.assertEqual(2, len(bind.payloads))
        self.assertEqual([], driver.submit(1, part=1, parts=3))
        (sent,) = driver.submit(1, part=2, parts=3, attempt=1)
        self.assertEqual(bind.upstream, sent.upstream)
        self.assertEqual([], driver.submit(1, part=2, parts=3))


class OutcomeTest(unittest.TestCase):
    def test_only_the_answer_of_the_bound_attempt_counts(self):
        """Guards against duplicate answers and those of other attempts."""
        driver = builders.Driver()
        (bind,) = builders.binds(driver.submit(1))
        other = {'desk-1': 'desk-2', 'desk-2': 'desk-1'}
        self.assertEqual(
            [],
            driver.answer(bind, upstream_id=other[bind.upstream.upstream_id]),
        )
        self.assertEqual([], driver.answer(bind, attempt=1))
        self.assertEqual(1, len(driver.answer(bind)))
        self.assertEqual([], driver.answer(bind))
        self.assertEqual(0, driver.placer.bound)

    def test_answer_in_parts_frees_the_slot_at_its_last_part(self):
        """Guards against a truncated answer that counts as complete."""
        driver = builders.Driver(count=1)
        bound = builders.fill_slots(driver, 2)
        driver.submit(1)
        self.assertEqual(1, len(driver.answer(bound[0], part=1, parts=2)))
        self.assertEqual([], driver.answer(bound[0], part=1, parts=2))
        after = driver.answer(bound[0], part=0, parts=2)
        self.assertEqual(1, len(builders.binds(after)))
        repeated = driver.submit(100, attempt=1)
        self.assertEqual(
            ['answer 1100/100/0', 'answer 1100/100/1'],
            [reply.payload for reply in repeated],
        )

    def test_timeout_of_a_bound_request_is_unknown(self):
        """Guards against a false "not run" for a request that may have run."""
        driver = builders.Driver()
        driver.submit(1, timeout=50 * MILLISECOND)
        effects = driver.advance(60 * MILLISECOND)
        self.assertEqual(1, len(builders.replies(effects, UNKNOWN)))
        self.assertEqual(
            1, len(builders.of_type(effects, placement.CancelUpstream))
        )

    def test_shed_request_is_retried_elsewhere_within_the_budget(self):
        """Guards against retry storms and retries at the same upstream."""
        driver = builders.Driver(retry_ratio=0.0)
        outcomes = []
        for request in range(1, 12):
            (bind,) = builders.binds(driver.submit(request))
            effects = driver.shed(bind)
            effects += driver.advance(SECOND)
            outcomes += [
                effect.upstream != bind.upstream
                for effect in builders.binds(effects)
            ]
            for retry in builders.binds(effects):
                driver.answer(retry)
        self.assertEqual([True] * 10, outcomes)
        (last,) = builders.replies(driver.effects, NOT_RUN)
        self.assertEqual(Reason.RETRY_BUDGET, last.reason)

    def test_retry_avoids_the_upstream_that_shed(self):
        """Guards against a duplicated shed that is mistaken for a second."""
        driver = builders.Driver()
        bound = builders.fill_slots(driver, 4)
        driver.shed(bound[0])
        effects = driver.advance(2 * SECOND)
        self.assertEqual([], builders.binds(effects))
        other = [b for b in bound if b.upstream != bound[0].upstream]
        self.assertEqual(1, len(builders.binds(driver.answer(other[0]))))

    def test_slot_of_cancelled_request_is_free_after_a_grace_period(self):
        """Guards against reusing a slot before its request has stopped."""
        driver = builders.Driver(count=1)
        bound = builders.fill_slots(driver, 2)
        driver.submit(1)
        driver.record(driver.placer.cancel(bound[0].request_part.key))
        effects = driver.advance(90 * MILLISECOND)
        self.assertEqual([], builders.binds(effects))
        effects = driver.advance(20 * MILLISECOND)
        self.assertEqual(1, len(builders.binds(effects)))

    def test_duplicate_of_a_shed_has_no_effect(self):
        """Guards against a retry while the first retry is running."""
        driver = builders.Driver()
        (bind,) = builders.binds(driver.submit(1))
        driver.shed(bind)
        self.assertEqual(1, len(builders.binds(driver.advance(SECOND))))
        self.assertEqual([], driver.shed(bind) + driver.advance(SECOND))

    def test_cancelled_request_is_stopped_or_never_bound(self):
        """Guards against slots occupied by cancelled requests."""
        driver = builders.Driver(count=1)
        bound = builders.fill_slots(driver, 2)
        driver.submit(1)
        driver.record(driver.placer.cancel(driver.request_part(1).key))
        (cancel,) = driver.placer.cancel(bound[0].request_part.key)
        self.assertIsInstance(cancel, placement.CancelUpstream)
        self.assertEqual([], builders.binds(driver.advance(SECOND)))
        self.assertEqual([], driver.answer(bound[0]))
        self.assertEqual(NOT_RUN, driver.submit(1, attempt=1)[0].outcome)
