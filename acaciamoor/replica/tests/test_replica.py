"""Replicas, relay messages and the ranking of hosts."""

import datetime
import math
import tracemalloc
import unittest
import zlib

import msgspec

from acaciamoor import replica
from acaciamoor.replica.tests import builders

SECOND = datetime.timedelta(seconds=1)


class ReplicaTest(unittest.TestCase):
    def test_uninitialized_replica_gets_a_snapshot(self):
        """Guards against a host that starts in an outage and stays empty.

        An uninitialized replica cannot apply changes since version 0.
        """
        source = builders.new_replica(5, builders.put('a', 3))
        fresh = replica.Replica(builders.KIND)
        fresh.apply(source.changes_since(fresh.version))
        self.assertTrue(fresh.initialized)
        self.assertEqual((5, {'a'}), (fresh.version, fresh.names))

    def test_lagging_host_does_not_restore_a_deleted_object(self):
        """Guards against a stale relay that restores a deleted upstream."""
        lagging = builders.new_replica(5, builders.put('a', 3))
        current = builders.new_replica(5, builders.put('a', 3))
        current.apply(
            replica.Batch(5, 9, (builders.deleted('a', 9),), snapshot=False)
        )
        self.assertEqual([], current.apply(lagging.changes_since(0)))
        self.assertEqual((9, frozenset()), (current.version, current.names))

    def test_batch_after_a_gap_is_ignored(self):
        """Guards against losing changes when the source switches."""
        target = builders.new_replica(5)
        late = replica.Batch(7, 9, (builders.put('b', 9),))
        self.assertEqual([], target.apply(late))
        self.assertEqual(5, target.version)

    def test_snapshot_removes_all_other_objects(self):
        """Guards against objects that survive a truncated history."""
        target = builders.new_replica(
            5, builders.put('a', 3), builders.put('b', 4)
        )
        events = target.apply(builders.snapshot(9, builders.put('b', 4)))
        self.assertEqual(['a'], [event.stored.name for event in events])
        self.assertEqual({'b'}, target.names)

    def test_changes_since_a_version_give_the_same_replica(self):
        """Guards against a listener that differs from its relay."""
        source = builders.new_replica(
            5, builders.put('a', 3), builders.put('b', 4)
        )
        listener = builders.new_replica(
            5, builders.put('a', 3), builders.put('b', 4)
        )
        source.apply(
            replica.Batch(
                5, 8, (builders.put('c', 6), builders.deleted('a', 8))
            )
        )
        source.apply(replica.Batch(8, 9, (builders.put('a', 9),)))
        listener.apply(source.changes_since(listener.version))
        self.assertEqual(source.names, listener.names)
        self.assertEqual(source.version, listener.version)

    def test_restarted_source_does_not_hide_a_removal(self):
        """Guards against an upstream that has left and stays in use.

        The source has started after the removal and knows nothing of it.
        """
        listener = builders.new_replica(5, builders.put('a', 3))
        restarted = builders.new_replica(9, builders.put('b', 7))
        listener.apply(restarted.changes_since(listener.version))
        self.assertEqual((9, {'b'}), (listener.version, listener.names))

    def test_removal_reaches_a_host_between_two_versions_of_the_source(self):
        """Guards against an upstream that has left and stays in use.

        It was added and removed between two calls of the source; the listener
        has learned of it from another host.
        """
        source = builders.new_replica(5)
        listener = builders.new_replica(5)
        listener.apply(replica.Batch(5, 7, (builders.put('a', 7),)))
        source.apply(replica.Batch(5, 9, (builders.deleted('a', 9),)))
        listener.apply(source.changes_since(listener.version))
        self.assertEqual((9, frozenset()), (listener.version, listener.names))

    def test_large_values_that_change_often_take_little_memory(self):
        """Guards against forwarders that are killed over their memory.

        A replica that keeps values for hosts that have fallen behind grows
        with each configuration. Here 90 of them took 27 MB.
        """
        source = builders.new_replica(1)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for version in range(2, 102):
            event = builders.put_large('main', version)
            source.apply(replica.Batch(version - 1, version, (event,)))
            if version == 11:
                settled, _ = tracemalloc.get_traced_memory()
        grown = tracemalloc.get_traced_memory()[0] - settled
        self.assertLess(grown, builders.LARGE_VALUE_BYTES)

    def test_host_that_has_fallen_behind_gets_only_what_changed(self):
        """Guards against whole collections for hosts that lag a little.

        Keeping changes is for this; their number must not end it.
        """
        source = builders.new_replica(
            1, *(builders.put(f'desk-{number}', 1) for number in range(50))
        )
        listener = builders.new_replica(
            1, *(builders.put(f'desk-{number}', 1) for number in range(50))
        )
        for version in range(2, 5_000):
            event = builders.put('main', version, step=version)
            source.apply(replica.Batch(version - 1, version, (event,)))
        source.apply(
            replica.Batch(4_999, 5_000, (builders.deleted('desk-7', 5_000),))
        )
        batch = source.changes_since(listener.version)
        self.assertFalse(batch.snapshot)
        self.assertEqual(
            ['main', 'desk-7'], [event.stored.name for event in batch.events]
        )
        self.assertEqual({'step': 4_999}, batch.events[0].stored.value)
        listener.apply(batch)
        self.assertEqual(source.names, listener.names)

    def test_kept_changes_are_limited_by_their_memory(self):
        """Guards against long names of another writer that fill the memory.

        Each object is written and removed again; 2,000 names take 20 MB.
        """
        source = builders.new_replica(1)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for version in range(2, 4_002, 2):
            name = f'{version:04}' * 2_500
            for event in (
                builders.put(name, version),
                builders.deleted(name, version + 1),
            ):
                source.apply(
                    replica.Batch(source.version, event.version, (event,))
                )
        used, _ = tracemalloc.get_traced_memory()
        self.assertLess(used, 2 * replica.MAX_LOG_BYTES)
        # A host at an older version than the log gets everything.
        self.assertTrue(source.changes_since(2).snapshot)
        lagging = source.changes_since(source.version - 4)
        self.assertFalse(lagging.snapshot)
        self.assertEqual(2, len(lagging.events))

    def test_hosts_that_confirm_each_other_grow_old(self):
        """Guards against hosts that are cut off and do not notice.

        Each message takes longer than the interval between two of them, so
        the age that arrives is always too small.
        """
        hosts = [
            replica.Replica(builders.KIND, f'host-{number}')
            for number in range(2)
        ]
        for host in hosts:
            host.apply(builders.snapshot(5))
            host.confirm_by_store(5, 0 * SECOND)
        for step in range(1, 20):
            sent_at = step * SECOND / 2
            messages = [replica.Progress.of(host, sent_at) for host in hosts]
            for host, message in zip(hosts, reversed(messages), strict=True):
                message.confirm(host, sent_at + 0.6 * SECOND)
        for host in hosts:
            self.assertGreater(host.age(10 * SECOND), 9 * SECOND)

    def test_confirmation_of_an_older_version_is_ignored(self):
        """Guards against partitioned relays that seem up to date."""
        target = builders.new_replica(5)
        target.confirm_by_store(5, 1 * SECOND)
        self.assertFalse(target.confirm_by_store(4, 3 * SECOND))
        self.assertEqual(2 * SECOND, target.age(3 * SECOND))

    def test_late_confirmation_does_not_increase_the_age(self):
        """Guards against ages that alternate between two relays."""
        target = builders.new_replica(5)
        target.confirm_by_store(5, 2 * SECOND)
        target.confirm_by_store(5, 1 * SECOND)
        self.assertEqual(1 * SECOND, target.age(3 * SECOND))


class MessageTest(unittest.TestCase):
    def test_update_is_decoded_as_it_was_encoded(self):
        """Guards against deletions that are decoded as writes."""
        codec = replica.MessageCodec()
        batch = replica.Batch(
            3, 6, (builders.put('a', 5, x=1), builders.deleted('b', 6))
        )
        source = builders.new_replica(6)
        source.confirm_by_store(6, 1 * SECOND)
        frame = codec.encode(
            replica.Update.from_batch(source, batch, 3 * SECOND)
        )
        decoded = codec.decode(frame[codec.header_bytes :])
        self.assertEqual(batch, decoded.to_batch())
        self.assertEqual(
            (6, 2.0), (decoded.progress.version, decoded.progress.age)
        )

    def test_large_messages_are_compressed(self):
        """Guards against whole collections that fill narrow links."""
        codec = replica.MessageCodec()
        source = builders.new_replica(
            900,
            *(
                builders.put(f'desk-{number}', number, state='ready')
                for number in range(1, 900)
            ),
        )
        update = replica.Update.from_batch(
            source, source.changes_since(0), 0 * SECOND
        )
        frame = codec.encode(update)
        self.assertLess(len(frame), 10_000)
        self.assertEqual(update, codec.decode(frame[codec.header_bytes :]))

    def test_compressed_message_without_end_raises_message_error(self):
        """Guards against a message that fills the memory of a host."""
        codec = replica.MessageCodec()
        bomb = zlib.compress(bytes(replica.messages.MAX_MESSAGE_BYTES + 1))
        for data in (bomb, bomb[:-9], b'no zlib'):
            body = msgspec.msgpack.encode(replica.messages.Compressed(data))
            with self.assertRaises(replica.MessageError):
                codec.decode(body)

    def test_malformed_bytes_raise_message_error(self):
        """Guards against connection tasks that fail with other errors."""
        codec = replica.MessageCodec()
        nested = b'\x91' * 100_000
        for body in (b'', b'\xc1', b'\x81\xa4type\xa5Other', nested):
            with self.assertRaises(replica.MessageError):
                codec.decode(body)
        with self.assertRaises(replica.MessageError):
            codec.decode_length(b'\xff\xff\xff\xff')

    def test_malformed_addresses_raise_message_error(self):
        """Guards against links and listeners that fail with other errors.

        Only this one makes a link wait before it connects again.
        """
        codec = replica.MessageCodec()
        for address in (('::1', -1), ('::1', 65536), ('nowhere', 80)):
            peer = ['h', 'kgn-a', *address, 10.0]
            body = {'type': 'Peers', 'peers': [peer]}
            message = codec.decode(msgspec.msgpack.encode(body))
            with self.assertRaises(replica.MessageError):
                message.peers[0].to_peer()

    def test_values_out_of_range_raise_message_error(self):
        """Guards against a task that ends at a message of a faulty host."""
        codec = replica.MessageCodec()
        for number in (math.nan, math.inf, 1e300):
            for body in (
                ['Beat', {'progress_by_kind': {'servers': [5, number]}}],
                ['Peers', {'peers': [['h', 'kgn-a', '::1', 80, number]]}],
            ):
                message = {'type': body[0], **body[1]}
                with self.assertRaises(replica.MessageError):
                    codec.decode(msgspec.msgpack.encode(message))
        never = codec.decode(
            msgspec.msgpack.encode(
                {'type': 'Beat', 'progress_by_kind': {'servers': [5, -1.0]}}
            )
        )
        target = builders.new_replica(5)
        progress = never.progress_by_kind['servers']
        self.assertFalse(progress.confirm(target, 9 * SECOND))


class PeerListTest(unittest.TestCase):
    def setUp(self):
        self.own = builders.peer(1)
        self.peers = replica.PeerList(self.own)

    def test_small_data_centre_uses_no_relays(self):
        """Guards against relays that make more calls than they save."""
        self.peers.add(builders.peer(number) for number in range(5))
        self.assertEqual((), self.peers.relays(0 * SECOND))
        self.assertEqual(2, len(self.peers.fallback_peers(0 * SECOND)))

    def test_host_with_most_bandwidth_relays_first(self):
        """Guards against relays whose links are too slow for the changes."""
        hosts = [builders.peer(number) for number in range(8)]
        fastest = builders.peer(9, link_mbps=200.0)
        self.peers.add([*hosts, fastest])
        self.assertEqual(fastest, self.peers.relays(0 * SECOND)[0])

    def test_unreachable_relay_is_skipped_for_some_time(self):
        """Guards against reconnecting to a dead host all the time."""
        self.peers.add(builders.peer(number) for number in range(8))
        first = self.peers.relays(0 * SECOND)[0]
        self.peers.mark_unreachable(first.host_id, 0 * SECOND)
        self.assertNotIn(first, self.peers.relays(1 * SECOND))
        self.assertEqual(first, self.peers.relays(9 * SECOND)[0])

    def test_hosts_that_are_gone_are_skipped_for_longer(self):
        """Guards against hosts that leave good relays to try dead ones."""
        self.peers.add(builders.peer(number) for number in range(8))
        first = self.peers.relays(0 * SECOND)[0]
        for second in (0, 4, 12):
            self.assertIn(first, self.peers.relays(second * SECOND))
            self.peers.mark_unreachable(first.host_id, second * SECOND)
        self.assertNotIn(first, self.peers.relays(27 * SECOND))
        self.peers.mark_reachable(first.host_id)
        self.peers.mark_unreachable(first.host_id, 28 * SECOND)
        self.assertIn(first, self.peers.relays(32 * SECOND))

    def test_widest_links_register_first(self):
        """Guards against a write of every host at each start of a site."""
        delays = [
            replica.PeerList(
                builders.peer(1, link_mbps=width)
            ).registration_delay
            for width in (1e6, 1000.0, 100.0, 10.0, 0.0)
        ]
        self.assertEqual([0 * SECOND] * 2, delays[:2])
        self.assertEqual(sorted(delays), delays)
        self.assertEqual(2 * SECOND, delays[-1])

    def test_host_registers_if_the_listed_ones_are_gone(self):
        """Guards against a data centre that lists only dead relays."""
        wide = [builders.peer(n, link_mbps=100.0) for n in range(10, 14)]
        self.peers.add([*wide, builders.peer(2)])
        self.assertFalse(self.peers.needs_registration(0 * SECOND))
        self.peers.mark_unreachable(wide[0].host_id, 0 * SECOND)
        self.assertTrue(self.peers.needs_registration(1 * SECOND))
        for item in (*wide, builders.peer(2)):
            self.peers.mark_unreachable(item.host_id, 1 * SECOND)
        self.assertTrue(self.peers.has_lost_relays(2 * SECOND))
        self.peers.mark_reachable(wide[1].host_id)
        self.assertFalse(self.peers.has_lost_relays(2 * SECOND))

    def test_address_of_a_known_host_is_not_replaced_by_hearsay(self):
        """Guards against hosts that correct each other without end."""
        self.peers.add([builders.peer(2)])
        moved = replica.Peer('h-2', 'kgn-a', builders.peer(99).address, 10.0)
        self.assertEqual([], self.peers.add([moved], replace=False))
        self.assertEqual([moved], self.peers.add([moved]))
        self.assertEqual([], self.peers.add([moved]))


if __name__ == '__main__':
    unittest.main()
