"""Load patterns replayed on the decisions about new flows.

Each test compares the product with the naive host, and with the best that is
possible, over several seeds.
"""

import statistics
import unittest

from acaciamoor.load.scenarios import opening_naive
from acaciamoor.load.scenarios import opening_patterns
from acaciamoor.load.scenarios import opening_replay

SEEDS = (1, 2, 3, 4, 5)
# Time from an opening packet to the answer of an idle upstream.
HANDSHAKE_S = 0.004


def replay(pattern, seed):
    """Return the outcome of the product and of the naive host."""
    return (
        opening_replay.Replay(pattern, seed).run(),
        opening_replay.Replay(
            pattern,
            seed,
            opening_naive.NaiveCore,
            opening_naive.NaiveDriver,
        ).run(),
    )


def best_wait(pattern, blocked_from_s, blocked_until_s):
    """Return the mean wait if flows open as soon as that is possible."""
    return statistics.mean(
        HANDSHAKE_S + max(0.0, blocked_until_s - arrival)
        if arrival >= blocked_from_s
        else HANDSHAKE_S
        for arrival in pattern.arrivals_s
    )


def first_copy_at_host(sent_at_s):
    """Return when the first copy of a packet meets a host that is up."""
    return min(
        sent_at_s + delay
        for delay in (0.0, 0.2, 0.6, 1.4)
        if sent_at_s + delay >= 0.0
    )


class OpeningPatternTest(unittest.TestCase):
    def assert_halfway(self, product, naive, best):
        """Check that at least half of the possible gain is reached."""
        self.assertLess(product - best, (naive - best) / 2)

    def test_slow_host_suspects_no_upstream_that_answers(self):
        """Guards against a busy host that avoids live upstreams.

        Answers wait in the host's own socket, behind copies of the opening
        packets that they answer.
        """
        for seed in SEEDS:
            with self.subTest(seed=seed):
                product, naive = replay(
                    opening_patterns.slow_host_at_peak(seed), seed
                )
                self.assertEqual(0, product.false_suspicions)
                self.assertGreater(naive.false_suspicions, 0)
                self.assertLess(product.copies, naive.copies)
                self.assertGreaterEqual(product.opened, naive.opened)

    def test_flows_wait_for_the_next_upstream_of_a_release(self):
        """Guards against callers that wait for their own retransmission."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                pattern = opening_patterns.gap_in_a_release(seed)
                product, naive = replay(pattern, seed)
                self.assertEqual(1.0, product.opened)
                self.assert_halfway(
                    product.wait_s, naive.wait_s, best_wait(pattern, 1.0, 1.3)
                )

    def test_flows_wait_for_the_lists_of_a_host_that_starts(self):
        """Guards against openings that a starting host drops."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                pattern = opening_patterns.start_without_lists(seed)
                product, naive = replay(pattern, seed)
                self.assertEqual(1.0, product.opened)
                self.assert_halfway(
                    product.wait_s,
                    naive.wait_s,
                    best_wait(pattern, 0.0, pattern.lists_at_s),
                )

    def test_open_flows_wait_for_the_lists_after_a_power_cut(self):
        """Guards against packets of open flows that a starting host drops.

        Their callers retransmit at intervals that have doubled meanwhile.
        """
        for seed in SEEDS:
            with self.subTest(seed=seed):
                pattern = opening_patterns.return_after_a_power_cut(seed)
                product, naive = replay(pattern, seed)
                self.assertEqual(1.0, product.opened)
                best = statistics.mean(
                    max(0.0, pattern.lists_at_s - arrived_at)
                    for arrived_at in map(
                        first_copy_at_host, pattern.sent_on_open_flows_s
                    )
                )
                waiting = statistics.mean(
                    first_copy_at_host(sent_at) - max(0.0, sent_at)
                    for sent_at in pattern.sent_on_open_flows_s
                )
                self.assert_halfway(
                    product.open_flow_wait_s,
                    naive.open_flow_wait_s,
                    best + waiting,
                )

    def test_service_without_upstreams_is_refused(self):
        """Guards against callers that wait 1.4 s for nothing."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                product, naive = replay(
                    opening_patterns.service_without_upstreams(seed), seed
                )
                self.assert_halfway(
                    product.refusal_wait_s, naive.refusal_wait_s, 0.0
                )

    def test_failed_upstreams_are_found_as_fast_as_before(self):
        """Guards against caution that delays the retry of openings."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                product, naive = replay(
                    opening_patterns.half_of_the_upstreams_fail(seed), seed
                )
                self.assertEqual(1.0, product.opened)
                self.assertLess(product.wait_s - naive.wait_s, 0.001)


if __name__ == '__main__':
    unittest.main()
