"""Rules of finding a stream's upstream."""

import unittest

from acaciamoor import flows
from acaciamoor import wire
from acaciamoor.flows.tests import builders

OPEN = wire.EnvelopeKind.OPEN
DATA = wire.EnvelopeKind.DATA
CLOSE = wire.EnvelopeKind.CLOSE
FIRST = builders.view(1)
ADDED = builders.view(2, upstreams=8)
DRAINED = builders.view(2, draining={3})


class ExceptionTest(unittest.TestCase):
    """Four hosts, a view in force and a second one that moves a flow."""

    def setUp(self):
        self.team = builders.Team('abcd')
        self.team.apply(FIRST)
        self.flow = builders.moved_flow(FIRST, ADDED)
        self.owners = self.team.owners(self.flow)
        self.others = [
            name for name in self.team.routers if name not in self.owners
        ]

    def change(self):
        self.team.apply(ADDED, builders.seconds(3))

    def open_moved(self):
        self.change()
        return self.team.route(self.others[0], self.flow, OPEN)[0]

    def assert_everywhere(self, upstream, flow=None):
        for name in self.team.routers:
            flow = self.flow if flow is None else flow
            self.assertEqual(upstream, self.team.route(name, flow)[0], name)

    def test_agreed_flow_takes_no_hop_and_no_record(self):
        """Guards against state or messages for default flows."""
        self.change()
        flow = builders.flow_where(
            lambda flow: (
                builders.default(FIRST, flow) == builders.default(ADDED, flow)
            )
        )
        for kind in (OPEN, DATA, CLOSE):
            end, path = self.team.route('a', flow, kind)
            self.assertEqual(
                (builders.default(FIRST, flow), ['a']), (end, path)
            )
        self.assertEqual(0, self.team.routers['a'].recorded_flows)

    def test_record_stands_on_both_owners_before_the_upstream(self):
        """Guards against an upstream that knows a flow no owner remembers."""
        self.change()
        _, path = self.team.route(self.others[0], self.flow, OPEN)
        self.assertEqual([self.others[0], *self.owners], path)
        for name in self.owners:
            self.assertEqual(1, self.team.routers[name].recorded_flows)

    def test_flow_from_before_the_change_stays(self):
        """Guards against a hash that is remapped by a new upstream."""
        before, _ = self.team.route('a', self.flow, OPEN)
        self.change()
        self.assert_everywhere(before)
        for name in self.owners:
            self.assertEqual(1, self.team.routers[name].recorded_flows)

    def test_flow_from_after_the_change_stays(self):
        """Guards against resolving a recorded flow by the oldest view."""
        after = self.open_moved()
        self.assertEqual(builders.default(ADDED, self.flow), after)
        self.assert_everywhere(after)

    def test_pending_view_is_not_used_for_new_flows(self):
        """Guards against a flow that a host without the view misroutes."""
        self.team.apply(ADDED, builders.seconds(2.2), by=''.join(self.owners))
        upstream, _ = self.team.route(self.owners[0], self.flow, OPEN)
        self.assertEqual(builders.default(FIRST, self.flow), upstream)
        self.assert_everywhere(upstream)

    def test_lagging_host_does_not_trust_itself(self):
        """Guards against a host whose only view agrees with itself."""
        lagging = self.others[0]
        ahead = ''.join(set(self.team.routers) - {lagging})
        self.team.apply(ADDED, builders.seconds(3), by=ahead)
        self.team.learn('abcd', by=lagging, fresh=False)
        upstream, _ = self.team.route(self.others[1], self.flow, OPEN)
        self.assertEqual(builders.default(ADDED, self.flow), upstream)
        self.assert_everywhere(upstream)

    def test_lagging_hosts_refuse_what_they_cannot_know(self):
        """Guards against a chain of lagging hosts that guesses."""
        self.team.learn('abcd', fresh=False)
        for kind in (OPEN, DATA):
            end, _ = self.team.route('a', self.flow, kind)
            self.assertEqual('not-fresh', end)

    def test_lagging_last_owner_lets_the_first_resolve(self):
        """Guards against refusing a flow because one owner lags."""
        before, _ = self.team.route('a', self.flow, OPEN)
        self.change()
        self.team.learn('abcd', by=self.owners[1], fresh=False)
        for name in self.others:
            self.assertEqual(before, self.team.route(name, self.flow)[0])

    def test_death_of_an_owner_loses_no_record(self):
        """Guards against a record on a single host, twice in a row."""
        upstream = self.open_moved()
        for name in self.owners:
            del self.team.routers[name]
            self.team.learn(''.join(self.team.routers))
            # One packet is enough to copy the record to the new owner.
            self.assert_everywhere(upstream)

    def test_two_joining_owners_do_not_hide_the_record(self):
        """Guards against a chain in which no host has the record."""
        upstream = self.open_moved()
        joining = [name for name in 'efghijklmnop'][:8]
        pair = next(
            (first, second)
            for first in joining
            for second in joining
            if set(self.team.owners(self.flow, 'abcd' + first + second))
            == {first, second}
        )
        for name in pair:
            self.team.add(name)
        self.team.learn('abcd' + ''.join(pair))
        self.team.apply(FIRST, by=pair)
        self.team.apply(ADDED, builders.seconds(3), by=pair)
        # A former owner that got the first packet would copy its record.
        self.assertEqual(upstream, self.team.route(pair[0], self.flow)[0])
        self.assert_everywhere(upstream)

    def test_host_that_knows_no_owner_reaches_the_record(self):
        """Guards against positions that mean another host elsewhere.

        A host that restarts may know only one peer, which is not an owner.
        """
        upstream = self.open_moved()
        joining, peer = self.team.owners(self.flow, ''.join(self.others))
        self.team.learn(joining + peer, by=joining, fresh=False)
        self.assertEqual(upstream, self.team.route(joining, self.flow)[0])
        self.assert_everywhere(upstream)

    def test_owner_that_changes_while_an_open_is_on_its_way(self):
        """Guards against a record that stands only on former owners."""
        self.change()
        self.team.add('e')
        self.team.apply(FIRST, by='e')
        self.team.apply(ADDED, builders.seconds(3), by='e')
        flow = builders.flow_where(
            lambda flow: (
                self.team.owners(flow, 'abcde')[0] == 'e'
                and builders.default(FIRST, flow)
                != builders.default(ADDED, flow)
            )
        )
        first = self.team.owners(flow, 'abcd')[0]
        self.team.learn('abcde', by=first)
        upstream, _ = self.team.route(first, flow, OPEN)
        self.team.learn('abcde')
        self.assert_everywhere(upstream, flow)

    def test_two_leaving_owners_do_not_hide_the_record(self):
        """Guards against a drain of both owners at the same time."""
        upstream = self.open_moved()
        self.team.leaving = ''.join(self.owners)
        self.team.learn('abcd')
        self.assertEqual(
            upstream, self.team.route(self.others[0], self.flow)[0]
        )
        for name in self.others:
            self.assertEqual(1, self.team.routers[name].recorded_flows)

    def test_second_owner_corrects_the_first(self):
        """Guards against two owners that disagree about a flow."""
        upstream = self.open_moved()
        first = self.owners[0]
        wrong = next(
            item.upstream_id
            for item in ADDED.candidates
            if item.upstream_id != upstream
        )
        router = self.team.routers[first]
        router.route(builders.SERVICE, self.flow, CLOSE)
        self.team.clock.advance(builders.seconds(4))
        router.receive_records(
            flows.PutRecords(first, builders.SERVICE, wrong, (self.flow,))
        )
        self.team.clock.advance(builders.seconds(6))
        router.tick()
        self.assertEqual(upstream, self.team.route(first, self.flow)[0])
        self.assertEqual(upstream, self.team.route(first, self.flow)[0])

    def test_close_deletes_both_records(self):
        """Guards against tables that grow with every closed flow."""
        upstream = self.open_moved()
        end, _ = self.team.route(self.others[0], self.flow, CLOSE)
        self.assertEqual(upstream, end)
        self.team.wait(60)
        for router in self.team.routers.values():
            self.assertEqual(0, router.recorded_flows)

    def test_idle_record_expires_and_a_used_one_does_not(self):
        """Guards against losing the copy that no packet passes."""
        upstream = self.open_moved()
        for _ in range(12):
            self.team.wait(15)
            end, _ = self.team.route(self.owners[0], self.flow)
            self.assertEqual(upstream, end)
        first, second = self.owners
        self.assertEqual(1, self.team.routers[second].recorded_flows)
        self.team.wait(100)
        self.assertEqual(0, self.team.routers[first].recorded_flows)


class UpstreamTest(unittest.TestCase):
    def setUp(self):
        self.team = builders.Team('abcd')
        self.team.apply(FIRST)
        self.flow = builders.moved_flow(FIRST, DRAINED)
        self.team.route('a', self.flow, OPEN)
        self.team.apply(DRAINED, builders.seconds(3))

    def test_draining_upstream_keeps_its_flows(self):
        """Guards against a drain that kills open flows."""
        for name in 'abcd':
            self.assertEqual('desk-3', self.team.route(name, self.flow)[0])

    def test_draining_upstream_gets_no_new_flow(self):
        """Guards against placing new flows by the oldest view."""
        flow = builders.moved_flow(FIRST, DRAINED, self.flow + 1)
        self.assertNotEqual('desk-3', self.team.route('a', flow, OPEN)[0])

    def test_flows_of_a_lost_upstream_are_told_so(self):
        """Guards against moving a flow silently to another upstream."""
        self.team.route('a', self.flow)
        self.team.apply(
            builders.view(2, draining={3}, lost=['desk-3'], health=1),
            builders.ZERO,
        )
        unrecorded = builders.moved_flow(FIRST, DRAINED, self.flow + 1)
        for flow in (self.flow, unrecorded):
            for name in 'abcd':
                self.assertEqual(
                    'upstream-lost', self.team.route(name, flow)[0]
                )

    def test_stale_record_of_a_removed_upstream_is_not_used(self):
        """Guards against an address that another service uses now."""
        first, second = self.team.owners(self.flow)
        self.team.wait(2)
        self.team.route(first, self.flow)
        self.assertEqual(
            ('desk-3', [first]), self.team.route(first, self.flow)
        )
        removed = builders.view(3, upstreams=2)
        ahead = ''.join(set('abcd') - {first})
        self.team.learn('abcd', by=first, fresh=False)
        self.team.apply(removed, builders.ZERO, by=ahead)
        end, path = self.team.route(first, self.flow)
        self.assertEqual('upstream-lost', end)
        self.assertEqual([first, second], path)

    def test_equal_flows_of_two_services_are_kept_apart(self):
        """Guards against a record that serves another service."""
        self.team.apply(builders.view(1, service_id=2, name='quote'))
        self.team.apply(
            builders.view(2, service_id=2, name='quote', draining={1}),
            builders.seconds(3),
        )
        self.team.route('a', self.flow)
        for name in 'abcd':
            end, _ = self.team.route(name, self.flow, service_id=2)
            self.assertTrue(end.startswith('quote'), end)


class QuorumTest(unittest.TestCase):
    def test_minority_refuses_new_flows_and_serves_again_later(self):
        """Guards against two halves that place the same flow, and against a
        data centre that stays down although it could serve.
        """
        team = builders.Team('ab')
        team.apply(FIRST)
        team.learn('ab', quorum=False)
        self.assertEqual('no-quorum', team.route('a', 5, OPEN)[0])
        team.wait(31)
        self.assertEqual(
            builders.default(FIRST, 5), team.route('a', 5, OPEN)[0]
        )

    def test_minority_follows_records_that_an_owner_has(self):
        """Guards against cutting recorded flows on a short partition."""
        team = builders.Team('abc')
        team.apply(FIRST)
        team.apply(ADDED, builders.seconds(3))
        flow = builders.moved_flow(FIRST, ADDED)
        upstream, _ = team.route('a', flow, OPEN)
        team.learn('abc', quorum=False, fresh=False)
        for name in 'abc':
            self.assertEqual(upstream, team.route(name, flow)[0])
