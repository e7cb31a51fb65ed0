"""Placement of new flows by the evidence that hosts share."""

import collections
import unittest

from acaciamoor import load_reports
from acaciamoor.directory.tests import builders
from acaciamoor.openings.tests import test_shared_load

SECOND = test_shared_load.SECOND
load = test_shared_load.load


def silent(upstream_id, unanswered=2):
    """Return the load of an upstream that answers nothing."""
    return load_reports.UpstreamLoad(
        upstream_id, openings=unanswered, unanswered=unanswered
    )


class SharedEvidenceTest(unittest.TestCase):
    def setUp(self):
        self.entries = [builders.upstream_entry(f'desk-{n}') for n in range(4)]
        self.site = test_shared_load.Site(self.entries)
        self.site.report([load(f'desk-{n}') for n in range(4)])

    def silence(self, *numbers, times=5):
        """Let upstreams fall silent to the hosts together."""
        self.site.report(
            [
                silent(f'desk-{n}') if n in numbers else load(f'desk-{n}')
                for n in range(4)
            ],
            times,
        )

    def test_silent_upstream_is_avoided_by_a_host_that_never_tried_it(self):
        """Guards against hosts that each find out alone."""
        self.silence(1)
        chosen = self.site.count()
        # The rest are trials.
        self.assertLess(chosen['desk-1'], 60)
        self.assertGreater(chosen['desk-1'], 0)

    def test_recovery_ends_the_suspicions_of_all_hosts(self):
        """Guards against 1.5 s without an upstream that answers again."""
        self.silence(1)
        self.site.failure_detector.record_timeout('desk-1', self.site.now)
        self.site.report([load(f'desk-{n}') for n in range(4)], 1)
        self.assertFalse(
            self.site.failure_detector.is_suspected('desk-1', self.site.now)
        )
        self.assertGreater(self.site.count()['desk-1'], 60)

    def test_old_evidence_does_not_end_own_suspicions(self):
        """Guards against all hosts that return to a dead upstream at once."""
        self.silence(1)
        detector = self.site.failure_detector
        for _ in range(15):
            self.site.report([load(f'desk-{n}') for n in (0, 2, 3)], 1)
            detector.record_timeout('desk-1', self.site.now)
        self.site.report([load(f'desk-{n}') for n in (0, 2, 3)], 2)
        self.assertFalse(self.site.placer.find_verdicts(self.site.now))
        self.assertTrue(detector.is_suspected('desk-1', self.site.now))

    def test_evidence_about_unknown_upstreams_is_ignored(self):
        """Guards against made-up names that leave no room for others."""
        made_up = [silent(f'none-{number}') for number in range(4095)]
        self.site.report([*made_up, load('desk-1')], 2)
        self.site.report([*made_up, silent('desk-1')], 2)
        self.assertEqual(
            {'desk-1'}, set(self.site.placer.find_verdicts(self.site.now))
        )

    def test_own_suspicion_lasts_while_others_hear_the_upstream(self):
        """Guards against a lost path of this host alone."""
        self.site.report([load(f'desk-{n}') for n in range(4)], 5)
        self.site.failure_detector.record_timeout('desk-1', self.site.now)
        self.site.report([load(f'desk-{n}') for n in range(4)], 5)
        self.assertEqual(0, self.site.count(20, reports=False)['desk-1'])

    def test_old_picture_leaves_hosts_to_themselves(self):
        """Guards against evidence that nobody confirms any more."""
        self.silence(1)
        self.site.now += 2 * SECOND
        chosen = self.site.count(reports=False)
        self.assertGreater(chosen['desk-1'], 60)
        self.assertFalse(self.site.placer.find_verdicts(self.site.now))

    def test_repeated_opening_goes_to_an_upstream_that_did_not_fail(self):
        """Guards against a second silent upstream for the same opening."""
        self.silence(1, 2)
        self.site.report([load(f'desk-{n}') for n in range(4)], 1)
        chosen = self.site.count(tried=('desk-0',), reports=False)
        self.assertEqual({'desk-3': 400}, dict(chosen))
        # 9.8 s after the recovery at most.
        chosen = self.site.count(48, tried=('desk-0',))
        self.assertEqual({'desk-3': 48}, dict(chosen))

    def test_suspicion_of_one_host_counts_less_than_that_of_all(self):
        """Guards against flows to a dead upstream after one lost packet."""
        self.entries = self.site.entries = self.entries[:2]
        self.site.report([silent('desk-0'), load('desk-1')], 5)
        self.site.failure_detector.record_timeout('desk-1', self.site.now)
        chosen = self.site.count(reports=False)
        self.assertLess(chosen['desk-0'], 60)

    def test_silent_upstream_looks_no_idler_than_those_that_flapped(self):
        """Guards against most flows at a silent upstream beyond the floor."""
        chosen = collections.Counter()
        for seed in range(20):
            self.site = test_shared_load.Site(self.entries, seed)
            for _ in range(3):
                self.silence(2, 3)
                self.site.report([load(f'desk-{n}') for n in range(4)], 5)
            self.silence(0, 1)
            chosen.update(self.site.count(20))
        # One is avoided, and the other one counts like the rest.
        self.assertLess(chosen['desk-1'], 170)

    def test_something_is_sent_if_all_are_silent(self):
        """Guards against a service to which nothing is sent."""
        self.silence(0, 1, 2, 3)
        chosen = self.site.count()
        self.assertNotIn(None, chosen)
        for number in (0, 1):
            for entries in (self.entries[:1], self.entries[number:2]):
                self.site.entries = entries
                self.assertNotIn(None, self.site.count(20))

    def test_silence_is_not_taken_for_slowness(self):
        """Guards against an upstream that gets nothing after its return."""
        before = self.site.placer.estimator.estimate('desk-1', self.site.now)
        hanging = load_reports.UpstreamLoad(
            'desk-1', in_progress=6, open_flows=6, openings=3, unanswered=3
        )
        others = [load(f'desk-{n}') for n in (0, 2, 3)]
        self.site.report([hanging, *others], 15)
        self.site.report([load(f'desk-{n}') for n in range(4)], 1)
        after = self.site.placer.estimator.estimate('desk-1', self.site.now)
        self.assertGreater(after.rate, 0.8 * before.rate)

    def test_hosts_together_send_few_trials(self):
        """Guards against trials that each host sends for itself."""
        loads = [
            silent('desk-1', 4),
            *(
                load_reports.UpstreamLoad(
                    f'desk-{n}', 1, 4, 60, 60, 1.0, openings=200
                )
                for n in (0, 2, 3)
            ),
        ]
        chosen = collections.Counter()
        for seed in range(75):
            site = test_shared_load.Site(self.entries, seed)
            site.report(loads, 5)
            chosen.update(site.count(8, reports=False))
        # 600 openings in an interval, and 1.5 trials.
        self.assertLess(chosen['desk-1'], 8)


if __name__ == '__main__':
    unittest.main()
