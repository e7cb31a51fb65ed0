"""Load balance of the default tables and disruption by changes."""

import random
import unittest

import numpy

from acaciamoor.views import buckets

SEVEN = tuple((f'desk-{number}', 1.0) for number in range(7))


class BucketsTest(unittest.TestCase):
    def test_no_upstream_exceeds_its_share(self):
        """Guards against the imbalance of plain rendezvous hashing."""
        weighted = (*SEVEN, ('desk-heavy', 3.0))
        for weights in (SEVEN, weighted):
            counts = numpy.bincount(buckets.assign_buckets(weights))
            for (_, weight), count in zip(weights, counts, strict=True):
                mean = (
                    buckets.BUCKET_COUNT
                    * weight
                    / sum(item for _, item in weights)
                )
                self.assertLessEqual(
                    count, mean * (1.0 + buckets.CAPACITY_SLACK) + 1.0
                )

    def test_drain_remaps_few_buckets_of_other_upstreams(self):
        """Guards against a drain that makes most flows ambiguous."""
        before = buckets.assign_buckets(SEVEN)
        for drained in range(len(SEVEN)):
            kept = [number for number in range(7) if number != drained]
            after = buckets.assign_buckets(tuple(SEVEN[item] for item in kept))
            moved = numpy.mean(numpy.array(kept)[after] != before)
            self.assertLess(moved, 1.1 * (1.0 + buckets.CAPACITY_SLACK) / 7)

    def test_scalar_and_vector_buckets_agree(self):
        """Guards against scans and routing that use different buckets."""
        source = random.Random(7)
        flows = [0, 2**64 - 1, *(source.getrandbits(64) for _ in range(500))]
        vector = buckets.buckets_of(numpy.array(flows, dtype=numpy.uint64))
        self.assertEqual(
            [buckets.bucket_of(flow) for flow in flows], vector.tolist()
        )

    def test_no_candidate_gives_a_table_without_choices(self):
        """Guards against an error when every upstream is unhealthy."""
        self.assertEqual(
            {buckets.NO_CANDIDATE}, set(buckets.assign_buckets(()).tolist())
        )
