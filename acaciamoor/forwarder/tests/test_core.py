"""Forwarding decisions about packets."""

import random
import tracemalloc
import unittest

import msgspec

from acaciamoor import directory
from acaciamoor import forwarder
from acaciamoor import load_reports
from acaciamoor.directory.tests import builders as directory_builders
from acaciamoor.forwarder.tests import builders

MS = builders.MS
NO_UPSTREAM = forwarder.RefusalReason.NO_UPSTREAM
ZERO = 0 * MS
ADDRESS = builders.ADDRESS


def new_directory(*names, **changed):
    """Return a directory that holds upstreams with the given names."""
    return directory_builders.new_directory(
        *(directory_builders.upstream_entry(name, **changed) for name in names)
    )


class FlowTest(unittest.TestCase):
    def test_any_host_finds_the_upstream_of_a_flow(self):
        """Guards against flows that break when a host joins or leaves.

        Each packet of the flow reaches a host that has not seen the flow
        before and that received the upstreams in another order.
        """
        names = [f'desk-{number}' for number in range(20)]
        first = builders.core(new_directory(*names))
        opening = first.handle(b'', builders.packet(opens=True), ZERO).forward
        for seed in range(10):
            other = builders.core(new_directory(*reversed(names)), seed)
            later = other.handle(
                b'', builders.packet(token=opening.token, length=9), ZERO
            )
            self.assertEqual(opening.upstream_id, later.upstream_id)

    def test_tokens_keep_flows_that_modulo_hashing_breaks(self):
        """Guards against forwarding by a hash over the current upstreams."""
        names = [f'desk-{number}' for number in range(20)]
        before, after = names, names[:-1]
        moved = sum(
            before[flow % len(before)] != after[flow % len(after)]
            for flow in range(1000)
        )
        self.assertGreater(moved, 900)
        core = builders.core(new_directory(*before))
        opening = core.handle(b'', builders.packet(opens=True), ZERO).forward
        shrunk = new_directory(*before)
        shrunk.remove_upstream('desk-19', ZERO)
        later = builders.core(shrunk).handle(
            b'', builders.packet(token=opening.token), ZERO
        )
        self.assertEqual(opening.upstream_id, later.upstream_id)

    def test_opening_packet_ignores_the_token_of_its_caller(self):
        """Guards against callers that select a draining upstream by token."""
        routing = new_directory('desk-1', 'desk-2')
        token = routing.token_of(ADDRESS, 'desk-1')
        routing.put_upstream(
            directory_builders.upstream_entry('desk-1', 2, draining=True)
        )
        decision = builders.core(routing).handle(
            b'', builders.packet(opens=True, token=token), ZERO
        )
        self.assertEqual('desk-2', decision.forward.upstream_id)

    def test_packets_to_unknown_addresses_take_no_memory(self):
        """Guards against callers that fill the memory of a host.

        The host keeps an index of tokens for each address of a route. Packets
        that open no flow may name any other address.
        """
        core = builders.core(new_directory('desk-1', 'desk-2'))
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for port in range(1, 2_000):
            decision = core.handle(
                b'', builders.packet(address=(7, port), token=port), ZERO
            )
            self.assertIsInstance(decision, forwarder.Drop)
        used, _ = tracemalloc.get_traced_memory()
        self.assertLess(used, 100_000)

    def test_packet_with_a_forged_token_is_dropped(self):
        """Guards against a packet for one service that reaches another one."""
        routing = new_directory('desk-1')
        routing.put_upstream(
            directory_builders.upstream_entry('bench-1', service='quote-bench')
        )
        foreign = routing.token_of((0xC6120002, 443), 'bench-1')
        for token in (0, 1, 0xFFFFFFFF, foreign):
            decision = builders.core(routing).handle(
                b'', builders.packet(token=token, length=5), ZERO
            )
            self.assertEqual(
                forwarder.Drop(forwarder.DropReason.UNKNOWN_TOKEN),
                decision,
            )

    def test_upstream_packets_from_callers_are_dropped(self):
        """Guards against forwarding forged handshake replies to upstreams."""
        routing = new_directory('desk-1')
        token = routing.token_of(ADDRESS, 'desk-1')
        decision = builders.core(routing).handle(
            b'', builders.packet(from_upstream=True, token=token), ZERO
        )
        self.assertEqual(
            forwarder.Drop(forwarder.DropReason.NOT_FROM_CALLER), decision
        )

    def test_removed_route_ends_its_flows(self):
        """Guards against requests over a route that the operator removed."""
        routing = new_directory('desk-1')
        token = routing.token_of(ADDRESS, 'desk-1')
        routing.adopt_routes(
            directory_builders.table(
                2, directory_builders.route(address=(0xC6120009, 80))
            )
        )
        core = builders.core(routing)
        later = core.handle(b'', builders.packet(token=token), ZERO)
        self.assertEqual(forwarder.Drop(forwarder.DropReason.NO_ROUTE), later)


class OpeningTest(unittest.TestCase):
    def test_unanswered_opening_is_sent_to_another_upstream(self):
        """Guards against a 200 ms wait of the caller for a dead upstream."""
        core = builders.core(new_directory('desk-1', 'desk-2'))
        first = core.handle(b'syn', builders.packet(opens=True), ZERO).forward
        self.assertEqual([], core.retry_openings(20 * MS))
        again = core.retry_openings(41 * MS)
        self.assertEqual([b'syn'], [item.forward.data for item in again])
        self.assertNotEqual(first.upstream_id, again[0].forward.upstream_id)
        self.assertTrue(
            core.failure_detector.is_suspected(first.upstream_id, 50 * MS)
        )

    def test_opening_is_retried_only_once(self):
        """Guards against a retry storm while all upstreams are down."""
        core = builders.core(new_directory(*(f'desk-{n}' for n in range(9))))
        core.handle(b'syn', builders.packet(opens=True), ZERO)
        retried = [
            decision
            for step in range(1, 40)
            for decision in core.retry_openings(step * 41 * MS)
        ]
        self.assertEqual(1, len(retried))

    def test_second_timeout_raises_no_suspicion(self):
        """Guards against suspicion of all upstreams when routing changes.

        The upstream answered, but the next packet of the flow reaches another
        host.
        """
        core = builders.core(new_directory('desk-1', 'desk-2', 'desk-3'))
        core.handle(b'syn', builders.packet(opens=True), ZERO)
        again = core.retry_openings(41 * MS)[0].forward.upstream_id
        core.retry_openings(90 * MS)
        self.assertFalse(core.failure_detector.is_suspected(again, 91 * MS))

    def test_answered_opening_is_not_retried(self):
        """Guards against unused connections at a second upstream."""
        core = builders.core(new_directory('desk-1', 'desk-2'))
        first = core.handle(b'syn', builders.packet(opens=True), ZERO).forward
        core.handle(b'', builders.packet(token=first.token), 4 * MS)
        self.assertIsNone(core.next_retry_at())
        self.assertEqual([], core.retry_openings(50 * MS))
        self.assertFalse(
            core.failure_detector.is_suspected(first.upstream_id, 50 * MS)
        )

    def test_retransmitted_opening_goes_to_another_upstream(self):
        """Guards against retransmissions to the same dead upstream."""
        core = builders.core(new_directory('desk-1', 'desk-2'))
        first = core.handle(b'', builders.packet(opens=True), ZERO).forward
        retransmission = core.handle(
            b'', builders.packet(opens=True, acknowledged=1), 200 * MS
        )
        self.assertNotEqual(
            first.upstream_id, retransmission.forward.upstream_id
        )
        self.assertTrue(
            core.failure_detector.is_suspected(first.upstream_id, 201 * MS)
        )

    def test_copies_that_waited_together_are_sent_once(self):
        """Guards against suspicion of live upstreams by a busy host.

        Copies of an opening packet that are handled right after each other
        have waited in the socket of the host.
        """
        core = builders.core(new_directory('desk-1', 'desk-2'))
        first = core.handle(b'', builders.packet(opens=True), ZERO).forward
        copy = core.handle(
            b'', builders.packet(opens=True, acknowledged=1), 5 * MS, 400 * MS
        )
        self.assertEqual(forwarder.Drop(forwarder.DropReason.DUPLICATE), copy)
        self.assertFalse(
            core.failure_detector.is_suspected(first.upstream_id, 6 * MS)
        )
        self.assertEqual(1, len(core.retry_openings(41 * MS)))

    def test_silence_that_the_host_did_not_hear_raises_no_suspicion(self):
        """Guards against suspicion of an upstream whose answer waits here."""
        core = builders.core(new_directory('desk-1', 'desk-2'))
        first = core.handle(b'', builders.packet(opens=True), ZERO).forward
        core.handle(
            b'', builders.packet(opens=True, acknowledged=1), 90 * MS, 60 * MS
        )
        self.assertFalse(
            core.failure_detector.is_suspected(first.upstream_id, 91 * MS)
        )

    def test_openings_from_before_a_pause_are_not_retried(self):
        """Guards against retries of openings that callers have abandoned."""
        core = builders.core(new_directory('desk-1', 'desk-2'))
        core.handle(b'', builders.packet(opens=True), ZERO)
        core.discard_pending()
        self.assertEqual([], core.retry_openings(9000 * MS))

    def test_unknown_route_is_refused_at_once(self):
        """Guards against callers that wait for their timeout."""
        core = builders.core(new_directory('desk-1'))
        opening = builders.packet(opens=True, address=(0xC6120001, 81))
        self.assertEqual(
            forwarder.Refusal(opening.key, forwarder.RefusalReason.NO_ROUTE),
            core.handle(b'', opening, ZERO),
        )

    def test_retransmission_on_an_unknown_route_is_not_reset(self):
        """Guards against resetting a flow that another host has opened."""
        core = builders.core(new_directory('desk-1'))
        retransmission = builders.packet(
            opens=True, acknowledged=1, address=(0xC6120001, 81)
        )
        self.assertIsInstance(
            core.handle(b'', retransmission, ZERO), forwarder.Drop
        )

    def test_opening_that_waited_too_long_is_not_reset(self):
        """Guards against resetting a flow that another host has opened.

        While a packet waits in the socket of a busy host, its caller
        retransmits, and that copy may reach another host.
        """
        core = builders.core(new_directory('desk-1'))
        opening = builders.packet(opens=True, address=(0xC6120001, 81))
        self.assertIsInstance(
            core.handle(b'', opening, ZERO, 160 * MS), forwarder.Drop
        )

    def test_host_without_configuration_resets_no_flow(self):
        """Guards against resets from a host that has just started."""
        core = builders.core(directory.Directory())
        self.assertEqual(
            forwarder.Wait(forwarder.WaitReason.NO_CONFIGURATION),
            core.handle(b'', builders.packet(opens=True), ZERO),
        )

    def test_openings_that_wait_are_placed_when_lists_arrive(self):
        """Guards against callers that wait 200 ms for a host that starts."""
        routing = directory.Directory()
        core = builders.core(routing)
        core.handle(b'syn', builders.packet(opens=True), ZERO)
        self.assertEqual([], core.retry_openings(41 * MS))
        routing.adopt_routes(directory_builders.table())
        routing.put_upstream(directory_builders.upstream_entry('desk-1'))
        routing.confirm_entries(1)
        placed = core.retry_openings(82 * MS)
        self.assertEqual([b'syn'], [item.forward.data for item in placed])
        self.assertFalse(placed[0].retried)
        self.assertEqual([], core.retry_openings(90 * MS))

    def test_abandoned_openings_are_not_placed(self):
        """Guards against flows that are opened after their callers left."""
        routing = directory.Directory()
        core = builders.core(routing)
        core.handle(b'syn', builders.packet(opens=True), ZERO)
        for step in range(1, 36):
            core.retry_openings(step * 41 * MS)
        self.assertIsNone(core.next_retry_at())

    def test_empty_service_is_refused_once_it_stays_empty(self):
        """Guards against callers that wait for a service without upstreams.

        A gap while upstreams are replaced must not be refused.
        """
        routing = new_directory()
        core = builders.core(routing)
        waiting = forwarder.Wait(forwarder.WaitReason.NO_UPSTREAM)
        first = builders.packet(opens=True)
        self.assertEqual(waiting, core.handle(b'a', first, ZERO))
        second = builders.packet(opens=True, caller=(0x64400008, 40002))
        self.assertEqual(waiting, core.handle(b'b', second, 1390 * MS))
        # The flow that waits shortly is refused, the other one is too old.
        self.assertEqual(
            [forwarder.Refusal(second.key, NO_UPSTREAM)],
            core.retry_openings(1440 * MS),
        )
        third = builders.packet(opens=True, caller=(0x64400009, 40003))
        self.assertEqual(
            forwarder.Refusal(third.key, NO_UPSTREAM),
            core.handle(b'c', third, 1500 * MS),
        )
        routing.put_upstream(directory_builders.upstream_entry('desk-1'))
        self.assertIsInstance(
            core.handle(b'c', third, 1600 * MS), forwarder.Placement
        )
        routing.remove_upstream('desk-1', 1700 * MS)
        fourth = builders.packet(opens=True, caller=(0x64400010, 40004))
        self.assertIsInstance(
            core.handle(b'd', fourth, 9000 * MS), forwarder.Wait
        )

    def test_new_flows_are_split_by_weight(self):
        """Guards against a traffic split that ignores the weights."""
        routing = new_directory('desk-1')
        routing.put_upstream(
            directory_builders.upstream_entry('bench-1', service='quote-bench')
        )
        route = directory.Route(
            'board', ADDRESS, {'order-desk': 9.0, 'quote-bench': 1.0}
        )
        routing.adopt_routes(directory_builders.table(2, route))
        core = builders.core(routing)
        chosen = [
            core.handle(
                b'',
                builders.packet(opens=True, caller=(0x64400000 + n, 40000)),
                ZERO,
            ).forward.upstream_id
            for n in range(1000)
        ]
        self.assertAlmostEqual(100, chosen.count('bench-1'), delta=40)


class SharedLoadTest(unittest.TestCase):
    def test_core_takes_in_shared_load_and_the_limit_of_flows(self):
        """Guards against reports and limits that reach no decision."""
        entries = new_directory('desk-1', 'desk-2')
        table = msgspec.structs.replace(
            entries.table,
            version=entries.route_version + 1,
            limits_by_service={
                directory_builders.SERVICE: directory.ServiceLimits(9)
            },
        )
        entries.adopt_routes(table)
        picture = load_reports.LoadPicture('kgn-a')
        core = forwarder.ForwarderCore(
            forwarder.CoreSettings('kgn-a'),
            entries,
            random.Random(1),
            load_picture=picture,
        )
        for number in range(1, 31):
            now = number * 0.2 * directory_builders.SECOND
            finished = 6 if number < 20 else 1
            loads = [
                load_reports.UpstreamLoad('desk-1', 1, 9, 6, finished, 0.2),
                load_reports.UpstreamLoad('desk-2', 1, 1, 6, 6, 0.2),
            ]
            picture.record(
                load_reports.LoadSummary(
                    'kgn-a', 'host-1', 1, number, 75, 0.1, 0.2, loads
                ),
                now,
            )
            core.update_load(now)
        (change,) = {
            item.upstream_id: item for item in core.take_observations()
        }.values()
        self.assertEqual('desk-1', change.upstream_id)
        self.assertLess(change.rate, change.rate_before / 2)
        for number in range(5):
            packet = builders.packet(
                caller=(0x64400007, 40100 + number), opens=True
            )
            placed = core.handle(b'syn', packet, now)
            self.assertEqual('desk-2', placed.forward.upstream_id)


if __name__ == '__main__':
    unittest.main()
