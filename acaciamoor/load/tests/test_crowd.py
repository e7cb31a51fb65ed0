"""Crowds of 1.2 to 2 times the slots replayed on the admission of new flows.

The bounds are those of docs/parts.md, part 5. Where a placement is named
'live', hosts place flows without the age of the picture, so that the figure is
that of the admission alone.
"""

import functools
import unittest

from acaciamoor.load.scenarios import crowd_model
from acaciamoor.load.scenarios import site_patterns

FACTORS = (1.2, 1.5, 2.0)
SEEDS = (1, 2)


@functools.cache
def replay(variant, factor, seed=1, placement='random', **arguments):
    """Return the outcome of a crowd."""
    return crowd_model.replay(
        variant, site_patterns.crowd(factor), seed, placement, **arguments
    )


class CrowdTest(unittest.TestCase):
    def test_important_kind_is_served_in_every_second(self):
        """Guards against important work that pays for the others."""
        for factor in FACTORS:
            for seed in SEEDS:
                for placement in ('product', 'live'):
                    with self.subTest(f'{factor} {seed} {placement}'):
                        outcome = replay('controller', factor, seed, placement)
                        self.assertGreaterEqual(outcome.worst_important, 0.98)

    def test_naive_choices_lose_important_work(self):
        """Guards against a crowd that any choice would serve."""
        for variant in ('none', 'random'):
            self.assertLess(replay(variant, 2.0).worst_important, 0.9)

    def test_worth_served_in_the_crest_is_close_to_the_oracle(self):
        """Guards against refusals that leave slots idle."""
        for factor in FACTORS:
            best = sum(
                replay('oracle', factor, seed).worth_in_crest for seed in SEEDS
            )
            for placement in ('product', 'live'):
                with self.subTest(f'{factor} {placement}'):
                    worth = sum(
                        replay(
                            'controller', factor, seed, placement
                        ).worth_in_crest
                        for seed in SEEDS
                    )
                    self.assertGreaterEqual(worth, 0.95 * best)

    def test_nothing_is_refused_at_usual_load(self):
        """Guards against refusals while upstreams have room."""
        for factor in (0.55, 0.8):
            self.assertEqual(0, replay('controller', factor).refused)

    def test_refusals_end_with_the_crest(self):
        """Guards against a second crest when the refused return."""
        for factor in FACTORS:
            for seed in SEEDS:
                outcome = replay('controller', factor, seed)
                self.assertEqual(0, outcome.refused_after_crest)

    def test_load_does_not_oscillate(self):
        """Guards against hosts that all open and close by an old picture."""
        for seed in SEEDS:
            settled = replay('controller', 2.0, seed).busy_by_second[1:]
            self.assertGreater(min(settled), 0.9)

    def test_less_important_kind_is_never_starved(self):
        """Guards against an important crowd that leaves nothing for others."""
        outcome = replay('controller', 2.0, long_share=0.3)
        self.assertGreater(outcome.worst_less_important, 0.02)
        self.assertGreater(outcome.admitted_less_important, 100)

    def test_greedy_caller_takes_no_room_of_others(self):
        """Guards against one caller with more openings than all others."""
        usual = replay('controller', 1.5)
        crowded = replay('controller', 1.5, greedy_rate=2000.0)
        self.assertLess(crowded.greedy, 0.1)
        self.assertGreaterEqual(crowded.worst_important, 0.98)
        self.assertGreater(crowded.less_important, 0.95 * usual.less_important)
        naive = replay('none', 1.5, greedy_rate=2000.0)
        self.assertGreater(naive.greedy, 0.4)

    def test_flows_that_move_to_other_hosts_cost_nothing(self):
        """Guards against refusals for flows that are counted twice.

        Hosts start in the crest; all flows move, and their old hosts report
        them for some more time.
        """
        for seed in SEEDS:
            with self.subTest(seed):
                usual = replay('controller', 1.5, seed)
                moved = replay('controller', 1.5, seed, moved_at=7.0)
                self.assertGreater(
                    moved.worth_in_crest, 0.98 * usual.worth_in_crest
                )
                self.assertGreaterEqual(moved.worst_important, 0.98)

    def test_hosts_without_a_picture_do_not_make_it_worse(self):
        """Guards against hosts that disagree: half of them admit all."""
        blind = replay('controller', 1.5, blind_hosts=38)
        self.assertGreater(
            blind.worst_important, replay('none', 1.5).worst_important
        )
        self.assertEqual(0, blind.refused_after_crest)


if __name__ == '__main__':
    unittest.main()
