"""Handover of records, retention of views and the byte budget."""

import unittest

from acaciamoor import flows
from acaciamoor import views
from acaciamoor import wire
from acaciamoor.flows.tests import builders

OPEN = wire.EnvelopeKind.OPEN
FIRST = builders.view(1)
ADDED = builders.view(2, upstreams=8)


class FlowMaintenanceTest(unittest.TestCase):
    def setUp(self):
        self.cluster = builders.RouterCluster('abcd')
        self.cluster.apply_view(FIRST)

    def open_remapped_flows(self, count):
        """Activate a second view and open `count` flows that it remaps."""
        self.cluster.apply_view(ADDED, builders.seconds(3))
        found, flow = [], 0
        while len(found) < count:
            flow = builders.moved_flow(FIRST, ADDED, flow + 1)
            found.append(flow)
            self.cluster.route('a', flow, OPEN)
        return found

    def retained_count(self, name):
        return len(self.cluster.routers[name].retained_views())

    def sent_records(self):
        return [
            message
            for message in self.cluster.sent
            if isinstance(message, flows.PutRecords)
        ]

    def test_idle_records_are_sent_to_a_new_owner(self):
        """Guards against copying records only when packets arrive."""
        moved = self.open_remapped_flows(20)
        del self.cluster.routers['d']
        self.cluster.set_members('abc')
        self.cluster.run_for(5)
        for flow in moved:
            for name in self.cluster.owners(flow, 'abc'):
                router = self.cluster.routers[name]
                index = router._flows_by_service[1].records.get(flow, 0)
                self.assertIsNotNone(index)
        self.assertFalse(self.cluster.routers['a'].handing_over)

    def test_joining_host_receives_its_records(self):
        """Guards against a new owner that misses idle flows."""
        moved = self.open_remapped_flows(20)
        self.cluster.add_host('e')
        self.cluster.apply_view(FIRST, by='e')
        self.cluster.apply_view(ADDED, builders.seconds(3), by='e')
        self.cluster.set_members('abcde')
        self.cluster.run_for(5)
        owned = sum(
            'e' in self.cluster.owners(flow, 'abcde') for flow in moved
        )
        self.assertEqual(owned, self.cluster.routers['e'].recorded_flows)

    def test_handover_stays_within_the_byte_budget(self):
        """Guards against a burst of control traffic on a member change."""
        self.cluster = builders.RouterCluster('abc', flows.RouterSettings(400))
        self.cluster.apply_view(FIRST)
        self.open_remapped_flows(120)
        self.cluster.add_host('d')
        self.cluster.apply_view(ADDED, by='d')
        self.cluster.set_members('abcd')
        for name in 'abc':
            router = self.cluster.routers[name]
            sent = 0
            for step in range(1, 11):
                self.cluster.clock.advance(builders.seconds(1))
                sent += sum(
                    item.encoded_bytes
                    for item in router.tick()
                    if isinstance(item, flows.PutRecords)
                )
                # One message may exceed what is left of the budget.
                self.assertLessEqual(sent, 400 * step + 400)

    def test_refreshed_record_is_not_treated_as_pinned(self):
        """Guards against sending a record as pinned when a host joins, after
        which its view would be dropped too early (found by fuzzing).
        """
        moved = self.open_remapped_flows(40)
        self.cluster.add_host('e')
        self.cluster.apply_view(FIRST, by='e')
        self.cluster.apply_view(ADDED, builders.seconds(3), by='e')
        self.cluster.set_members('abcde')
        self.cluster.clock.advance(builders.seconds(2))
        for router in self.cluster.routers.values():
            router.receive_needs('x', flows.ViewNeeds(()))
        for flow in moved:
            self.cluster.route('a', flow)
        self.cluster.run_for(5)
        self.assertFalse([item for item in self.sent_records() if item.pinned])

    def test_pinned_record_outlives_an_idle_hour(self):
        """Guards against a pinned record that expires on some hosts only."""
        flow = builders.moved_flow(FIRST, ADDED)
        before, _ = self.cluster.route('a', flow, OPEN)
        self.cluster.routers['a'].receive_records(
            flows.PutRecords('a', 1, before, (flow,), pinned=True)
        )
        self.cluster.apply_view(ADDED, builders.seconds(3))
        self.cluster.run_for(23.5 * 3600, step=1800)
        for _ in range(60):
            self.assertEqual(before, self.cluster.route('a', flow)[0])
            self.cluster.run_for(1800, step=1800)

    def test_existing_record_is_not_replaced_by_a_received_one(self):
        """Guards against a late handover that reroutes an open flow."""
        (flow,) = self.open_remapped_flows(1)
        upstream, _ = self.cluster.route('a', flow)
        name = self.cluster.owners(flow)[0]
        self.cluster.routers[name].receive_records(
            flows.PutRecords(name, 1, 'desk-1', (flow,))
        )
        self.assertEqual(upstream, self.cluster.route(name, flow)[0])

    def test_view_is_kept_while_an_owner_needs_it(self):
        """Guards against dropping a view that keeps a flow ambiguous."""
        flow = builders.moved_flow(FIRST, ADDED)
        before, _ = self.cluster.route('a', flow, OPEN)
        self.cluster.apply_view(ADDED, builders.seconds(3))
        for _ in range(20):
            for name in 'abcd':
                self.assertEqual(before, self.cluster.route(name, flow)[0])
                self.assertEqual(2, self.retained_count(name))
            self.cluster.run_for(10)
        self.cluster.run_for(200)
        self.assertEqual(1, self.retained_count('a'))

    def test_view_is_kept_while_a_live_host_is_silent(self):
        """Guards against treating a missing announcement as consent."""
        self.open_remapped_flows(0)
        self.cluster.muted = {'d'}
        self.cluster.run_for(120)
        self.assertEqual(
            [2, 2, 2], [self.retained_count(name) for name in 'abc']
        )
        del self.cluster.routers['d']
        self.cluster.set_members('abc')
        self.cluster.run_for(10)
        self.assertEqual(
            [1, 1, 1], [self.retained_count(name) for name in 'abc']
        )

    def test_flow_opened_after_a_drop_is_not_routed_by_the_old_view(self):
        """Guards against hosts that drop a view at different times."""
        self.open_remapped_flows(0)
        self.cluster.muted = {'a'}
        self.cluster.run_for(120)
        self.assertEqual(
            [1, 2], [self.retained_count('a'), self.retained_count('b')]
        )
        flow = builders.find_flow(
            lambda flow: (
                builders.default_upstream(FIRST, flow)
                != builders.default_upstream(ADDED, flow)
                and 'a' not in self.cluster.owners(flow)
            )
        )
        upstream, path = self.cluster.route('a', flow, OPEN)
        self.assertEqual(['a'], path)
        for name in 'bcd':
            self.assertEqual(upstream, self.cluster.route(name, flow)[0])

    def test_views_over_the_limit_are_dropped_without_breaking_flows(self):
        """Guards against unbounded views, and against dropping the view that
        a long flow needs without telling the other hosts.
        """
        flow = builders.moved_flow(FIRST, ADDED)
        before, _ = self.cluster.route('a', flow, OPEN)
        self.cluster.apply_view(ADDED, builders.ZERO)
        for version in range(3, 60):
            self.cluster.run_for(4)
            self.cluster.apply_view(
                builders.view(version, upstreams=8, draining={version % 8}),
                builders.ZERO,
            )
            for name in 'abcd':
                self.assertEqual(before, self.cluster.route(name, flow)[0])
        self.cluster.run_for(15)
        for name in 'abcd':
            self.assertLessEqual(
                self.retained_count(name), views.VIEW_LIMIT + 1
            )
            self.assertEqual(before, self.cluster.route(name, flow)[0])

    def test_inactive_views_over_the_limit_are_coalesced(self):
        """Guards against unbounded views from a flapping health check."""
        for health in range(1, 100):
            self.cluster.apply_view(
                builders.view(1, health=health), builders.ZERO
            )
        self.cluster.run_for(20)
        self.assertLessEqual(self.retained_count('a'), views.VIEW_LIMIT)
