"""Tests of the at-most-once guarantee and the limits of the ledger."""

import unittest

from acaciamoor import clock as clocks
from acaciamoor import requests
from acaciamoor.requests import ledger as ledgers
from acaciamoor.requests.tests import builders

SECOND = builders.SECOND
Origin = requests.Origin
Verdict = requests.Verdict


class LedgerTest(unittest.TestCase):
    def setUp(self):
        self.clock = clocks.ManualClock()
        self.ledger = requests.RequestLedger(
            self.clock,
            requests.LedgerLimits(entries=8, cached_answer_parts=2),
        )

    def verdict(self, origin=Origin.CALLER, **fields):
        return self.ledger.admit(
            builders.request_part(**fields), origin
        ).verdict

    def complete_request(self, request, parts=1):
        request_part = builders.request_part(request=request)
        self.ledger.admit(request_part)
        self.ledger.mark_bound(request_part.key, 'desk-1', 0)
        self.ledger.mark_completed(request_part.key, ('answer',) * parts)

    def test_later_attempt_without_record_needs_coverage(self):
        """Guards against a second run of what the previous placer ran."""
        self.clock.advance(10 * SECOND)
        self.assertEqual(
            Verdict.ASK_PEER, self.verdict(attempt=1, age=9 * SECOND)
        )
        self.assertEqual(
            Verdict.RUN,
            self.verdict(
                request=2, attempt=1, age=9 * SECOND, idempotent=True
            ),
        )
        self.assertEqual(
            Verdict.RUN, self.verdict(request=3, attempt=1, age=SECOND)
        )
        self.ledger.set_coverage(9 * SECOND)
        self.assertEqual(
            Verdict.ASK_PEER,
            self.verdict(request=4, attempt=1, age=SECOND),
        )

    def test_coverage_margin_compensates_for_the_transit_time(self):
        """Guards against a delayed datagram whose age appears too low."""
        self.clock.advance(10 * SECOND)
        self.assertEqual(
            Verdict.ASK_PEER,
            self.verdict(attempt=1, age=10 * SECOND - ledgers.COVERAGE_MARGIN),
        )

    def test_duplicate_in_progress_does_not_run(self):
        """Guards against running a retransmission of an active request."""
        self.assertEqual(Verdict.RUN, self.verdict())
        self.assertEqual(Verdict.IN_PROGRESS, self.verdict(attempt=1))

    def test_completed_request_repeats_a_cached_answer(self):
        """Guards against an unbounded cache and against a second run."""
        self.complete_request(1, parts=2)
        repeated = self.ledger.admit(
            builders.request_part(request=1, attempt=1)
        )
        self.assertEqual(('answer', 'answer'), repeated.answer)
        self.complete_request(2)
        self.assertEqual(
            Verdict.OUTCOME_UNKNOWN, self.verdict(request=1, attempt=2)
        )

    def test_refused_request_leaves_a_tombstone(self):
        """Guards against running a request after the reply "not run"."""
        request_part = builders.request_part(idempotent=True)
        self.ledger.admit(request_part)
        self.ledger.mark_refused(request_part.key)
        self.assertEqual(
            Verdict.NOT_RUN, self.verdict(attempt=1, idempotent=True)
        )

    def test_unknown_outcome_runs_again_only_if_idempotent(self):
        """Guards against a second run of a non-idempotent request."""
        for idempotent, expected in (
            (False, Verdict.OUTCOME_UNKNOWN),
            (True, Verdict.RUN),
        ):
            fields = {'request': 5 + idempotent, 'idempotent': idempotent}
            self.assertEqual(Verdict.RUN, self.verdict(**fields))
            self.ledger.mark_unknown(builders.request_part(**fields).key)
            self.assertEqual(Verdict.OUTCOME_UNKNOWN, self.verdict(**fields))
            self.assertEqual(expected, self.verdict(**fields, attempt=1))

    def test_peer_never_runs_a_request(self):
        """Guards against running requests at a host that isn't the placer."""
        self.assertEqual(
            Verdict.OUTCOME_UNKNOWN,
            self.verdict(Origin.PEER, idempotent=True),
        )
        self.assertEqual(0, len(self.ledger))

    def test_stale_datagram_does_not_run(self):
        """Guards against running datagrams buffered during a pause."""
        self.assertEqual(Verdict.OUTCOME_UNKNOWN, self.verdict(Origin.STALE))

    def test_only_the_bound_attempt_and_upstream_are_current(self):
        """Guards against accepting answers of other upstreams or attempts."""
        request_part = builders.request_part()
        self.ledger.admit(request_part)
        self.ledger.mark_bound(request_part.key, 'desk-1', 0)
        self.assertTrue(self.ledger.is_bound_to(request_part.key, 'desk-1', 0))
        self.assertFalse(
            self.ledger.is_bound_to(request_part.key, 'desk-2', 0)
        )
        self.assertFalse(
            self.ledger.is_bound_to(request_part.key, 'desk-1', 1)
        )

    def test_record_lives_30_seconds_after_the_last_attempt(self):
        """Guards against removing a record while attempts may arrive."""
        self.complete_request(1)
        self.clock.advance(20 * SECOND)
        self.verdict(request=1, attempt=1)
        self.clock.advance(20 * SECOND)
        self.ledger.expire()
        self.assertEqual(1, len(self.ledger))
        self.clock.advance(30 * SECOND)
        self.ledger.expire()
        self.assertEqual(0, len(self.ledger))

    def test_full_ledger_runs_nothing_without_a_record(self):
        """Guards against unbounded memory and unrecorded runs."""
        for request in range(8):
            self.assertEqual(Verdict.RUN, self.verdict(request=request))
        self.assertEqual(Verdict.OUTCOME_UNKNOWN, self.verdict(request=9))
        self.assertEqual(8, len(self.ledger))
