"""Balance and disruption of the default tables."""

import random
import unittest

import numpy

from acaciamoor.views import buckets

SEVEN = tuple((f'desk-{number}', 1.0) for number in range(7))


class BucketsTest(unittest.TestCase):
    def test_no_upstream_exceeds_its_share(self):
        """Guards against buckets that are as uneven as plain hashing."""
        weighted = (*SEVEN, ('desk-heavy', 3.0))
        for shares in (SEVEN, weighted):
            counts = numpy.bincount(buckets.choose_all(shares))
            for (_, weight), count in zip(shares, counts, strict=True):
                mean = (
                    buckets.BUCKETS * weight / sum(item for _, item in shares)
                )
                self.assertLessEqual(count, mean * (1.0 + buckets.SLACK) + 1.0)

    def test_drain_moves_little_more_than_the_drained_buckets(self):
        """Guards against a table that turns most flows into exceptions."""
        before = buckets.choose_all(SEVEN)
        for drained in range(len(SEVEN)):
            kept = [number for number in range(7) if number != drained]
            after = buckets.choose_all(tuple(SEVEN[item] for item in kept))
            moved = numpy.mean(numpy.array(kept)[after] != before)
            self.assertLess(moved, 1.1 * (1.0 + buckets.SLACK) / 7)

    def test_scalar_and_vector_buckets_agree(self):
        """Guards against a scan that judges a flow by another bucket."""
        source = random.Random(7)
        flows = [0, 2**64 - 1, *(source.getrandbits(64) for _ in range(500))]
        vector = buckets.buckets_of(numpy.array(flows, dtype=numpy.uint64))
        self.assertEqual(
            [buckets.bucket_of(flow) for flow in flows], vector.tolist()
        )

    def test_no_candidate_gives_a_table_without_choices(self):
        """Guards against an error when every upstream is unhealthy."""
        self.assertEqual(
            {buckets.NO_CANDIDATE}, set(buckets.choose_all(()).tolist())
        )
