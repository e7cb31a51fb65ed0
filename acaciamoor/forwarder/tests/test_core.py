"""Decisions about packets."""

import unittest

from acaciamoor import directory
from acaciamoor import forwarder
from acaciamoor.directory.tests import builders as directory_builders
from acaciamoor.forwarder.tests import builders

MS = builders.MS
ZERO = 0 * MS
ADDRESS = builders.ADDRESS


def listed(*names, **changed):
    """Return a directory with upstreams of these names."""
    return directory_builders.filled(
        *(directory_builders.listed(name, **changed) for name in names)
    )


class FlowTest(unittest.TestCase):
    def test_any_host_finds_the_upstream_of_a_flow(self):
        """Guards against flows that break when a host joins or leaves.

        Each packet of the flow meets a host that has not seen it before and
        that learned the upstreams in another order.
        """
        names = [f'desk-{number}' for number in range(20)]
        first = builders.core(listed(*names))
        opening = first.handle(b'', builders.packet(opens=True), ZERO).forward
        for seed in range(10):
            other = builders.core(listed(*reversed(names)), seed)
            later = other.handle(
                b'', builders.packet(token=opening.token, length=9), ZERO
            )
            self.assertEqual(opening.upstream_id, later.upstream_id)

    def test_naive_hash_breaks_flows_where_tokens_do_not(self):
        """Guards against placing later packets by the list of the moment."""
        names = [f'desk-{number}' for number in range(20)]
        before, after = names, names[:-1]
        moved = sum(
            before[flow % len(before)] != after[flow % len(after)]
            for flow in range(1000)
        )
        self.assertGreater(moved, 900)
        core = builders.core(listed(*before))
        opening = core.handle(b'', builders.packet(opens=True), ZERO).forward
        shrunk = listed(*before)
        shrunk.remove_upstream('desk-19', ZERO)
        later = builders.core(shrunk).handle(
            b'', builders.packet(token=opening.token), ZERO
        )
        self.assertEqual(opening.upstream_id, later.upstream_id)

    def test_opening_packet_ignores_the_token_of_its_caller(self):
        """Guards against a caller that chooses a draining upstream."""
        known = listed('desk-1', 'desk-2')
        token = known.token_of(ADDRESS, 'desk-1')
        known.put_upstream(
            directory_builders.listed('desk-1', 2, draining=True)
        )
        decision = builders.core(known).handle(
            b'', builders.packet(opens=True, token=token), ZERO
        )
        self.assertEqual('desk-2', decision.forward.upstream_id)

    def test_forged_token_reaches_nobody(self):
        """Guards against a packet for one service that reaches another."""
        known = listed('desk-1')
        known.put_upstream(
            directory_builders.listed('bench-1', service='quote-bench')
        )
        foreign = known.token_of((0xC6120002, 443), 'bench-1')
        for token in (0, 1, 0xFFFFFFFF, foreign):
            decision = builders.core(known).handle(
                b'', builders.packet(token=token, length=5), ZERO
            )
            self.assertEqual(
                forwarder.Dropped(forwarder.DropReason.UNKNOWN_TOKEN),
                decision,
            )

    def test_upstream_packets_from_callers_are_dropped(self):
        """Guards against forged handshakes that upstreams receive."""
        known = listed('desk-1')
        token = known.token_of(ADDRESS, 'desk-1')
        decision = builders.core(known).handle(
            b'', builders.packet(from_upstream=True, token=token), ZERO
        )
        self.assertEqual(
            forwarder.Dropped(forwarder.DropReason.NOT_FROM_CALLER), decision
        )

    def test_dropped_route_ends_its_flows(self):
        """Guards against requests on a route that the operator removed."""
        known = listed('desk-1')
        token = known.token_of(ADDRESS, 'desk-1')
        known.adopt_routes(
            directory_builders.table(
                2, directory_builders.route(address=(0xC6120009, 80))
            )
        )
        core = builders.core(known)
        later = core.handle(b'', builders.packet(token=token), ZERO)
        self.assertEqual(
            forwarder.Dropped(forwarder.DropReason.NO_ROUTE), later
        )


class OpeningTest(unittest.TestCase):
    def test_silence_sends_the_opening_to_another_upstream(self):
        """Guards against a caller that waits 200 ms for a dead upstream."""
        core = builders.core(listed('desk-1', 'desk-2'))
        first = core.handle(b'syn', builders.packet(opens=True), ZERO).forward
        self.assertEqual([], core.repeat(20 * MS))
        again = core.repeat(41 * MS)
        self.assertEqual([b'syn'], [item.forward.data for item in again])
        self.assertNotEqual(first.upstream_id, again[0].forward.upstream_id)
        self.assertTrue(core.evidence.suspects(first.upstream_id, 50 * MS))

    def test_opening_is_repeated_once(self):
        """Guards against a flood of openings while everything is dead."""
        core = builders.core(listed(*(f'desk-{n}' for n in range(9))))
        core.handle(b'syn', builders.packet(opens=True), ZERO)
        repeated = [
            decision
            for step in range(1, 40)
            for decision in core.repeat(step * 41 * MS)
        ]
        self.assertEqual(1, len(repeated))

    def test_second_silence_is_no_evidence(self):
        """Guards against suspicion of all upstreams when routing changes.

        The flow opened, but its next packet passes another host.
        """
        core = builders.core(listed('desk-1', 'desk-2', 'desk-3'))
        core.handle(b'syn', builders.packet(opens=True), ZERO)
        again = core.repeat(41 * MS)[0].forward.upstream_id
        core.repeat(90 * MS)
        self.assertFalse(core.evidence.suspects(again, 91 * MS))

    def test_answered_opening_is_not_repeated(self):
        """Guards against connections that nobody uses."""
        core = builders.core(listed('desk-1', 'desk-2'))
        first = core.handle(b'syn', builders.packet(opens=True), ZERO).forward
        core.handle(b'', builders.packet(token=first.token), 4 * MS)
        self.assertIsNone(core.due_at())
        self.assertEqual([], core.repeat(50 * MS))
        self.assertFalse(core.evidence.suspects(first.upstream_id, 50 * MS))

    def test_copy_of_the_caller_goes_elsewhere(self):
        """Guards against copies that a dead upstream swallows as well."""
        core = builders.core(listed('desk-1', 'desk-2'))
        first = core.handle(b'', builders.packet(opens=True), ZERO).forward
        copy = core.handle(
            b'', builders.packet(opens=True, acknowledged=1), 30 * MS
        )
        self.assertNotEqual(first.upstream_id, copy.forward.upstream_id)

    def test_openings_of_before_a_pause_are_not_repeated(self):
        """Guards against openings whose callers have gone on long ago."""
        core = builders.core(listed('desk-1', 'desk-2'))
        core.handle(b'', builders.packet(opens=True), ZERO)
        core.resume()
        self.assertEqual([], core.repeat(9000 * MS))

    def test_unknown_route_is_refused_at_once(self):
        """Guards against callers that wait for an answer until they end."""
        core = builders.core(listed('desk-1'))
        opening = builders.packet(opens=True, address=(0xC6120001, 81))
        self.assertEqual(
            forwarder.Refusal(opening.key, forwarder.RefusalReason.NO_ROUTE),
            core.handle(b'', opening, ZERO),
        )

    def test_copy_on_an_unknown_route_is_not_reset(self):
        """Guards against the reset of a flow that another host has opened."""
        core = builders.core(listed('desk-1'))
        copy = builders.packet(
            opens=True, acknowledged=1, address=(0xC6120001, 81)
        )
        self.assertIsInstance(core.handle(b'', copy, ZERO), forwarder.Dropped)

    def test_host_without_lists_refuses_nothing(self):
        """Guards against resets by a host that has just started."""
        core = builders.core(directory.Directory())
        self.assertEqual(
            forwarder.Dropped(forwarder.DropReason.NO_CONFIGURATION),
            core.handle(b'', builders.packet(opens=True), ZERO),
        )

    def test_weights_divide_new_flows(self):
        """Guards against a split that ignores its weights."""
        known = listed('desk-1')
        known.put_upstream(
            directory_builders.listed('bench-1', service='quote-bench')
        )
        route = directory.Route(
            'board', ADDRESS, {'order-desk': 9.0, 'quote-bench': 1.0}
        )
        known.adopt_routes(directory_builders.table(2, route))
        core = builders.core(known)
        chosen = [
            core.handle(
                b'',
                builders.packet(opens=True, caller=(0x64400000 + n, 40000)),
                ZERO,
            ).forward.upstream_id
            for n in range(1000)
        ]
        self.assertAlmostEqual(100, chosen.count('bench-1'), delta=40)


if __name__ == '__main__':
    unittest.main()
