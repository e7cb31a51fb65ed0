"""Placement of new flows, without sockets or timers."""

import collections
import datetime
import random
import unittest

from acaciamoor import directory
from acaciamoor import load_reports
from acaciamoor import openings
from acaciamoor.directory.tests import builders

SECOND = builders.SECOND
MS = datetime.timedelta(milliseconds=1)
IDEMPOTENT = directory.RequestKind.IDEMPOTENT
UPLOAD = directory.RequestKind.UPLOAD


class Placement:
    """Placer with its load tracker and failure detector."""

    def __init__(self, seed: int = 1) -> None:
        self.load_tracker = openings.LoadTracker()
        self.failure_detector = openings.FailureDetector()
        self.placer = openings.OpeningPlacer(
            'kgn-a',
            self.load_tracker,
            openings.DemandTracker(),
            self.failure_detector,
            random.Random(seed),
        )

    def choose(self, candidates, kind=IDEMPOTENT, tried=(), now=0 * SECOND):
        """Return the identifier of the chosen upstream."""
        return self.placer.choose(candidates, kind, tried, now).upstream_id


class PlacerTest(unittest.TestCase):
    def setUp(self):
        self.placement = Placement()
        self.local = [builders.upstream_entry(f'local-{n}') for n in range(2)]
        self.remote = [
            builders.upstream_entry(f'remote-{n}', data_centre='kgn-b')
            for n in range(2)
        ]

    def test_flows_are_spread_evenly(self):
        """Guards against one upstream that queues while others are idle.

        Long flows last for a minute, so that a bad choice has a lasting
        effect. A random placement of 40 flows loads the busiest of four
        upstreams well above its share.
        """
        candidates = [builders.upstream_entry(f'desk-{n}') for n in range(4)]
        chosen = collections.Counter()
        for number in range(40):
            now = number * 10 * MS
            upstream_id = self.placement.choose(candidates, now=now)
            chosen[upstream_id] += 1
            self.placement.load_tracker.begin_request(upstream_id, now)
        self.assertEqual({10}, set(chosen.values()))

    def test_local_data_centre_is_preferred(self):
        """Guards against billed traffic while local upstreams are idle."""
        chosen = {
            self.placement.choose([*self.remote, *self.local])
            for _ in range(20)
        }
        self.assertEqual({'local-0', 'local-1'}, chosen)

    def test_load_peak_spills_over_to_other_data_centres(self):
        """Guards against overload while remote upstreams are idle."""
        for upstream in self.local:
            for _ in range(6):
                self.placement.load_tracker.begin_request(
                    upstream.upstream_id, 0 * SECOND
                )
        chosen = self.placement.choose([*self.remote, *self.local])
        self.assertIn(chosen, {'remote-0', 'remote-1'})

    def test_uploads_stay_local_under_higher_load(self):
        """Guards against sending 40 KB bodies to another data centre."""
        for upstream in self.local:
            for _ in range(4):
                self.placement.load_tracker.begin_request(
                    upstream.upstream_id, 0 * SECOND
                )
        candidates = [*self.remote, *self.local]
        self.assertIn(
            self.placement.choose(candidates, UPLOAD), {'local-0', 'local-1'}
        )

    def test_retransmission_goes_to_another_upstream(self):
        """Guards against two attempts at the same dead upstream."""
        self.assertEqual(
            'local-1', self.placement.choose(self.local, tried=['local-0'])
        )

    def test_only_candidate_is_chosen_although_suspected(self):
        """Guards against refusing flows on a mere suspicion."""
        self.placement.failure_detector.record_timeout('local-0', 0 * SECOND)
        chosen = self.placement.choose(self.local[:1], tried=['local-0'])
        self.assertEqual('local-0', chosen)

    def test_remote_upstream_is_preferred_over_suspected_ones(self):
        """Guards against preferring local upstreams that are dead."""
        for upstream in self.local:
            self.placement.failure_detector.record_timeout(
                upstream.upstream_id, 0 * SECOND
            )
        chosen = self.placement.choose([*self.remote, *self.local], UPLOAD)
        self.assertIn(chosen, {'remote-0', 'remote-1'})

    def test_warming_upstream_gets_fewer_flows(self):
        """Guards against queues at an upstream that has just started."""
        self.placement.placer.set_warm_up('local-0', 2 * SECOND, 0 * SECOND)
        chosen = collections.Counter(
            self.placement.choose(self.local) for _ in range(1000)
        )
        # Its capacity is 0.6 of that of the other one. Hundreds of hosts that
        # all avoided it would overload the other one.
        self.assertAlmostEqual(0.375, chosen['local-0'] / 1000, delta=0.05)
        for _ in range(1):
            self.placement.load_tracker.begin_request('local-1', 3 * SECOND)
        self.assertEqual(
            'local-0', self.placement.choose(self.local, now=3 * SECOND)
        )

    def test_flows_are_placed_in_proportion_to_capacity(self):
        """Guards against equal shares for upstreams of unequal capacity."""
        candidates = [
            builders.upstream_entry('small', slots=1),
            builders.upstream_entry('large', slots=3),
        ]
        chosen = collections.Counter()
        for _ in range(40):
            upstream_id = self.placement.choose(candidates)
            chosen[upstream_id] += 1
            self.placement.load_tracker.begin_request(upstream_id, 0 * SECOND)
        self.assertAlmostEqual(3.0, chosen['large'] / chosen['small'], delta=1)


class DemandTest(unittest.TestCase):
    """Demand of the callers of a data centre beyond its capacity."""

    HOSTS = 30
    # Requests a second that one host sees, and their duration in seconds.
    RATE = 10
    DURATION_S = 0.03

    def setUp(self):
        self.tracker = openings.DemandTracker()
        self.placer = openings.OpeningPlacer(
            'kgn-a',
            openings.LoadTracker(),
            self.tracker,
            openings.FailureDetector(),
            random.Random(1),
        )
        self.placer.local_hosts = self.HOSTS
        self.now = 0 * SECOND

    def play(self, seconds, duration_s=DURATION_S):
        """Let the callers of the host send requests."""
        for _ in range(seconds * self.RATE):
            self.now += SECOND / self.RATE
            self.tracker.begin_request('order-desk', self.now)
            self.tracker.add_answered('order-desk', duration_s * SECOND)

    def remote_share(self, local, remote, kind=IDEMPOTENT):
        """Return the share of new flows that leave the data centre."""
        candidates = [
            builders.upstream_entry(f'local-{n}') for n in range(local)
        ] + [
            builders.upstream_entry(f'remote-{n}', data_centre='kgn-b')
            for n in range(remote)
        ]
        chosen = [
            self.placer.choose(candidates, kind, (), self.now).upstream_id
            for _ in range(1000)
        ]
        return sum(name.startswith('remote') for name in chosen) / 1000

    def test_demand_below_the_capacity_stays_local(self):
        """Guards against billed traffic without need."""
        self.play(20)
        self.assertEqual(0.0, self.remote_share(10, 10))

    def test_demand_beyond_the_capacity_goes_elsewhere(self):
        """Guards against queues beside idle upstreams of other places.

        Nine slots are needed, and 0.6 of the ten local ones may be used.
        """
        self.play(20)
        share = self.remote_share(5, 10)
        self.assertAlmostEqual(1 - 0.6 * 10 / 9, share, delta=0.1)

    def test_share_elsewhere_is_bounded_by_the_capacity_there(self):
        """Guards against a data centre that overloads a small one."""
        self.play(20)
        self.assertLess(self.remote_share(3, 1), 0.3)

    def test_uploads_stay_longer(self):
        """Guards against sending 40 KB bodies to another data centre."""
        self.play(20)
        self.assertLess(
            self.remote_share(5, 10, UPLOAD), self.remote_share(5, 10)
        )

    def test_slow_requests_for_a_moment_are_no_demand(self):
        """Guards against flows that leave because a few requests hang."""
        self.play(20)
        self.play(1, duration_s=1.0)
        self.assertLess(self.tracker.estimate('order-desk', self.now), 0.5)

    def test_demand_ends_with_the_requests(self):
        """Guards against flows that go elsewhere long after a peak."""
        self.play(20)
        self.now += 10 * SECOND
        self.assertEqual(0.0, self.remote_share(5, 10))


class FailureDetectorTest(unittest.TestCase):
    def test_suspicion_time_doubles_up_to_its_maximum(self):
        """Guards against trying a dead upstream every second."""
        detector = openings.FailureDetector()
        detector.record_timeout('a', 0 * SECOND)
        self.assertFalse(detector.is_suspected('a', 1.6 * SECOND))
        detector.record_timeout('a', 2 * SECOND)
        self.assertTrue(detector.is_suspected('a', 4.9 * SECOND))
        detector.record_timeout('a', 6 * SECOND)
        detector.record_timeout('a', 20 * SECOND)
        self.assertFalse(detector.is_suspected('a', 26.1 * SECOND))

    def test_simultaneous_timeouts_count_once(self):
        """Guards against a long suspicion after a short network outage."""
        detector = openings.FailureDetector()
        for _ in range(10):
            detector.record_timeout('a', 0 * SECOND)
        self.assertFalse(detector.is_suspected('a', 1.6 * SECOND))

    def test_answer_clears_the_suspicion(self):
        """Guards against avoiding an upstream that has recovered."""
        detector = openings.FailureDetector()
        detector.record_timeout('a', 0 * SECOND)
        detector.record_answer('a')
        self.assertFalse(detector.is_suspected('a', 0.1 * SECOND))


class FlowTrackerTest(unittest.TestCase):
    KEY = (1, 2, 3, 4)

    def setUp(self):
        self.load_tracker = openings.LoadTracker()
        self.tracker = openings.FlowTracker(
            self.load_tracker, openings.DemandTracker()
        )

    def record_packet(self, sequence, acknowledged, length, at=0 * SECOND):
        """Record a packet of the flow."""
        self.tracker.record_packet(
            self.KEY, 'a', sequence, acknowledged, length, at
        )

    def load(self):
        """Return the estimated number of requests in progress."""
        return self.load_tracker.estimate('a', 0 * SECOND)

    def test_request_ends_with_its_answer(self):
        """Guards against a load estimate that never decreases."""
        self.record_packet(10, 500, 0)
        self.record_packet(10, 500, 300)
        self.assertGreater(self.load(), 0)
        self.record_packet(310, 2500, 0)
        self.assertEqual(0, self.load())

    def test_body_of_many_packets_counts_as_one_request(self):
        """Guards against counting an upload as one request per packet."""
        self.record_packet(10, 500, 0)
        for number in range(33):
            self.record_packet(10 + 1200 * number, 500, 1200)
        self.assertEqual(0.5, self.load())

    def test_retransmitted_packet_starts_no_request(self):
        """Guards against a load estimate that grows with packet loss."""
        self.record_packet(10, 500, 300)
        self.record_packet(310, 900, 0)
        self.record_packet(10, 900, 300)
        self.assertEqual(0, self.load())

    def test_sequence_numbers_wrap_around(self):
        """Guards against missing the requests of a flow after 4 GB."""
        self.record_packet(0xFFFFFF00, 500, 400)
        self.record_packet(0x90, 900, 300)
        self.assertGreater(self.load(), 0)

    def test_closed_flow_leaves_no_load(self):
        """Guards against an upstream that seems busy forever."""
        self.record_packet(10, 500, 300)
        self.tracker.record_end(self.KEY, 0 * SECOND)
        self.assertEqual(0, self.load())

    def test_last_acknowledgement_opens_no_flow(self):
        """Guards against reports of flows that have ended.

        A caller acknowledges the end of the other direction after its own.
        """
        self.record_packet(10, 500, 300)
        self.tracker.record_end(self.KEY, 0 * SECOND)
        self.record_packet(310, 900, 0, 0.1 * SECOND)
        self.assertEqual(0, len(self.tracker))
        self.record_packet(310, 900, 20, 0.2 * SECOND)
        self.assertEqual(1, len(self.tracker))

    def test_request_whose_caller_is_silent_is_not_reported(self):
        """Guards against an overload that is none.

        When hosts join or leave, flows go on through others, and a host does
        not see the answers of the requests that it forwarded.
        """
        collector = load_reports.LoadCollector('h-1', 'kgn-a', 1)
        self.tracker = openings.FlowTracker(
            self.load_tracker,
            openings.DemandTracker(),
            load_collector=collector,
        )
        self.record_packet(10, 500, 300)
        self.tracker.abandon_silent(0.9 * SECOND)
        (load,) = collector.take_report(0.9 * SECOND).upstreams
        self.assertEqual(1, load.in_progress)
        self.tracker.abandon_silent(1.1 * SECOND)
        (load,) = collector.take_report(1.1 * SECOND).upstreams
        self.assertEqual(0, load.in_progress)
        # It was slow after all; other requests keep their count.
        self.tracker.record_packet((9, 9, 9, 9), 'a', 1, 1, 9, 2 * SECOND)
        self.record_packet(310, 2500, 0, 2 * SECOND)
        (load,) = collector.take_report(2 * SECOND).upstreams
        self.assertEqual((1, 1), (load.in_progress, load.finished))

    def test_request_of_an_upload_that_goes_on_is_reported(self):
        """Guards against uploads that are taken for lost."""
        collector = load_reports.LoadCollector('h-1', 'kgn-a', 1)
        self.tracker = openings.FlowTracker(
            self.load_tracker,
            openings.DemandTracker(),
            load_collector=collector,
        )
        for number in range(30):
            self.record_packet(10 + number, 500, 1, 0.1 * number * SECOND)
            self.tracker.abandon_silent(0.1 * number * SECOND)
        (load,) = collector.take_report(3 * SECOND).upstreams
        self.assertEqual(1, load.in_progress)

    def test_idle_flow_is_removed(self):
        """Guards against keeping flows whose end passed another host."""
        self.record_packet(10, 500, 300)
        self.tracker.expire(16 * SECOND, 15 * SECOND)
        self.assertEqual(0, len(self.tracker))

    def test_flow_that_was_idle_for_longest_is_evicted(self):
        """Guards against losing busy flows that were opened early."""
        tracker = openings.FlowTracker(
            self.load_tracker, openings.DemandTracker(), limit=2
        )
        for step, name in enumerate(('a', 'b', 'a', 'c')):
            key = (ord(name), 1, 2, 3)
            upstream_id = f'desk-{name}'
            tracker.record_packet(
                key, upstream_id, 1, 1, step + 1, step * SECOND
            )
        now = 9 * SECOND
        self.assertGreater(self.load_tracker.estimate('desk-a', now), 0.5)
        self.assertLess(self.load_tracker.estimate('desk-b', now), 0.1)
        tracker.expire(now, 6.5 * SECOND)
        self.assertEqual(1, len(tracker))


class PendingOpeningsTest(unittest.TestCase):
    def test_number_of_openings_is_bounded(self):
        """Guards against memory exhaustion by a flood of openings."""
        pending = openings.PendingOpenings(limit=3)
        for number in range(5):
            pending.put(
                openings.Opening(
                    (number, 0, 0, 0), b'', 0 * SECOND, 'desk', ['a']
                )
            )
        self.assertEqual(3, len(pending))
        self.assertIsNone(pending.get((0, 0, 0, 0)))

    def test_unplaced_openings_are_counted_by_service(self):
        """Guards against a scan of all openings for each one that waits."""
        pending = openings.PendingOpenings(limit=4)
        added = [
            openings.Opening((number, 0, 0, 0), b'', 0 * SECOND, service)
            for number, service in enumerate(['desk', 'desk', 'board', 'desk'])
        ]
        for opening in (*added, added[0]):
            pending.put(opening)
        self.assertEqual(3, pending.count_unplaced('desk'))
        added[0].tried_ids.append('a')
        pending.put(added[0])
        # The choice of the service is made anew with other routes.
        added[2].service = 'desk'
        pending.pop(added[2].key)
        self.assertEqual(2, pending.count_unplaced('desk'))
        self.assertEqual(0, pending.count_unplaced('board'))
        for number in range(4, 8):
            pending.put(
                openings.Opening((number, 0, 0, 0), b'', 0 * SECOND, 'board')
            )
        self.assertEqual(0, pending.count_unplaced('desk'))
        self.assertEqual(4, len(pending.unplaced()))
        pending.clear()
        self.assertEqual(0, pending.count_unplaced('board'))


if __name__ == '__main__':
    unittest.main()
