"""What a host acts on while routes and upstreams change."""

import unittest

from acaciamoor import directory
from acaciamoor import tokens
from acaciamoor.directory.tests import builders

SECOND = builders.SECOND
ADDRESS = builders.ADDRESS


def names(candidates) -> list[str]:
    """Return the identifiers of upstreams."""
    return [item.upstream_id for item in candidates]


class RouteTest(unittest.TestCase):
    def test_older_configuration_is_passed_over(self):
        """Guards against a configuration that reverts."""
        known = directory.Directory()
        self.assertTrue(known.adopt_routes(builders.table(7)))
        self.assertFalse(known.adopt_routes(builders.table(5)))
        self.assertFalse(known.adopt_routes(builders.table(7)))
        self.assertEqual(7, known.route_version)

    def test_new_configuration_leaves_open_flows(self):
        """Guards against flows that break when a route changes service."""
        known = builders.filled(builders.listed('desk-1'))
        token = known.token_of(ADDRESS, 'desk-1')
        known.adopt_routes(
            builders.table(2, builders.route(services=('quote-bench',)))
        )
        self.assertEqual('desk-1', known.find(ADDRESS, token).upstream_id)


class UpstreamTest(unittest.TestCase):
    def test_draining_upstream_keeps_its_flows_only(self):
        """Guards against new flows at an upstream that leaves."""
        known = builders.filled(
            builders.listed('desk-1'), builders.listed('desk-2')
        )
        token = known.token_of(ADDRESS, 'desk-1')
        known.put_upstream(builders.listed('desk-1', 2, draining=True))
        found = known.candidates(builders.SERVICE, 0 * SECOND)
        self.assertEqual(['desk-2'], names(found))
        self.assertEqual('desk-1', known.find(ADDRESS, token).upstream_id)

    def test_older_entry_is_passed_over(self):
        """Guards against a host that lags and reverts a drain."""
        known = builders.filled(builders.listed('desk-1', 5, draining=True))
        self.assertFalse(known.put_upstream(builders.listed('desk-1', 4)))
        self.assertEqual((), known.candidates(builders.SERVICE, 0 * SECOND))

    def test_removed_upstream_keeps_its_flows(self):
        """Guards against open flows that break when an entry expires."""
        known = builders.filled(builders.listed('desk-1'))
        token = known.token_of(ADDRESS, 'desk-1')
        known.remove_upstream('desk-1', 1 * SECOND)
        known.expire(60 * SECOND)
        self.assertEqual('desk-1', known.find(ADDRESS, token).upstream_id)
        known.expire(62 * SECOND)
        self.assertIsNone(known.find(ADDRESS, token))

    def test_reused_address_gets_no_packets_of_old_flows(self):
        """Guards against a packet for one service that reaches another.

        The new upstream has the address of the old one. Packets of old flows
        still name the old one, which the new one ignores.
        """
        old = builders.listed('desk-1', port=9000)
        known = builders.filled(old)
        token = known.token_of(ADDRESS, 'desk-1')
        known.remove_upstream('desk-1', 1 * SECOND)
        new = builders.listed('bench-1', 9, service='quote-bench', port=9000)
        known.put_upstream(new)
        found = known.find(ADDRESS, token)
        self.assertEqual(old.number, found.number)
        self.assertNotEqual(new.number, found.number)

    def test_lapse_of_most_entries_does_not_empty_a_service(self):
        """Guards against refusing all flows when entries expire at once."""
        known = builders.filled(
            *(builders.listed(f'desk-{number}') for number in range(4))
        )
        for number in range(3):
            known.remove_upstream(f'desk-{number}', 10 * SECOND)
        early = known.candidates(builders.SERVICE, 11 * SECOND)
        self.assertEqual(4, len(early))
        late = known.candidates(builders.SERVICE, 12.1 * SECOND)
        self.assertEqual(['desk-3'], names(late))

    def test_single_upstream_that_is_gone_gets_nothing_new(self):
        """Guards against new flows at an upstream that has left."""
        known = builders.filled(
            *(builders.listed(f'desk-{number}') for number in range(4))
        )
        known.remove_upstream('desk-0', 10 * SECOND)
        found = known.candidates(builders.SERVICE, 10 * SECOND)
        self.assertEqual(['desk-1', 'desk-2', 'desk-3'], names(found))

    def test_entry_that_is_back_is_used_at_once(self):
        """Guards against an upstream that stays out after a lapse."""
        known = builders.filled(builders.listed('desk-1'))
        known.remove_upstream('desk-1', 1 * SECOND)
        known.put_upstream(builders.listed('desk-1', 8))
        found = known.candidates(builders.SERVICE, 9 * SECOND)
        self.assertEqual(['desk-1'], names(found))

    def test_token_of_a_new_upstream_is_found(self):
        """Guards against an index that was built before the upstream came."""
        known = builders.filled(builders.listed('desk-1'))
        known.find(ADDRESS, 1)
        known.put_upstream(builders.listed('desk-2', 2))
        token = tokens.flow_token('desk-2', ADDRESS)
        self.assertEqual('desk-2', known.find(ADDRESS, token).upstream_id)


if __name__ == '__main__':
    unittest.main()
