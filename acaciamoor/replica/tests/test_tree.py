"""The tree in which hosts pass on what the store says."""

import collections
import datetime
import unittest

from acaciamoor import replica
from acaciamoor.replica.tests import builders

SECOND = datetime.timedelta(seconds=1)
NOW = 0 * SECOND
WIDE_HOSTS = 3


def site(data_centres: int, hosts: int) -> list[replica.Peer]:
    """Return the hosts of a site, a few with wide links in each part."""
    return [
        builders.peer(
            1000 * part + number,
            f'dc-{part}',
            100.0 if number < WIDE_HOSTS else 10.0,
        )
        for part in range(data_centres)
        for number in range(hosts)
    ]


def peer_lists(
    peers: list[replica.Peer], gone: tuple[replica.Peer, ...] = ()
) -> dict[replica.Peer, replica.PeerList]:
    """Return what each host knows; all have noticed that some are gone."""
    found = {}
    for own in peers:
        if own not in gone:
            found[own] = replica.PeerList(own)
            found[own].add(peers)
            for peer in gone:
                found[own].mark_unreachable(peer.host_id, NOW)
    return found


class TreeTest(unittest.TestCase):
    SITES = ((1, 7), (3, 3), (5, 39), (2, 367))

    def depths(self, lists) -> dict[replica.Peer, int]:
        """Return the distance of each host from the relay of the site."""
        depths = {}

        def depth(own, path=()):
            if lists[own].role(NOW) is replica.Role.RELAY:
                return 0
            self.assertNotIn(own, path, 'hosts that only hear each other')
            if own not in depths:
                depths[own] = 1 + min(
                    depth(source, (*path, own))
                    for source in lists[own].relays(NOW)
                    if source not in (*path, own)
                )
            return depths[own]

        for own in lists:
            depth(own)
        return depths

    def assert_tree(self, lists):
        roles = collections.Counter(item.role(NOW) for item in lists.values())
        self.assertEqual(1, roles[replica.Role.RELAY])
        self.assertEqual(1, roles[replica.Role.STANDBY])
        self.assertLessEqual(max(self.depths(lists).values()), 4)

    def test_one_host_watches_the_store_for_the_site(self):
        """Guards against a number of calls that grows with data centres."""
        for size in self.SITES:
            with self.subTest(size=size):
                self.assert_tree(peer_lists(site(*size)))

    def test_tree_is_whole_without_its_best_hosts(self):
        """Guards against hosts that hear nothing after a failure."""
        for size in ((3, 3), (5, 39)):
            with self.subTest(size=size):
                peers = site(*size)
                lists = peer_lists(peers)
                best = [
                    own
                    for own, item in lists.items()
                    if item.role(NOW) is not replica.Role.LISTENER
                ][:3]
                self.assert_tree(peer_lists(peers, tuple(best)))

    def test_tree_is_whole_without_a_data_centre(self):
        """Guards against a standby that fails together with the relay."""
        peers = site(5, 39)
        lists = peer_lists(peers)
        relay = next(
            own
            for own, item in lists.items()
            if item.role(NOW) is replica.Role.RELAY
        )
        lost = tuple(
            peer for peer in peers if peer.data_centre == relay.data_centre
        )
        standby = next(
            own
            for own, item in lists.items()
            if item.role(NOW) is replica.Role.STANDBY
        )
        self.assertNotIn(standby, lost)
        self.assert_tree(peer_lists(peers, lost))

    def test_few_connections_cross_between_data_centres(self):
        """Guards against traffic between data centres, which is billed."""
        lists = peer_lists(site(5, 39))
        crossing = collections.Counter(
            own.data_centre
            for own, item in lists.items()
            for source in item.relays(NOW)
            if source.data_centre != own.data_centre
        )
        self.assertLessEqual(max(crossing.values()), 3)

    def test_listeners_of_the_busiest_host_stay_few(self):
        """Guards against a relay whose load grows with the hosts.

        Between 100 and 300 hosts it may grow by a power of 0.3 at most.
        """
        busiest = {}
        for hosts in (20, 60, 367):
            lists = peer_lists(site(5, hosts))
            counts = collections.Counter(
                source
                for item in lists.values()
                for source in item.relays(NOW)
            )
            busiest[hosts] = max(counts.values())
        self.assertLessEqual(busiest[60], busiest[20] * 3**0.3)
        self.assertLess(busiest[367], 80)

    def test_hosts_learn_of_few_hosts_elsewhere(self):
        """Guards against lists of all hosts of all sites on every host."""
        peers = site(30, 367)
        known = replica.PeerList(peers[0])
        known.add(peers)
        shared = list(known.select_shared('dc-1'))
        self.assertEqual(367 + 29 * 4, len(shared))
        self.assertTrue(known.is_shared(peers[366]))
        shared_elsewhere = sum(map(known.is_shared, peers[367 : 2 * 367]))
        self.assertEqual(4, shared_elsewhere)


if __name__ == '__main__':
    unittest.main()
