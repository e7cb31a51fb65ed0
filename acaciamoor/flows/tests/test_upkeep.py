"""Hand-over, retention of views and the byte budget."""

import unittest

from acaciamoor import flows
from acaciamoor import views
from acaciamoor import wire
from acaciamoor.flows.tests import builders

OPEN = wire.EnvelopeKind.OPEN
FIRST = builders.view(1)
ADDED = builders.view(2, upstreams=8)


class UpkeepTest(unittest.TestCase):
    def setUp(self):
        self.team = builders.Team('abcd')
        self.team.apply(FIRST)

    def change(self, count):
        """Put a second view in force and open flows that it moves."""
        self.team.apply(ADDED, builders.seconds(3))
        found, flow = [], 0
        while len(found) < count:
            flow = builders.moved_flow(FIRST, ADDED, flow + 1)
            found.append(flow)
            self.team.route('a', flow, OPEN)
        return found

    def retained(self, name):
        return len(self.team.routers[name].retained_views())

    def records(self):
        return [
            message
            for message in self.team.sent
            if isinstance(message, flows.PutRecords)
        ]

    def test_idle_records_are_handed_to_a_new_owner(self):
        """Guards against a record that only packets would copy."""
        moved = self.change(20)
        del self.team.routers['d']
        self.team.learn('abc')
        self.team.wait(5)
        for flow in moved:
            for name in self.team.owners(flow, 'abc'):
                router = self.team.routers[name]
                index = router._flows_by_service[1].records.get(flow, 0)
                self.assertIsNotNone(index)
        self.assertFalse(self.team.routers['a'].handing_over)

    def test_joining_host_receives_its_records(self):
        """Guards against a new owner that misses idle flows."""
        moved = self.change(20)
        self.team.add('e')
        self.team.apply(FIRST, by='e')
        self.team.apply(ADDED, builders.seconds(3), by='e')
        self.team.learn('abcde')
        self.team.wait(5)
        owned = sum('e' in self.team.owners(flow, 'abcde') for flow in moved)
        self.assertEqual(owned, self.team.routers['e'].recorded_flows)

    def test_hand_over_keeps_to_the_byte_budget(self):
        """Guards against a burst of control traffic on a member change."""
        self.team = builders.Team('abc', flows.RouterSettings(400))
        self.team.apply(FIRST)
        self.change(120)
        self.team.add('d')
        self.team.apply(ADDED, by='d')
        self.team.learn('abcd')
        for name in 'abc':
            router = self.team.routers[name]
            sent = 0
            for step in range(1, 11):
                self.team.clock.advance(builders.seconds(1))
                sent += sum(
                    item.encoded_bytes
                    for item in router.tick()
                    if isinstance(item, flows.PutRecords)
                )
                # One message may exceed what is left of the budget.
                self.assertLessEqual(sent, 400 * step + 400)

    def test_refreshed_record_is_not_taken_for_a_pinned_one(self):
        """Guards against spreading a record at a join as if every host had
        it, after which its view is dropped too early (found by fuzzing).
        """
        moved = self.change(40)
        self.team.add('e')
        self.team.apply(FIRST, by='e')
        self.team.apply(ADDED, builders.seconds(3), by='e')
        self.team.learn('abcde')
        self.team.clock.advance(builders.seconds(2))
        for router in self.team.routers.values():
            router.receive_needs('x', flows.ViewNeeds(()))
        for flow in moved:
            self.team.route('a', flow)
        self.team.wait(5)
        self.assertFalse([item for item in self.records() if item.pinned])

    def test_pinned_record_outlives_an_idle_hour(self):
        """Guards against an expiry that only some hosts notice."""
        flow = builders.moved_flow(FIRST, ADDED)
        before, _ = self.team.route('a', flow, OPEN)
        self.team.routers['a'].receive_records(
            flows.PutRecords('a', 1, before, (flow,), pinned=True)
        )
        self.team.apply(ADDED, builders.seconds(3))
        self.team.wait(23.5 * 3600, step=1800)
        for _ in range(60):
            self.assertEqual(before, self.team.route('a', flow)[0])
            self.team.wait(1800, step=1800)

    def test_known_record_wins_over_one_handed_over(self):
        """Guards against a late hand-over that moves an open flow."""
        (flow,) = self.change(1)
        upstream, _ = self.team.route('a', flow)
        name = self.team.owners(flow)[0]
        self.team.routers[name].receive_records(
            flows.PutRecords(name, 1, 'desk-1', (flow,))
        )
        self.assertEqual(upstream, self.team.route(name, flow)[0])

    def test_view_is_kept_while_an_owner_needs_it(self):
        """Guards against dropping the view that shows an open flow."""
        flow = builders.moved_flow(FIRST, ADDED)
        before, _ = self.team.route('a', flow, OPEN)
        self.team.apply(ADDED, builders.seconds(3))
        for _ in range(20):
            for name in 'abcd':
                self.assertEqual(before, self.team.route(name, flow)[0])
                self.assertEqual(2, self.retained(name))
            self.team.wait(10)
        self.team.wait(200)
        self.assertEqual(1, self.retained('a'))

    def test_view_is_kept_while_a_live_host_is_silent(self):
        """Guards against taking silence for agreement."""
        self.change(0)
        self.team.muted = {'d'}
        self.team.wait(120)
        self.assertEqual([2, 2, 2], [self.retained(name) for name in 'abc'])
        del self.team.routers['d']
        self.team.learn('abc')
        self.team.wait(10)
        self.assertEqual([1, 1, 1], [self.retained(name) for name in 'abc'])

    def test_flow_opened_after_a_drop_is_not_resolved_by_the_old_view(self):
        """Guards against hosts that drop a view at different times."""
        self.change(0)
        self.team.muted = {'a'}
        self.team.wait(120)
        self.assertEqual([1, 2], [self.retained('a'), self.retained('b')])
        flow = builders.flow_where(
            lambda flow: (
                builders.default(FIRST, flow) != builders.default(ADDED, flow)
                and 'a' not in self.team.owners(flow)
            )
        )
        upstream, path = self.team.route('a', flow, OPEN)
        self.assertEqual(['a'], path)
        for name in 'bcd':
            self.assertEqual(upstream, self.team.route(name, flow)[0])

    def test_views_over_the_limit_are_dropped_without_breaking_flows(self):
        """Guards against unbounded views, and against dropping the view that
        a long flow needs without telling the other hosts.
        """
        flow = builders.moved_flow(FIRST, ADDED)
        before, _ = self.team.route('a', flow, OPEN)
        self.team.apply(ADDED, builders.ZERO)
        for version in range(3, 60):
            self.team.wait(4)
            self.team.apply(
                builders.view(version, upstreams=8, draining={version % 8}),
                builders.ZERO,
            )
            for name in 'abcd':
                self.assertEqual(before, self.team.route(name, flow)[0])
        self.team.wait(15)
        for name in 'abcd':
            self.assertLessEqual(self.retained(name), views.VIEW_LIMIT + 1)
            self.assertEqual(before, self.team.route(name, flow)[0])

    def test_unused_views_over_the_limit_are_merged(self):
        """Guards against a flapping health check that fills the memory."""
        for health in range(1, 100):
            self.team.apply(builders.view(1, health=health), builders.ZERO)
        self.team.wait(20)
        self.assertLessEqual(self.retained('a'), views.VIEW_LIMIT)
