"""Load balance of rendezvous hashing and disruption by changes."""

import collections
import unittest

from acaciamoor import hashing

KEYS = [hashing.hash64(str(index)) for index in range(20_000)]


class RendezvousTest(unittest.TestCase):
    def test_removal_remaps_only_keys_of_the_removed_candidate(self):
        """Guards against remapping keys of the remaining candidates."""
        before = {f'u{index}': 1.0 for index in range(7)}
        after = {name: 1.0 for name in before if name != 'u3'}
        for key in KEYS:
            chosen = hashing.choose_weighted(key, before)
            if chosen != 'u3':
                self.assertEqual(chosen, hashing.choose_weighted(key, after))

    def test_shares_follow_the_weights(self):
        """Guards against biased scores."""
        weights = {'light': 1.0, 'heavy': 3.0}
        counts = collections.Counter(
            hashing.choose_weighted(key, weights) for key in KEYS
        )
        self.assertAlmostEqual(0.75, counts['heavy'] / len(KEYS), delta=0.02)

    def test_second_candidate_replaces_a_removed_first(self):
        """Guards against reordering the other owners when one owner dies."""
        names = [f'host-{index}' for index in range(8)]
        for key in KEYS[:500]:
            first, second = hashing.ranked(key, names, 2)
            rest = [name for name in names if name != first]
            self.assertEqual(second, hashing.ranked(key, rest, 1)[0])
