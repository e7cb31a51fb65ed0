"""Lookups while routes and upstreams change."""

import tracemalloc
import unittest

from acaciamoor import directory
from acaciamoor import tokens
from acaciamoor.directory.tests import builders
from acaciamoor.platform import versions

SECOND = builders.SECOND
ADDRESS = builders.ADDRESS


def names(candidates) -> list[str]:
    """Return the identifiers of the candidates."""
    return [item.upstream_id for item in candidates]


class RouteTest(unittest.TestCase):
    def test_older_configuration_is_ignored(self):
        """Guards against reverting to an older configuration."""
        routing = directory.Directory()
        self.assertTrue(routing.adopt_routes(builders.table(7)))
        self.assertFalse(routing.adopt_routes(builders.table(5)))
        self.assertFalse(routing.adopt_routes(builders.table(7)))
        self.assertEqual(7, routing.route_version)

    def test_new_configuration_does_not_move_open_flows(self):
        """Guards against breaking flows when a route changes its service."""
        routing = builders.new_directory(builders.upstream_entry('desk-1'))
        token = routing.token_of(ADDRESS, 'desk-1')
        routing.adopt_routes(
            builders.table(2, builders.route(services=('quote-bench',)))
        )
        self.assertEqual(
            'desk-1', routing.find_upstream(ADDRESS, token).upstream_id
        )

    def test_removed_routes_take_no_memory(self):
        """Guards against a host that grows with each change of its routes."""
        routing = builders.new_directory(builders.upstream_entry('desk-1'))
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for version in range(2, 1_000):
            address = (7, version)
            routing.adopt_routes(
                builders.table(version, builders.route(address))
            )
            self.assertIsNotNone(routing.token_of(address, 'desk-1'))
        used, _ = tracemalloc.get_traced_memory()
        self.assertLess(used, 100_000)


class UpstreamTest(unittest.TestCase):
    def test_draining_upstream_gets_no_new_flows(self):
        """Guards against new flows, or lost open flows, during a drain."""
        routing = builders.new_directory(
            builders.upstream_entry('desk-1'),
            builders.upstream_entry('desk-2'),
        )
        token = routing.token_of(ADDRESS, 'desk-1')
        routing.put_upstream(
            builders.upstream_entry('desk-1', 2, draining=True)
        )
        found = routing.candidates(builders.SERVICE, 0 * SECOND)
        self.assertEqual(['desk-2'], names(found))
        self.assertEqual(
            'desk-1', routing.find_upstream(ADDRESS, token).upstream_id
        )

    def test_older_entry_is_ignored(self):
        """Guards against reverting a drain by data from a lagging host."""
        routing = builders.new_directory(
            builders.upstream_entry('desk-1', 5, draining=True)
        )
        self.assertFalse(
            routing.put_upstream(builders.upstream_entry('desk-1', 4))
        )
        self.assertEqual((), routing.candidates(builders.SERVICE, 0 * SECOND))

    def test_removed_upstream_keeps_its_open_flows(self):
        """Guards against breaking open flows when an entry expires."""
        routing = builders.new_directory(builders.upstream_entry('desk-1'))
        token = routing.token_of(ADDRESS, 'desk-1')
        routing.remove_upstream('desk-1', 1 * SECOND)
        routing.expire(60 * SECOND)
        self.assertEqual(
            'desk-1', routing.find_upstream(ADDRESS, token).upstream_id
        )
        routing.expire(62 * SECOND)
        self.assertIsNone(routing.find_upstream(ADDRESS, token))

    def test_reused_address_accepts_no_packets_of_old_flows(self):
        """Guards against a packet for one service that reaches another one.

        The new upstream has the address of the old one. Packets of old flows
        still carry the identifier of the old one, so the new one ignores them.
        """
        old = builders.upstream_entry('desk-1', port=9000)
        routing = builders.new_directory(old)
        token = routing.token_of(ADDRESS, 'desk-1')
        routing.remove_upstream('desk-1', 1 * SECOND)
        new = builders.upstream_entry(
            'bench-1', 9, service='quote-bench', port=9000
        )
        routing.put_upstream(new)
        found = routing.find_upstream(ADDRESS, token)
        self.assertEqual(old.wire_id, found.wire_id)
        self.assertNotEqual(new.wire_id, found.wire_id)

    def test_mass_removal_keeps_upstreams_for_the_grace_period(self):
        """Guards against losing a service when most entries expire at once."""
        routing = builders.new_directory(
            *(builders.upstream_entry(f'desk-{number}') for number in range(4))
        )
        for number in range(3):
            routing.remove_upstream(f'desk-{number}', 10 * SECOND)
        early = routing.candidates(builders.SERVICE, 11 * SECOND)
        self.assertEqual(4, len(early))
        late = routing.candidates(builders.SERVICE, 12.1 * SECOND)
        self.assertEqual(['desk-3'], names(late))

    def remove_most(self, now, contact):
        """Return a directory after 3 of 4 upstreams were removed at once."""
        routing = builders.new_directory(
            *(builders.upstream_entry(f'desk-{number}') for number in range(4))
        )
        for number in range(3):
            routing.remove_upstream(f'desk-{number}', now, contact)
        return routing

    def test_late_news_of_a_mass_removal_does_not_extend_its_bound(self):
        """Guards against new flows at upstreams that are gone (review/3).

        The store answers all the while, but the host learns of a removal
        1.8 s after it had the list before. The removal may be as old.
        """
        listed_at = 10 * SECOND
        routing = self.remove_most(
            listed_at + 1.8 * SECOND, directory.StoreContact(listed_at)
        )
        early = routing.candidates(builders.SERVICE, listed_at + 2.5 * SECOND)
        self.assertEqual(4, len(early))
        late = routing.candidates(
            builders.SERVICE, listed_at + builders.CHANGE_BOUND
        )
        self.assertEqual(['desk-3'], names(late))

    def test_upstreams_that_expired_in_an_outage_stay_in_use(self):
        """Guards against losing a service when the store comes back.

        Entries expire while upstreams cannot reach the store, and are back
        within 2 s. Calls of this host failed until the store came back.
        """
        for failed_for in (0.1, 0.8, 1.9):
            back_at = 30 * SECOND
            failed_at = back_at - failed_for * SECOND
            routing = self.remove_most(
                back_at, directory.StoreContact(20 * SECOND, failed_at)
            )
            with self.subTest(failed_for=failed_for):
                kept = routing.candidates(
                    builders.SERVICE, back_at + 1.75 * SECOND
                )
                self.assertEqual(4, len(kept))
                late = routing.candidates(
                    builders.SERVICE, back_at + 2 * SECOND
                )
                self.assertEqual(['desk-3'], names(late))

    def test_host_that_was_cut_off_keeps_its_bound(self):
        """Guards against new flows at upstreams that are gone.

        A host cannot tell a cut of its own path from an outage. It must be up
        to date 4 s after the end of a cut, which is after the start of its
        last call that failed.
        """
        failed_at = 30 * SECOND
        routing = self.remove_most(
            failed_at + 3.2 * SECOND,
            directory.StoreContact(20 * SECOND, failed_at),
        )
        late = routing.candidates(
            builders.SERVICE, failed_at + builders.RECOVERY_BOUND
        )
        self.assertEqual(['desk-3'], names(late))

    def test_old_list_without_failed_calls_gives_no_grace(self):
        """Guards against new flows at upstreams that are gone.

        The process was stopped, and the store answers its first call.
        """
        for contact in (
            directory.StoreContact(20 * SECOND),
            directory.StoreContact(20 * SECOND, 19 * SECOND),
            directory.StoreContact(None),
        ):
            routing = self.remove_most(30 * SECOND, contact)
            found = routing.candidates(builders.SERVICE, 30 * SECOND)
            self.assertEqual(['desk-3'], names(found))

    def test_single_removed_upstream_gets_no_new_flows(self):
        """Guards against new flows at an upstream that has left."""
        routing = builders.new_directory(
            *(builders.upstream_entry(f'desk-{number}') for number in range(4))
        )
        routing.remove_upstream('desk-0', 10 * SECOND)
        found = routing.candidates(builders.SERVICE, 10 * SECOND)
        self.assertEqual(['desk-1', 'desk-2', 'desk-3'], names(found))

    def test_restored_entry_is_used_at_once(self):
        """Guards against ignoring an upstream that has registered again."""
        routing = builders.new_directory(builders.upstream_entry('desk-1'))
        routing.remove_upstream('desk-1', 1 * SECOND)
        routing.put_upstream(builders.upstream_entry('desk-1', 8))
        found = routing.candidates(builders.SERVICE, 9 * SECOND)
        self.assertEqual(['desk-1'], names(found))

    def test_new_upstream_is_found_by_its_token(self):
        """Guards against a stale index from before the upstream was added."""
        routing = builders.new_directory(builders.upstream_entry('desk-1'))
        routing.find_upstream(ADDRESS, 1)
        routing.put_upstream(builders.upstream_entry('desk-2', 2))
        token = tokens.compute_token('desk-2', ADDRESS)
        self.assertEqual(
            'desk-2', routing.find_upstream(ADDRESS, token).upstream_id
        )


class RestoredStoreTest(unittest.TestCase):
    """The store comes back from an older copy, in its second era."""

    def put(self, routing, name, **fields) -> bool:
        """Put an entry of the copy; return whether it is used."""
        revision = versions.make_version(2, 1)
        return routing.put_upstream(
            builders.upstream_entry(name, revision, **fields)
        )

    def make_directory(self, **fields) -> directory.Directory:
        """Return a directory from the first era."""
        revision = versions.make_version(1, 9)
        return builders.new_directory(
            builders.upstream_entry('desk-1', revision, sequence=5, **fields)
        )

    def test_copy_does_not_revert_a_drain(self):
        """Guards against new flows at an upstream that has said it leaves."""
        routing = self.make_directory(draining=True)
        self.assertFalse(self.put(routing, 'desk-1', sequence=4))
        self.assertEqual((), routing.candidates(builders.SERVICE, 0 * SECOND))

    def test_copy_does_not_bring_back_an_upstream_that_has_left(self):
        """Guards against new flows at an address that is used again."""
        routing = self.make_directory(draining=True)
        routing.remove_upstream('desk-1', 1 * SECOND)
        self.assertFalse(self.put(routing, 'desk-1', sequence=4))
        self.assertEqual((), routing.candidates(builders.SERVICE, 2 * SECOND))

    def test_upstream_that_registers_again_is_used(self):
        """Guards against losing upstreams whose entries were lost."""
        routing = self.make_directory()
        routing.remove_upstream('desk-1', 1 * SECOND)
        self.assertTrue(self.put(routing, 'desk-1', sequence=5))
        found = routing.candidates(builders.SERVICE, 1 * SECOND)
        self.assertEqual(['desk-1'], names(found))

    def test_upstream_that_started_again_is_used(self):
        """Guards against comparing the numbers of two processes."""
        routing = self.make_directory(draining=True)
        restarted_at = builders.STARTED_AT + 60 * SECOND
        self.assertTrue(
            self.put(routing, 'desk-1', sequence=1, started_at=restarted_at)
        )
        found = routing.candidates(builders.SERVICE, 0 * SECOND)
        self.assertEqual(['desk-1'], names(found))

    def test_copy_of_a_known_entry_is_no_change(self):
        """Guards against upstreams that warm up again without a restart."""
        routing = self.make_directory()
        self.assertFalse(self.put(routing, 'desk-1', sequence=5))
        # Entries of the second era are ordered by their revision again.
        revision = versions.make_version(2, 2)
        self.assertTrue(
            routing.put_upstream(
                builders.upstream_entry(
                    'desk-1', revision, sequence=6, draining=True
                )
            )
        )


if __name__ == '__main__':
    unittest.main()
