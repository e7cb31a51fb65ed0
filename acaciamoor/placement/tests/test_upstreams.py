"""Tests of drain, removal, slow start, ejection, reports and shards."""

import collections
import unittest

from acaciamoor import hashing
from acaciamoor import placement
from acaciamoor.placement.tests import builders

MILLISECOND = builders.MILLISECOND
SECOND = builders.SECOND


def bound_by_upstream(driver, requests):
    """Submit requests and count those bound to each upstream."""
    bound = []
    for request in requests:
        bound += builders.binds(driver.submit(request))
    return collections.Counter(bind.upstream.upstream_id for bind in bound)


class DrainTest(unittest.TestCase):
    def test_draining_upstream_takes_nothing_new_and_finishes(self):
        """Guards against binding to a draining upstream and lost answers."""
        driver = builders.Driver()
        (bind,) = builders.binds(driver.submit(1, flow=5))
        pinned_id = bind.upstream.upstream_id
        driver.record(
            driver.placer.set_upstreams(builders.upstreams(2, [pinned_id]))
        )
        (moved,) = builders.binds(driver.submit(2, flow=5))
        self.assertNotEqual(pinned_id, moved.upstream.upstream_id)
        self.assertNotIn(pinned_id, bound_by_upstream(driver, range(10, 20)))
        self.assertEqual(1, len(builders.replies(driver.answer(bind))))

    def test_request_that_waits_for_a_draining_upstream_moves(self):
        """Guards against requests that wait for a draining upstream."""
        driver = builders.Driver()
        (first,) = builders.binds(driver.submit(1, flow=5))
        pinned_id = first.upstream.upstream_id
        for request in range(10, 13):
            driver.submit(request)
        driver.submit(2, flow=5)
        other = [
            bind
            for bind in builders.binds(driver.effects)
            if bind.upstream.upstream_id != pinned_id
        ]
        self.assertEqual([], builders.binds(driver.answer(other[0])))
        effects = driver.record(
            driver.placer.set_upstreams(builders.upstreams(2, [pinned_id]))
        )
        self.assertEqual(
            [2], [b.request_part.request for b in builders.binds(effects)]
        )

    def test_removed_upstream_may_still_answer(self):
        """Guards against losing requests bound to a removed upstream."""
        driver = builders.Driver()
        (bind,) = builders.binds(driver.submit(1))
        kept = [
            upstream
            for upstream in builders.upstreams(2)
            if upstream != bind.upstream
        ]
        driver.record(driver.placer.set_upstreams(kept))
        self.assertEqual(1, len(builders.replies(driver.answer(bind))))
        counts = bound_by_upstream(driver, range(10, 20))
        self.assertEqual({kept[0].upstream_id: 2}, dict(counts))


class SlowStartTest(unittest.TestCase):
    def test_new_upstream_reaches_its_share_slowly(self):
        """Guards against full load on an upstream with cold caches."""
        driver = builders.Driver()
        driver.record(driver.placer.set_upstreams(builders.upstreams(3)))
        self.assertEqual(1, bound_by_upstream(driver, range(10))['desk-3'])
        driver.advance(11 * SECOND)
        bound_by_upstream(driver, [20])
        total = [
            bind.upstream.upstream_id
            for bind in builders.binds(driver.effects)
        ]
        self.assertEqual(2, total.count('desk-3'))


class EjectionTest(unittest.TestCase):
    def time_out_requests(self, driver, rounds):
        """Let requests time out; return the `HealthChanged` effects."""
        driver.serve(1, 60)
        for request in range(100, 100 + rounds):
            driver.submit(request, timeout=200 * MILLISECOND)
            driver.advance(400 * MILLISECOND)
        return builders.of_type(driver.effects, placement.HealthChanged)

    def test_timeouts_eject_despite_successful_probes(self):
        """Guards against a health endpoint that wrongly reports health."""
        driver = builders.Driver(count=4)
        driver.probe('desk-1', healthy=True, times=3)
        changes = self.time_out_requests(driver, rounds=12)
        self.assertIn('desk-1', [item.upstream_id for item in changes])
        self.assertFalse(changes[0].healthy or changes[0].dead)

    def test_ejection_floor_keeps_upstreams_available(self):
        """Guards against ejecting so many that the others are overloaded."""
        driver = builders.Driver(count=4, ejection_floor=0.5)
        changes = self.time_out_requests(driver, rounds=20)
        self.assertEqual(2, len(changes))

    def test_failed_probes_eject_only_without_answers(self):
        """Guards against ejecting an upstream that answers requests."""
        driver = builders.Driver(count=4)
        driver.serve(1, 8)
        driver.probe('desk-1', healthy=False, times=4)
        self.assertEqual(
            [], builders.of_type(driver.effects, placement.HealthChanged)
        )
        driver.advance(2 * SECOND)
        bound = builders.binds(
            [
                effect
                for request in range(20, 28)
                for effect in driver.submit(request)
            ]
        )
        effects = driver.probe('desk-1', healthy=False)
        lost = builders.replies(effects)
        self.assertEqual(2, len(lost))
        (change,) = builders.of_type(effects, placement.HealthChanged)
        self.assertTrue(change.dead)
        at_dead = [b for b in bound if b.upstream.upstream_id == 'desk-1']
        self.assertEqual([], driver.answer(at_dead[0]))

    def test_successful_probes_readmit_with_a_slow_start(self):
        """Guards against a permanent ejection and a burst on readmission."""
        driver = builders.Driver(count=4)
        driver.probe('desk-1', healthy=False, times=3)
        driver.probe('desk-1', healthy=True, times=10)
        self.assertNotIn('desk-1', bound_by_upstream(driver, range(10)))
        effects = driver.probe('desk-1', healthy=True, times=25)
        (change,) = builders.of_type(effects, placement.HealthChanged)
        self.assertTrue(change.healthy)
        driver.submit(99)
        total = [
            bind.upstream.upstream_id
            for bind in builders.binds(driver.effects)
        ]
        self.assertEqual(1, total.count('desk-1'))

    def test_slow_upstream_is_ejected(self):
        """Guards against an upstream that slows down part of the requests."""
        driver = builders.Driver(count=4)
        for request in range(1, 400):
            (bind,) = builders.binds(driver.submit(request))
            slow = bind.upstream.upstream_id == 'desk-2'
            driver.advance((100 if slow else 10) * MILLISECOND)
            driver.answer(bind)
        changes = builders.of_type(driver.effects, placement.HealthChanged)
        self.assertEqual(
            ('desk-2', False, False),
            (changes[0].upstream_id, changes[0].healthy, changes[0].dead),
        )


class LoadReportTest(unittest.TestCase):
    def test_new_placer_learns_occupied_slots(self):
        """Guards against a takeover that overloads upstreams."""
        driver = builders.Driver(settled=False)
        driver.record(driver.placer.set_lease(holds=True))
        driver.advance(900 * MILLISECOND)
        driver.report('desk-1', running=2)
        driver.advance(100 * MILLISECOND)
        counts = bound_by_upstream(driver, range(10))
        self.assertEqual({'desk-2': 2}, dict(counts))
        driver.report('desk-1', running=0)
        self.assertEqual(
            2, len(builders.binds(driver.effects)) - counts['desk-2']
        )

    def test_report_of_permanent_full_load_does_not_block_an_upstream(self):
        """Guards against a load endpoint that reports too high a load."""
        driver = builders.Driver(count=1)
        for _ in range(30):
            driver.report('desk-1', running=2)
            driver.advance(100 * MILLISECOND)
        self.assertEqual([50], submit_four(driver, first=50))
        driver.advance(30 * SECOND)
        self.assertEqual([60, 61], submit_four(driver, first=60))

    def test_report_after_the_takeover_occupies_no_slots(self):
        """Guards against too high reports long after the takeover."""
        driver = builders.Driver(count=1)
        driver.advance(2 * SECOND)
        driver.report('desk-1', running=2)
        self.assertEqual([50, 51], submit_four(driver, first=50))

    def test_report_of_no_load_does_not_cause_overload(self):
        """Guards against a load endpoint that reports too low a load."""
        driver = builders.Driver(count=1)
        for request in range(5):
            driver.submit(request)
            driver.report('desk-1', running=0)
        self.assertEqual(2, len(builders.binds(driver.effects)))


def submit_four(driver, first):
    """Submit four requests; return the numbers of those bound at once."""
    effects = []
    for request in range(first, first + 4):
        effects += driver.submit(request, timeout=SECOND)
    return [bind.request_part.request for bind in builders.binds(effects)]


class ShardTest(unittest.TestCase):
    def test_shards_are_a_stable_partition_of_the_upstreams(self):
        """Guards against two placers that share an upstream's slots."""
        upstreams = builders.upstreams(200)
        shards = placement.shard_count(len(upstreams))
        self.assertEqual(4, shards)
        subsets = [
            placement.shard_upstreams(upstreams, shard, shards)
            for shard in range(shards)
        ]
        names = [item.upstream_id for subset in subsets for item in subset]
        self.assertEqual(200, len(set(names)))
        self.assertEqual(200, len(names))
        fewer = placement.shard_upstreams(upstreams[:190], 0, shards)
        self.assertLessEqual(set(fewer), set(subsets[0]))

    def test_flows_spread_over_the_shards(self):
        """Guards against an uneven load of the shards."""
        counts = collections.Counter(
            placement.shard_of_flow(hashing.hash64(f'{index}'), 4)
            for index in range(4000)
        )
        self.assertLess(max(counts.values()), 1.1 * 1000)
