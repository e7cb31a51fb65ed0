"""Where new flows go, replayed on the decisions alone."""

import collections
import datetime
import random
import unittest

from acaciamoor import directory
from acaciamoor import openings
from acaciamoor.directory.tests import builders

SECOND = builders.SECOND
MS = datetime.timedelta(milliseconds=1)
IDEMPOTENT = directory.RequestKind.IDEMPOTENT
UPLOAD = directory.RequestKind.UPLOAD


class Placement:
    """A placer with its load and evidence."""

    def __init__(self, seed: int = 1) -> None:
        self.book = openings.LoadBook()
        self.evidence = openings.Evidence()
        self.placer = openings.OpeningPlacer(
            'kgn-a', self.book, self.evidence, random.Random(seed)
        )

    def choose(self, candidates, kind=IDEMPOTENT, tried=(), now=0 * SECOND):
        """Return the identifier of the chosen upstream."""
        return self.placer.choose(candidates, kind, tried, now).upstream_id


class PlacerTest(unittest.TestCase):
    def setUp(self):
        self.placement = Placement()
        self.near = [builders.listed(f'near-{n}') for n in range(2)]
        self.far = [
            builders.listed(f'far-{n}', data_centre='kgn-b') for n in range(2)
        ]

    def test_load_is_spread_evenly(self):
        """Guards against one upstream that queues while others are idle.

        Long flows stay for a minute, so a bad choice is paid for many times.
        Naive: a random choice of 40 flows leaves the busiest of four
        upstreams well above its share.
        """
        candidates = [builders.listed(f'desk-{n}') for n in range(4)]
        chosen = collections.Counter()
        for number in range(40):
            now = number * 10 * MS
            upstream_id = self.placement.choose(candidates, now=now)
            chosen[upstream_id] += 1
            self.placement.book.begin(upstream_id, now)
        self.assertEqual({10}, set(chosen.values()))

    def test_own_data_centre_comes_first(self):
        """Guards against paid traffic while near upstreams are idle."""
        chosen = {
            self.placement.choose([*self.far, *self.near]) for _ in range(20)
        }
        self.assertEqual({'near-0', 'near-1'}, chosen)

    def test_peak_spills_over_to_other_data_centres(self):
        """Guards against a starved data centre beside idle upstreams."""
        for upstream in self.near:
            for _ in range(6):
                self.placement.book.begin(upstream.upstream_id, 0 * SECOND)
        chosen = self.placement.choose([*self.far, *self.near])
        self.assertIn(chosen, {'far-0', 'far-1'})

    def test_uploads_stay_near_for_longer(self):
        """Guards against 40 KB bodies that cross data centres."""
        for upstream in self.near:
            for _ in range(4):
                self.placement.book.begin(upstream.upstream_id, 0 * SECOND)
        every = [*self.far, *self.near]
        self.assertIn(
            self.placement.choose(every, UPLOAD), {'near-0', 'near-1'}
        )

    def test_copy_goes_to_another_upstream(self):
        """Guards against a caller that tries a dead upstream twice."""
        self.assertEqual(
            'near-1', self.placement.choose(self.near, tried=['near-0'])
        )

    def test_last_upstream_is_better_than_none(self):
        """Guards against refusing flows on weak evidence."""
        self.placement.evidence.note_silence('near-0', 0 * SECOND)
        chosen = self.placement.choose(self.near[:1], tried=['near-0'])
        self.assertEqual('near-0', chosen)

    def test_suspect_is_avoided_even_for_another_data_centre(self):
        """Guards against near upstreams that are preferred though dead."""
        for upstream in self.near:
            self.placement.evidence.note_silence(
                upstream.upstream_id, 0 * SECOND
            )
        chosen = self.placement.choose([*self.far, *self.near], UPLOAD)
        self.assertIn(chosen, {'far-0', 'far-1'})

    def test_cold_upstream_gets_less(self):
        """Guards against queues at an upstream that has just started."""
        self.placement.placer.note_warm_up('near-0', 2 * SECOND, 0 * SECOND)
        self.assertEqual('near-1', self.placement.choose(self.near))
        for _ in range(1):
            self.placement.book.begin('near-1', 3 * SECOND)
        self.assertEqual(
            'near-0', self.placement.choose(self.near, now=3 * SECOND)
        )

    def test_capacity_counts(self):
        """Guards against equal shares for upstreams of unequal size."""
        candidates = [
            builders.listed('small', slots=1),
            builders.listed('large', slots=3),
        ]
        chosen = collections.Counter()
        for _ in range(40):
            upstream_id = self.placement.choose(candidates)
            chosen[upstream_id] += 1
            self.placement.book.begin(upstream_id, 0 * SECOND)
        self.assertAlmostEqual(3.0, chosen['large'] / chosen['small'], delta=1)


class EvidenceTest(unittest.TestCase):
    def test_repeated_silence_lasts_longer(self):
        """Guards against a dead upstream that is tried every second."""
        evidence = openings.Evidence()
        evidence.note_silence('a', 0 * SECOND)
        self.assertFalse(evidence.suspects('a', 1.6 * SECOND))
        evidence.note_silence('a', 2 * SECOND)
        self.assertTrue(evidence.suspects('a', 4.9 * SECOND))
        evidence.note_silence('a', 6 * SECOND)
        evidence.note_silence('a', 20 * SECOND)
        self.assertFalse(evidence.suspects('a', 26.1 * SECOND))

    def test_many_silences_at_once_count_once(self):
        """Guards against one short cut that bans an upstream for long."""
        evidence = openings.Evidence()
        for _ in range(10):
            evidence.note_silence('a', 0 * SECOND)
        self.assertFalse(evidence.suspects('a', 1.6 * SECOND))

    def test_answer_clears(self):
        """Guards against an upstream that stays out after it is back."""
        evidence = openings.Evidence()
        evidence.note_silence('a', 0 * SECOND)
        evidence.note_answer('a')
        self.assertFalse(evidence.suspects('a', 0.1 * SECOND))


class ActivityTest(unittest.TestCase):
    KEY = (1, 2, 3, 4)

    def setUp(self):
        self.book = openings.LoadBook()
        self.activity = openings.FlowActivity(self.book)

    def packet(self, sequence, acknowledged, length, at=0 * SECOND):
        """Let a packet of the flow pass."""
        self.activity.note_packet(
            self.KEY, 'a', sequence, acknowledged, length, at
        )

    def load(self):
        """Return the number of requests in progress."""
        return self.book.estimate('a', 0 * SECOND)

    def test_request_ends_with_its_answer(self):
        """Guards against a load that only grows."""
        self.packet(10, 500, 0)
        self.packet(10, 500, 300)
        self.assertGreater(self.load(), 0)
        self.packet(310, 2500, 0)
        self.assertEqual(0, self.load())

    def test_body_of_many_packets_is_one_request(self):
        """Guards against an upload that looks like a hundred requests."""
        self.packet(10, 500, 0)
        for number in range(33):
            self.packet(10 + 1200 * number, 500, 1200)
        self.assertEqual(0.5, self.load())

    def test_repeated_packet_starts_no_request(self):
        """Guards against a load that lossy links drive up."""
        self.packet(10, 500, 300)
        self.packet(310, 900, 0)
        self.packet(10, 900, 300)
        self.assertEqual(0, self.load())

    def test_sequence_numbers_wrap(self):
        """Guards against flows whose requests vanish after 4 GB."""
        self.packet(0xFFFFFF00, 500, 400)
        self.packet(0x90, 900, 300)
        self.assertGreater(self.load(), 0)

    def test_closed_flow_leaves_no_load(self):
        """Guards against an upstream that looks busy for ever."""
        self.packet(10, 500, 300)
        self.activity.note_end(self.KEY, 0 * SECOND)
        self.assertEqual(0, self.load())

    def test_silent_flow_is_forgotten(self):
        """Guards against flows whose end went through another host."""
        self.packet(10, 500, 300)
        self.activity.expire(16 * SECOND, 15 * SECOND)
        self.assertEqual(0, len(self.activity))


class PendingTest(unittest.TestCase):
    def test_openings_are_bounded(self):
        """Guards against memory that a flood of openings takes."""
        pending = openings.PendingOpenings(limit=3)
        for number in range(5):
            pending.put(
                openings.Opening(
                    (number, 0, 0, 0), b'', 0 * SECOND, 'desk', ['a']
                )
            )
        self.assertEqual(3, len(pending))
        self.assertIsNone(pending.get((0, 0, 0, 0)))


if __name__ == '__main__':
    unittest.main()
