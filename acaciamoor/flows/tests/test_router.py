"""Selection of upstreams and replication of flow records."""

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


class AmbiguousFlowTest(unittest.TestCase):
    """Four hosts, an active view and a second one that remaps a flow."""

    def setUp(self):
        self.cluster = builders.RouterCluster('abcd')
        self.cluster.apply_view(FIRST)
        self.flow = builders.moved_flow(FIRST, ADDED)
        self.owners = self.cluster.owners(self.flow)
        self.non_owners = [
            name for name in self.cluster.routers if name not in self.owners
        ]

    def apply_second_view(self):
        self.cluster.apply_view(ADDED, builders.seconds(3))

    def open_remapped_flow(self):
        self.apply_second_view()
        return self.cluster.route(self.non_owners[0], self.flow, OPEN)[0]

    def assert_routed_by_all(self, upstream, flow=None):
        for name in self.cluster.routers:
            flow = self.flow if flow is None else flow
            self.assertEqual(upstream, self.cluster.route(name, flow)[0], name)

    def test_agreed_flow_takes_no_hop_and_no_record(self):
        """Guards against records or hops for flows whose default is agreed."""
        self.apply_second_view()
        flow = builders.find_flow(
            lambda flow: (
                builders.default_upstream(FIRST, flow)
                == builders.default_upstream(ADDED, flow)
            )
        )
        for kind in (OPEN, DATA, CLOSE):
            end, path = self.cluster.route('a', flow, kind)
            self.assertEqual(
                (builders.default_upstream(FIRST, flow), ['a']), (end, path)
            )
        self.assertEqual(0, self.cluster.routers['a'].recorded_flows)

    def test_record_is_stored_on_both_owners_before_the_upstream(self):
        """Guards against opening a flow at an upstream without a record."""
        self.apply_second_view()
        _, path = self.cluster.route(self.non_owners[0], self.flow, OPEN)
        self.assertEqual([self.non_owners[0], *self.owners], path)
        for name in self.owners:
            self.assertEqual(1, self.cluster.routers[name].recorded_flows)

    def test_flow_opened_before_the_change_keeps_its_upstream(self):
        """Guards against remapping open flows when an upstream is added."""
        before, _ = self.cluster.route('a', self.flow, OPEN)
        self.apply_second_view()
        self.assert_routed_by_all(before)
        for name in self.owners:
            self.assertEqual(1, self.cluster.routers[name].recorded_flows)

    def test_flow_opened_after_the_change_keeps_its_upstream(self):
        """Guards against routing a recorded flow by the oldest view."""
        after = self.open_remapped_flow()
        self.assertEqual(builders.default_upstream(ADDED, self.flow), after)
        self.assert_routed_by_all(after)

    def test_pending_view_is_not_used_for_new_flows(self):
        """Guards against misrouting by a host that lacks the pending view."""
        self.cluster.apply_view(
            ADDED, builders.seconds(2.2), by=''.join(self.owners)
        )
        upstream, _ = self.cluster.route(self.owners[0], self.flow, OPEN)
        self.assertEqual(builders.default_upstream(FIRST, self.flow), upstream)
        self.assert_routed_by_all(upstream)

    def test_stale_host_does_not_route_by_its_own_views(self):
        """Guards against a host that trusts its only, outdated view."""
        stale = self.non_owners[0]
        others = ''.join(set(self.cluster.routers) - {stale})
        self.cluster.apply_view(ADDED, builders.seconds(3), by=others)
        self.cluster.set_members('abcd', by=stale, fresh=False)
        upstream, _ = self.cluster.route(self.non_owners[1], self.flow, OPEN)
        self.assertEqual(builders.default_upstream(ADDED, self.flow), upstream)
        self.assert_routed_by_all(upstream)

    def test_stale_hosts_refuse_unrecorded_flows(self):
        """Guards against routing by stale views when all hosts are stale."""
        self.cluster.set_members('abcd', fresh=False)
        for kind in (OPEN, DATA):
            end, _ = self.cluster.route('a', self.flow, kind)
            self.assertEqual('not-fresh', end)

    def test_stale_last_owner_returns_the_packet_to_the_first(self):
        """Guards against refusing a flow because one owner is stale."""
        before, _ = self.cluster.route('a', self.flow, OPEN)
        self.apply_second_view()
        self.cluster.set_members('abcd', by=self.owners[1], fresh=False)
        for name in self.non_owners:
            self.assertEqual(before, self.cluster.route(name, self.flow)[0])

    def test_death_of_an_owner_loses_no_record(self):
        """Guards against a record that one host keeps alone after a death."""
        upstream = self.open_remapped_flow()
        for name in self.owners:
            del self.cluster.routers[name]
            self.cluster.set_members(''.join(self.cluster.routers))
            # A single packet copies the record to the new owner.
            self.assert_routed_by_all(upstream)

    def test_owners_that_restart_in_turn_lose_no_record(self):
        """Guards against a record that one owner keeps alone for seconds.

        The others notice neither restart, so the members do not change.
        """
        # Records of the time of a change are copied anyway.
        self.cluster.run_for(1)
        upstream = self.open_remapped_flow()
        for name in self.owners:
            self.cluster.add_host(name)
            self.cluster.set_members('abcd', by=name)
            self.cluster.apply_view(FIRST, by=name)
            self.cluster.apply_view(ADDED, builders.seconds(3), by=name)
            sender = self.non_owners[0]
            self.assertEqual(
                upstream, self.cluster.route(sender, self.flow)[0]
            )

    def test_two_joining_owners_do_not_hide_the_record(self):
        """Guards against a chain in which no host has the record."""
        upstream = self.open_remapped_flow()
        joining = [name for name in 'efghijklmnop'][:8]
        pair = next(
            (first, second)
            for first in joining
            for second in joining
            if set(self.cluster.owners(self.flow, 'abcd' + first + second))
            == {first, second}
        )
        for name in pair:
            self.cluster.add_host(name)
        self.cluster.set_members('abcd' + ''.join(pair))
        self.cluster.apply_view(FIRST, by=pair)
        self.cluster.apply_view(ADDED, builders.seconds(3), by=pair)
        # The first packet goes to a new owner: a former owner would copy its
        # record to the new ones.
        self.assertEqual(upstream, self.cluster.route(pair[0], self.flow)[0])
        self.assert_routed_by_all(upstream)

    def test_host_that_knows_no_owner_reaches_the_record(self):
        """Guards against chain positions that differ between hosts.

        A host that restarts may know only one peer, which is not an owner.
        """
        upstream = self.open_remapped_flow()
        joining, peer = self.cluster.owners(
            self.flow, ''.join(self.non_owners)
        )
        self.cluster.set_members(joining + peer, by=joining, fresh=False)
        self.assertEqual(upstream, self.cluster.route(joining, self.flow)[0])
        self.assert_routed_by_all(upstream)

    def test_owner_that_changes_while_an_open_is_in_flight(self):
        """Guards against a record that is stored only on former owners."""
        self.apply_second_view()
        self.cluster.add_host('e')
        self.cluster.apply_view(FIRST, by='e')
        self.cluster.apply_view(ADDED, builders.seconds(3), by='e')
        flow = builders.find_flow(
            lambda flow: (
                self.cluster.owners(flow, 'abcde')[0] == 'e'
                and builders.default_upstream(FIRST, flow)
                != builders.default_upstream(ADDED, flow)
            )
        )
        first = self.cluster.owners(flow, 'abcd')[0]
        self.cluster.set_members('abcde', by=first)
        upstream, _ = self.cluster.route(first, flow, OPEN)
        self.cluster.set_members('abcde')
        self.assert_routed_by_all(upstream, flow)

    def test_two_leaving_owners_do_not_hide_the_record(self):
        """Guards against lost records when both owners leave at once."""
        upstream = self.open_remapped_flow()
        self.cluster.leaving = ''.join(self.owners)
        self.cluster.set_members('abcd')
        self.assertEqual(
            upstream, self.cluster.route(self.non_owners[0], self.flow)[0]
        )
        for name in self.non_owners:
            self.assertEqual(1, self.cluster.routers[name].recorded_flows)

    def test_second_owner_corrects_the_first(self):
        """Guards against two owners with conflicting records of a flow."""
        upstream = self.open_remapped_flow()
        first = self.owners[0]
        wrong = next(
            item.upstream_id
            for item in ADDED.candidates
            if item.upstream_id != upstream
        )
        router = self.cluster.routers[first]
        router.route(builders.SERVICE, self.flow, CLOSE)
        self.cluster.clock.advance(builders.seconds(4))
        router.receive_records(
            flows.PutRecords(first, builders.SERVICE, wrong, (self.flow,))
        )
        self.cluster.clock.advance(builders.seconds(6))
        router.tick()
        self.assertEqual(upstream, self.cluster.route(first, self.flow)[0])
        self.assertEqual(upstream, self.cluster.route(first, self.flow)[0])

    def test_close_deletes_both_records(self):
        """Guards against records that are never deleted after a CLOSE."""
        upstream = self.open_remapped_flow()
        end, _ = self.cluster.route(self.non_owners[0], self.flow, CLOSE)
        self.assertEqual(upstream, end)
        self.cluster.run_for(60)
        for router in self.cluster.routers.values():
            self.assertEqual(0, router.recorded_flows)

    def test_record_of_an_idle_flow_expires_and_of_an_active_one_does_not(
        self,
    ):
        """Guards against expiry on the owner that receives no packets."""
        upstream = self.open_remapped_flow()
        for _ in range(12):
            self.cluster.run_for(15)
            end, _ = self.cluster.route(self.owners[0], self.flow)
            self.assertEqual(upstream, end)
        first, second = self.owners
        self.assertEqual(1, self.cluster.routers[second].recorded_flows)
        self.cluster.run_for(100)
        self.assertEqual(0, self.cluster.routers[first].recorded_flows)


class UpstreamTest(unittest.TestCase):
    def setUp(self):
        self.cluster = builders.RouterCluster('abcd')
        self.cluster.apply_view(FIRST)
        self.flow = builders.moved_flow(FIRST, DRAINED)
        self.cluster.route('a', self.flow, OPEN)
        self.cluster.apply_view(DRAINED, builders.seconds(3))

    def test_draining_upstream_keeps_its_flows(self):
        """Guards against a drain that breaks open flows."""
        for name in 'abcd':
            self.assertEqual('desk-3', self.cluster.route(name, self.flow)[0])

    def test_draining_upstream_gets_no_new_flow(self):
        """Guards against placing new flows by the oldest view."""
        flow = builders.moved_flow(FIRST, DRAINED, self.flow + 1)
        self.assertNotEqual('desk-3', self.cluster.route('a', flow, OPEN)[0])

    def test_flows_of_a_lost_upstream_are_refused(self):
        """Guards against silently rerouting a flow to another upstream."""
        self.cluster.route('a', self.flow)
        self.cluster.apply_view(
            builders.view(2, draining={3}, lost=['desk-3'], health=1),
            builders.ZERO,
        )
        unrecorded = builders.moved_flow(FIRST, DRAINED, self.flow + 1)
        for flow in (self.flow, unrecorded):
            for name in 'abcd':
                self.assertEqual(
                    'upstream-lost', self.cluster.route(name, flow)[0]
                )

    def test_stale_record_of_a_removed_upstream_is_not_used(self):
        """Guards against routing to an address that was reassigned."""
        first, second = self.cluster.owners(self.flow)
        self.cluster.run_for(2)
        self.cluster.route(first, self.flow)
        self.assertEqual(
            ('desk-3', [first]), self.cluster.route(first, self.flow)
        )
        removed = builders.view(3, upstreams=2)
        others = ''.join(set('abcd') - {first})
        self.cluster.set_members('abcd', by=first, fresh=False)
        self.cluster.apply_view(removed, builders.ZERO, by=others)
        end, path = self.cluster.route(first, self.flow)
        self.assertEqual('upstream-lost', end)
        self.assertEqual([first, second], path)

    def test_flow_identifiers_are_scoped_to_their_service(self):
        """Guards against applying a record to another service."""
        self.cluster.apply_view(builders.view(1, service_id=2, name='quote'))
        self.cluster.apply_view(
            builders.view(2, service_id=2, name='quote', draining={1}),
            builders.seconds(3),
        )
        self.cluster.route('a', self.flow)
        for name in 'abcd':
            end, _ = self.cluster.route(name, self.flow, service_id=2)
            self.assertTrue(end.startswith('quote'), end)


class QuorumTest(unittest.TestCase):
    def test_minority_refuses_new_flows_and_serves_again_later(self):
        """Guards against two partitions that place the same flow, and against
        a data centre that stays down although it could serve.
        """
        cluster = builders.RouterCluster('ab')
        cluster.apply_view(FIRST)
        cluster.set_members('ab', quorum=False)
        self.assertEqual('no-quorum', cluster.route('a', 5, OPEN)[0])
        cluster.run_for(31)
        self.assertEqual(
            builders.default_upstream(FIRST, 5), cluster.route('a', 5, OPEN)[0]
        )

    def test_minority_routes_by_the_records_of_an_owner(self):
        """Guards against refusing recorded flows in a short partition."""
        cluster = builders.RouterCluster('abc')
        cluster.apply_view(FIRST)
        cluster.apply_view(ADDED, builders.seconds(3))
        flow = builders.moved_flow(FIRST, ADDED)
        upstream, _ = cluster.route('a', flow, OPEN)
        cluster.set_members('abc', quorum=False, fresh=False)
        for name in 'abc':
            self.assertEqual(upstream, cluster.route(name, flow)[0])
