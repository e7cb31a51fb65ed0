"""What hosts conclude together from unanswered openings."""

import random
import unittest

from acaciamoor import evidence
from acaciamoor.evidence.tests import builders

HEALTHY = evidence.Verdict.HEALTHY
SILENT = evidence.Verdict.SILENT
PARTIAL = evidence.Verdict.PARTIAL
FLAPPING = evidence.Verdict.FLAPPING
load = builders.load


class VerdictTest(unittest.TestCase):
    def setUp(self):
        self.judge = builders.Judge()

    def flap(self, times):
        """Let an upstream be silent and answer by turns."""
        for _ in range(times):
            self.judge.receive(load(unanswered=2), times=5)
            self.judge.receive(load(finished=7), times=5)

    def test_silent_upstream_is_found_in_one_interval(self):
        """Guards against hosts that each find out alone."""
        (change,) = self.judge.receive(load(unanswered=2))
        self.assertIs(SILENT, change.after)
        self.assertEqual({'desk-1'}, self.judge.avoided())

    def test_single_lost_packets_convince_nobody(self):
        """Guards against bans for usual losses on the path."""
        for _ in range(20):
            self.judge.receive(load(unanswered=1, openings=3, finished=7))
            self.judge.receive(load(openings=3, finished=7), times=4)
        self.assertIs(HEALTHY, self.judge.verdict())

    def test_answers_of_the_time_before_do_not_hide_silence(self):
        """Guards against a lost interval when a failure falls into it."""
        self.judge.receive(load(unanswered=4, openings=6, finished=2))
        self.assertIs(SILENT, self.judge.verdict())

    def test_recovery_is_found_in_one_interval(self):
        """Guards against an upstream that stays avoided after its return."""
        self.judge.receive(load(unanswered=2), times=5)
        (change,) = self.judge.receive(load(openings=1, finished=1))
        self.assertEqual((SILENT, HEALTHY), (change.before, change.after))
        self.assertFalse(self.judge.avoided())

    def test_upstream_with_long_requests(self):
        """Guards against lost packets that pass for silence, for lack of
        answers to requests, and against a silence that never ends.
        """
        self.judge.receive(load(unanswered=1, openings=9), times=9)
        self.assertIs(HEALTHY, self.judge.verdict())
        self.judge.receive(load(unanswered=9), times=9)
        self.assertIs(SILENT, self.judge.verdict())
        self.judge.receive(load(openings=2), times=2)
        self.assertIs(HEALTHY, self.judge.verdict())

    def test_trials_whose_silence_counts_later_end_no_silence(self):
        """Guards against a dead upstream that counts as back every 10 s, since
        openings at the end of an interval are unanswered in the next one.
        """
        self.judge.receive(load(unanswered=2))
        for openings in (1, 1, 2, 1, 2, 1):
            self.assertFalse(self.judge.receive(load(openings=openings)))
            self.assertFalse(
                self.judge.receive(load(openings=0, unanswered=1))
            )

    def test_upstream_that_fails_in_part_is_avoided_while_others_have_room(
        self,
    ):
        """Guards against half of the openings that wait for a repeat."""
        loads = load(unanswered=2, openings=5, finished=7)
        self.judge.receive(loads, times=6)
        self.assertIs(PARTIAL, self.judge.verdict())
        self.assertEqual({'desk-1'}, self.judge.avoided(demand=0.4))
        self.assertFalse(self.judge.avoided(demand=0.7))
        self.assertFalse(self.judge.avoided(demand=None))

    def test_upstream_that_fails_in_part_is_measured(self):
        """Guards against a capacity and a load that stand still for as long
        as it fails, while all hosts use it.
        """
        loads = load(unanswered=4, openings=10, finished=6)
        self.judge.receive(loads, times=10)
        self.assertIs(PARTIAL, self.judge.verdict())
        self.assertTrue(self.judge.evidence.is_measurable('desk-1'))

    def test_ban_of_a_flapping_upstream_grows(self):
        """Guards against flows that are lost each time it falls silent."""
        bans = []
        for _ in range(4):
            self.judge.receive(load(unanswered=2), times=5)
            (change,) = self.judge.receive(load(finished=7))
            bans.append(change.ban / builders.SECOND)
            self.judge.receive(load(finished=7), times=5)
        self.assertEqual([0.0, 1.0, 2.0, 4.0], bans)
        self.assertIs(FLAPPING, self.judge.verdict())
        self.assertEqual({'desk-1'}, self.judge.avoided(demand=0.4))

    def test_ban_is_bounded_and_ends(self):
        """Guards against a ban that outlives the failure."""
        self.flap(12)
        self.judge.receive(load(finished=7), times=5 * 16)
        self.assertIs(HEALTHY, self.judge.verdict())
        self.judge.receive(load(finished=7), times=5 * 11)
        self.judge.receive(load(unanswered=2))
        (change,) = self.judge.receive(load(finished=7))
        self.assertFalse(change.ban)

    def test_flapping_upstream_is_used_where_others_have_no_room(self):
        """Guards against bans that overload the other upstreams."""
        self.flap(3)
        self.assertFalse(self.judge.avoided(demand=0.7))

    def test_old_evidence_is_forgotten(self):
        """Guards against a verdict that nothing can correct any more."""
        self.judge.receive(load(unanswered=2))
        self.judge.receive(load('desk-2', finished=7), times=10)
        self.assertIs(SILENT, self.judge.verdict())
        self.judge.receive(load('desk-2', finished=7), times=10)
        self.assertIs(HEALTHY, self.judge.verdict())

    def test_old_evidence_is_no_recovery(self):
        """Guards against suspicions that end, and bans that grow, although
        the upstream has never answered.
        """
        self.judge.receive(load(unanswered=2))
        (change,) = self.judge.receive(times=20)
        self.assertFalse(change.answered)
        self.judge.receive(load(unanswered=2))
        (change,) = self.judge.receive(load(finished=7))
        self.assertTrue(change.answered)
        self.assertFalse(change.ban)

    def test_old_evidence_of_the_own_data_centre_is_forgotten(self):
        """Guards against a lost path that nobody here tries any more."""
        remote_loads = [load(finished=9)]
        self.judge.receive(load(unanswered=2), remote_loads=remote_loads)
        self.assertIs(SILENT, self.judge.verdict())
        (change,) = self.judge.receive(remote_loads=remote_loads, times=20)
        self.assertIs(HEALTHY, change.after)
        self.assertFalse(change.answered)

    def test_repeated_sum_counts_once(self):
        """Guards against a lost opening that counts in several intervals."""
        self.judge.receive(load(unanswered=1))
        self.judge.serial -= 1
        self.judge.receive(load(unanswered=1))
        self.assertIs(HEALTHY, self.judge.verdict())

    def test_path_that_only_one_data_centre_has_lost(self):
        """Guards against answers elsewhere that hide a lost path."""
        self.judge.receive(
            load(unanswered=2), remote_loads=[load(finished=9)], times=2
        )
        self.assertIs(SILENT, self.judge.verdict())

    def test_loss_of_a_remote_data_centre_is_its_own(self):
        """Guards against a path elsewhere that takes upstreams away here."""
        self.judge.receive(
            load(finished=9, openings=5),
            remote_loads=[load(unanswered=2)],
            times=5,
        )
        self.assertIs(HEALTHY, self.judge.verdict())


class FloorTest(unittest.TestCase):
    def test_half_of_a_service_silent(self):
        """Guards against a flood to the rest under mass failure."""
        judge = builders.Judge(10)
        judge.receive(*(load(f'desk-{n}', unanswered=2) for n in range(5)))
        self.assertEqual({'desk-0', 'desk-1', 'desk-2'}, judge.avoided())

    def test_all_upstreams_silent(self):
        """Guards against a service to which nothing is sent."""
        for upstreams, avoided in ((1, 0), (2, 1), (5, 1), (75, 22)):
            judge = builders.Judge(upstreams)
            judge.receive(
                *(load(f'desk-{n}', unanswered=2) for n in range(upstreams))
            )
            self.assertEqual(avoided, len(judge.avoided()))

    def test_silent_upstreams_come_before_those_that_flap(self):
        """Guards against a floor that is used up by those that answer."""
        judge = builders.Judge(2)
        for _ in range(3):
            judge.receive(load('desk-0', unanswered=2), times=5)
            judge.receive(load('desk-0', finished=7), times=2)
        judge.receive(load('desk-1', unanswered=2), load('desk-0', finished=7))
        self.assertEqual({'desk-1'}, judge.avoided(demand=0.1))

    def test_trials_stay_few_under_mass_failure(self):
        """Guards against tests that delay most flows of a service."""
        judge = builders.Judge(75)
        loads = [load(f'desk-{n}', unanswered=4) for n in range(75)]
        judge.receive(*loads)
        avoided = judge.avoided()
        for openings in (0, 10, 1000):
            share = judge.evidence.trial_share(avoided, openings)
            self.assertLessEqual(share, 0.1)
        # Alone, an upstream gets its tests from all hosts together.
        share = judge.evidence.trial_share({'desk-1'}, 1000)
        self.assertAlmostEqual(1.5, 1000 * share)

    def test_odd_sums_keep_to_the_floor(self):
        """Guards against numbers that nobody can have counted."""
        random_source = random.Random(1)
        judge = builders.Judge(9)
        for _ in range(200):
            judge.receive(
                *(
                    load(
                        f'desk-{random_source.randrange(12)}',
                        random_source.choice((0, 1, 1 << 31)),
                        random_source.choice((0, 1, 1 << 31)),
                        random_source.choice((0, 1, 1 << 31)),
                    )
                    for _ in range(9)
                )
            )
            for demand in (None, 0.0, 0.5, 99.0):
                self.assertLessEqual(len(judge.avoided(demand)), 4)

    def test_upstreams_that_are_gone_are_forgotten(self):
        """Guards against records that grow without bound."""
        judge = builders.Judge()
        for number in range(6000):
            judge.receive(load(f'old-{number}', unanswered=2))
        self.assertLess(len(judge.evidence.verdicts_by_id), 20)


if __name__ == '__main__':
    unittest.main()
