"""Placement of new flows by the load that all hosts share."""

import collections
import datetime
import math
import random
import sys
import unittest

from acaciamoor import directory
from acaciamoor import load_reports
from acaciamoor import openings
from acaciamoor.directory.tests import builders

SECOND = datetime.timedelta(seconds=1)
IDEMPOTENT = directory.RequestKind.IDEMPOTENT


class Site:
    """Host with a picture of the load of upstreams with two slots."""

    def __init__(self, entries, seed=1):
        self.entries = entries
        self.picture = load_reports.LoadPicture('kgn-a')
        self.now = SECOND
        self.changes = []
        self.load_tracker = openings.LoadTracker()
        self.failure_detector = openings.FailureDetector()
        self.placer = openings.OpeningPlacer(
            'kgn-a',
            self.load_tracker,
            openings.DemandTracker(),
            self.failure_detector,
            random.Random(seed),
            picture=self.picture,
            handle_change=lambda *change: self.changes.append(change),
        )

    def report(self, loads, times=20, remote_loads=()):
        """Record the same loads again and again, every 0.2 s."""
        self.loads = loads, remote_loads
        for _ in range(times):
            self.now += 0.2 * SECOND
            for data_centre, found in zip(
                ('kgn-b', 'kgn-a'), (remote_loads, loads), strict=True
            ):
                summary = load_reports.LoadSummary(
                    data_centre,
                    f'{data_centre}-1',
                    1,
                    self.now // (SECOND / 10),
                    75,
                    0.1,
                    0.2,
                    list(found),
                )
                self.picture.record(summary, self.now)
            self.placer.update_load(self.entries, self.now)

    def count(self, number=400, tried=(), max_flows=0, reports=True):
        """Return how often each upstream is chosen, a flow in each interval.

        Without `reports` all flows are opened since the last summary.
        """
        chosen = collections.Counter()
        for _ in range(number):
            if reports:
                self.report(self.loads[0], 1, self.loads[1])
            entry = self.placer.choose(
                self.entries, IDEMPOTENT, tried, self.now, max_flows
            )
            chosen[entry and entry.upstream_id] += 1
        return chosen


def load(upstream_id, in_progress=1, finished=6, busy_seconds=0.2, flows=4):
    """Return the load of an upstream in 0.2 s."""
    return load_reports.UpstreamLoad(
        upstream_id,
        in_progress,
        flows,
        finished,
        finished,
        busy_seconds,
    )


def add(averages, key, value, now):
    """Add a value to an average over two seconds."""
    before, at = averages.get(key, (value, now))
    kept = math.exp(-((now - at) / (2 * SECOND)))
    averages[key] = before * kept + value * (1 - kept), now


class SharedLoadTest(unittest.TestCase):
    def setUp(self):
        self.entries = [builders.upstream_entry(f'desk-{n}') for n in range(4)]
        self.site = Site(self.entries)

    def report_all(self, *others, idle=()):
        named = {item.upstream_id for item in others} | set(idle)
        self.site.report(
            [
                *others,
                *(
                    load(entry.upstream_id)
                    for entry in self.entries
                    if entry.upstream_id not in named
                ),
            ]
        )

    def test_hosts_do_not_all_choose_the_same_upstream(self):
        """Guards against a herd that fills the least loaded upstream."""
        chosen = collections.Counter()
        for seed in range(300):
            site = Site(self.entries, seed)
            # Equal rates, and no request in progress at the first one.
            loads = [load(f'desk-{n}') for n in range(1, 4)]
            site.report([load('desk-0', 0, 6, 0.4), *loads], 5)
            chosen.update(site.count(1))
        # Two candidates of four: the best one gets half at most.
        self.assertLess(chosen['desk-0'], 180)

    def test_slow_upstream_gets_next_to_nothing(self):
        """Guards against late answers beside upstreams with room."""
        self.report_all(load('desk-0', 1, 1, 0.2))
        self.assertLess(self.site.count()['desk-0'], 8)

    def test_upstream_without_work_gets_its_share(self):
        """Guards against an upstream that stays idle as nobody knows it."""
        self.report_all(idle=['desk-0'])
        self.assertGreater(self.site.count(200)['desk-0'], 50)

    def test_change_of_speed_is_noted_once(self):
        """Guards against an operator who is not told, or told each time."""
        self.report_all()
        self.report_all(load('desk-0', 2, 1, 0.3))
        changes = list(self.site.changes)
        self.assertEqual({'desk-0'}, {item[0] for item in changes})
        self.report_all(load('desk-0', 2, 1, 0.3))
        self.assertEqual(changes, self.site.changes)

    def record(self, data_centre, serial, *loads, interval=0.2):
        """Record a summary and take it in."""
        self.site.picture.record(
            load_reports.LoadSummary(
                data_centre, 'h-1', 1, serial, 75, 0.1, interval, list(loads)
            ),
            self.site.now,
        )
        self.site.placer.update_load(self.entries, self.site.now)

    def knows(self):
        """Return whether eight answers of desk-0 have counted."""
        estimator = self.site.placer.estimator
        return estimator.estimate('desk-0', self.site.now).known

    def test_summary_counts_once(self):
        """Guards against samples that are taken from a picture twice.

        A sum of another data centre arrives late, and the next own one at the
        same time as the one after it.
        """
        self.record('kgn-a', 1, load('desk-0', 0, 5, 0.01))
        self.site.now += 0.19 * SECOND
        self.record('kgn-b', 1)
        self.assertFalse(self.knows())
        self.record('kgn-a', 2)
        self.record('kgn-a', 3, load('desk-0', 0, 5, 0.01))
        self.assertFalse(self.knows())
        self.site.now += 0.19 * SECOND
        self.record('kgn-b', 2)
        self.assertTrue(self.knows())

    def test_averages_equal_those_of_single_steps(self):
        """Guards against averages that depend on how they are computed.

        The reference follows each upstream and data centre alone. An entry
        is gone for some time, so that its average has an earlier time.
        """
        source = random.Random(4)
        levels, demands = {}, {}
        for serial in range(1, 60):
            self.site.now += source.choice((0.2, 0.35)) * SECOND
            now = self.site.now
            self.entries[3:] = [builders.upstream_entry('desk-3')][
                : not 20 < serial < 30
            ]
            for name in ('kgn-b', 'kgn-a'):
                loads = [
                    load(f'desk-{n}', source.randrange(5), source.randrange(9))
                    for n in range(4)
                ]
                self.record(name, serial, *loads)
                seen = [item.started for item in loads[: len(self.entries)]]
                add(demands, name, sum(seen) / 0.2, now)
            for entry in self.entries:
                total = self.site.picture.load_of(entry.upstream_id, now)
                add(levels, entry.upstream_id, total.in_progress, now)
        shared = self.site.placer._shared
        for upstream_id, (value, _) in levels.items():
            self.assertAlmostEqual(
                value, shared._averages.levels_by_id[upstream_id].value
            )
        for name, (value, _) in demands.items():
            found = shared._averages.demands_by_key[builders.SERVICE, name]
            self.assertAlmostEqual(value, found.value)

    def test_changed_entry_is_used_at_once(self):
        """Guards against flows to the address that an upstream had before.

        Its entry changes between two summaries.
        """
        self.report_all()
        self.site.count(1, reports=False)
        changed = [
            builders.upstream_entry(f'desk-{n}', 2, port=9090)
            for n in range(4)
        ]
        for candidates in (changed, changed[:2]):
            entry = self.site.placer.choose(
                candidates, IDEMPOTENT, (), self.site.now
            )
            self.assertEqual(9090, entry.upstream.address.port)

    def test_upstream_without_slots_is_no_fault(self):
        """Guards against a division by the slots of an entry."""
        self.entries[0] = builders.upstream_entry('desk-0', slots=0)
        self.report_all()
        self.assertNotIn(None, self.site.count(20))

    def test_services_without_upstreams_are_forgotten(self):
        """Guards against memory that grows with the services of the past."""
        references = sys.getrefcount(self.entries[0])
        self.report_all()
        self.site.count(1, reports=False)
        self.assertGreater(sys.getrefcount(self.entries[0]), references)
        self.site.entries = [
            builders.upstream_entry('board-0', service='order-board')
        ]
        self.site.report([load('board-0')], 1)
        self.assertEqual(references, sys.getrefcount(self.entries[0]))

    def test_suspected_and_tried_upstreams_rank_last(self):
        """Guards against a second attempt at a silent upstream."""
        self.report_all()
        site = self.site
        site.failure_detector.record_timeout('desk-0', site.now)
        chosen = site.count(100, tried=['desk-1'], reports=False)
        self.assertEqual({'desk-2', 'desk-3'}, chosen.keys())
        tried = [f'desk-{n}' for n in range(4)]
        self.assertNotIn(None, site.count(10, tried, reports=False))

    def test_no_flow_beyond_the_limit_of_the_service(self):
        """Guards against more open flows than an upstream holds."""
        self.report_all(load('desk-0', flows=50), load('desk-1', flows=40))
        chosen = self.site.count(110, max_flows=50, reports=False)
        self.assertNotIn('desk-0', chosen)
        self.assertEqual(10, chosen['desk-1'])
        self.assertEqual(
            {None: 5}, self.site.count(5, max_flows=1, reports=False)
        )

    def test_limit_of_flows_without_a_picture(self):
        """Guards against a limit that holds only while hosts report."""
        self.site.placer.local_hosts = 10
        for _ in range(5):
            self.site.load_tracker.begin_flow('desk-0')
        self.assertNotIn('desk-0', self.site.count(100, (), 50, False))
        self.assertIn('desk-0', self.site.count(100, (), 51, False))

    def test_choice_is_as_before_when_the_picture_is_old(self):
        """Guards against decisions on evidence that is out of date."""
        self.report_all(load('desk-0', 9, 1, 0.2))
        self.site.now += 2 * SECOND
        alone = Site(self.entries)
        alone.now = self.site.now
        self.site.placer._random.seed(5)
        alone.placer._random.seed(5)
        self.assertEqual(
            alone.count(100, reports=False),
            self.site.count(100, reports=False),
        )

    def test_excess_demand_goes_to_other_data_centres(self):
        """Guards against a full data centre beside an idle one."""
        remote = [
            builders.upstream_entry(f'far-{n}', data_centre='kgn-b')
            for n in range(4)
        ]
        self.site.entries = [*self.entries, *remote]
        far = [load(f'far-{n}') for n in range(4)]
        self.site.report([load(f'desk-{n}') for n in range(4)], 10, far)
        chosen = self.site.count(400)
        self.assertLess(sum(chosen[item.upstream_id] for item in remote), 20)
        full = [load(f'desk-{n}', 2, 12, 0.4) for n in range(4)]
        self.site.report(full, 20, far)
        chosen = self.site.count(400)
        # Demand is 0.8 of the local capacity and 0.65 of both, so that 0.65
        # of the local capacity is used and a share of 0.18 goes elsewhere.
        spilled = sum(chosen[item.upstream_id] for item in remote) / 400
        self.assertAlmostEqual(0.18, spilled, delta=0.06)


if __name__ == '__main__':
    unittest.main()
