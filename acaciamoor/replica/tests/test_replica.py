"""Copies that hosts pass on to each other."""

import datetime
import unittest

from acaciamoor import replica
from acaciamoor.replica.tests import builders

SECOND = datetime.timedelta(seconds=1)


class ReplicaTest(unittest.TestCase):
    def test_host_that_knows_nothing_gets_everything(self):
        """Guards against a host that starts without the store and stays empty.

        Changes since version 0 mean nothing to a host without any version.
        """
        source = builders.known(5, builders.put('a', 3))
        fresh = replica.Replica(builders.KIND)
        fresh.apply(source.since(fresh.version))
        self.assertTrue(fresh.known)
        self.assertEqual((5, {'a'}), (fresh.version, fresh.names))

    def test_lagging_host_does_not_bring_back_what_is_gone(self):
        """Guards against an upstream that a relay lists after its end."""
        lagging = builders.known(5, builders.put('a', 3))
        current = builders.known(5, builders.put('a', 3))
        current.apply(
            replica.Batch(5, 9, (builders.removed('a', 9),), whole=False)
        )
        self.assertEqual([], current.apply(lagging.since(0)))
        self.assertEqual((9, frozenset()), (current.version, current.names))

    def test_gap_is_not_skipped(self):
        """Guards against a change that is lost between two sources."""
        copy = builders.known(5)
        late = replica.Batch(7, 9, (builders.put('b', 9),))
        self.assertEqual([], copy.apply(late))
        self.assertEqual(5, copy.version)

    def test_whole_listing_removes_the_rest(self):
        """Guards against entries that live on after history was dropped."""
        copy = builders.known(5, builders.put('a', 3), builders.put('b', 4))
        events = copy.apply(builders.whole(9, builders.put('b', 4)))
        self.assertEqual(['a'], [event.stored.name for event in events])
        self.assertEqual({'b'}, copy.names)

    def test_changes_since_a_version_lead_to_the_same_copy(self):
        """Guards against a listener that differs from its relay."""
        source = builders.known(5, builders.put('a', 3), builders.put('b', 4))
        listener = builders.known(
            5, builders.put('a', 3), builders.put('b', 4)
        )
        source.apply(
            replica.Batch(
                5, 8, (builders.put('c', 6), builders.removed('a', 8))
            )
        )
        source.apply(replica.Batch(8, 9, (builders.put('a', 9),)))
        listener.apply(source.since(listener.version))
        self.assertEqual(source.names, listener.names)
        self.assertEqual(source.version, listener.version)

    def test_confirmation_of_an_older_version_does_not_count(self):
        """Guards against relays that are cut off and look up to date."""
        copy = builders.known(5)
        copy.confirm(5, 1 * SECOND)
        self.assertFalse(copy.confirm(4, 3 * SECOND))
        self.assertEqual(2 * SECOND, copy.age(3 * SECOND))

    def test_late_confirmation_does_not_make_a_copy_older(self):
        """Guards against ages that jump back between two relays."""
        copy = builders.known(5)
        copy.confirm(5, 2 * SECOND)
        copy.confirm(5, 1 * SECOND)
        self.assertEqual(1 * SECOND, copy.age(3 * SECOND))


class MessageTest(unittest.TestCase):
    def test_update_survives_the_wire(self):
        """Guards against removals that arrive as writes."""
        codec = replica.MessageCodec()
        batch = replica.Batch(
            3, 6, (builders.put('a', 5, x=1), builders.removed('b', 6))
        )
        frame = codec.encode(
            replica.Update.of(builders.KIND, batch, 2 * SECOND)
        )
        decoded = codec.decode(frame[codec.header_bytes :])
        self.assertEqual(batch, decoded.batch())
        self.assertEqual(2.0, decoded.age)

    def test_strange_bytes_are_an_error_of_their_own(self):
        """Guards against a connection task that ends with a stray error."""
        codec = replica.MessageCodec()
        for body in (b'', b'\xc1', b'\x81\xa4type\xa5Other'):
            with self.assertRaises(replica.MessageError):
                codec.decode(body)
        with self.assertRaises(replica.MessageError):
            codec.length(b'\xff\xff\xff\xff')


class PeerListTest(unittest.TestCase):
    def setUp(self):
        self.own = builders.peer(1)
        self.peers = replica.PeerList(self.own)

    def test_small_data_centres_use_no_relays(self):
        """Guards against relays that cost more calls than they save."""
        self.peers.replace(builders.peer(number) for number in range(5))
        self.assertEqual((), self.peers.relays(0 * SECOND))
        self.assertEqual(2, len(self.peers.helpers(0 * SECOND)))

    def test_hosts_agree_on_relays(self):
        """Guards against relays that nobody listens to."""
        hosts = [builders.peer(number) for number in range(8)]
        chosen = set()
        for own in hosts:
            peers = replica.PeerList(own)
            peers.replace(hosts)
            chosen.add(peers.relays(0 * SECOND))
        self.assertEqual(1, len(chosen))

    def test_weak_hosts_relay_last(self):
        """Guards against relays whose links cannot carry the changes."""
        hosts = [builders.peer(number) for number in range(8)]
        strong = builders.peer(9, link_mbps=200.0)
        self.peers.replace([*hosts, strong])
        self.assertEqual(strong, self.peers.relays(0 * SECOND)[0])

    def test_lost_relay_is_replaced_for_a_while(self):
        """Guards against listening to a host that is gone."""
        self.peers.replace(builders.peer(number) for number in range(8))
        first = self.peers.relays(0 * SECOND)[0]
        self.peers.avoid(first.host_id, 0 * SECOND)
        self.assertNotIn(first, self.peers.relays(1 * SECOND))
        self.assertEqual(first, self.peers.relays(9 * SECOND)[0])

    def test_other_data_centres_do_not_relay(self):
        """Guards against traffic between data centres, which is paid for."""
        others = [builders.peer(n, 'kgn-b', 200.0) for n in range(20, 40)]
        self.peers.replace([*others, *map(builders.peer, range(8))])
        found = {peer.data_centre for peer in self.peers.relays(0 * SECOND)}
        self.assertEqual({'kgn-a'}, found)


if __name__ == '__main__':
    unittest.main()
