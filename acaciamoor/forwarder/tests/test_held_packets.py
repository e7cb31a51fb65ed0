"""Packets of open flows that reach a host before its first lists."""

import unittest

from acaciamoor import directory
from acaciamoor import forwarder
from acaciamoor.directory.tests import builders as directory_builders
from acaciamoor.forwarder.tests import builders

MS = builders.MS
ZERO = 0 * MS
ADDRESS = builders.ADDRESS


class HoldTest(unittest.TestCase):
    def setUp(self):
        self.token = directory_builders.new_directory(
            directory_builders.upstream_entry('desk-1')
        ).token_of(ADDRESS, 'desk-1')
        self.directory = directory.Directory()
        self.core = builders.core(self.directory)

    def handle(self, sequence, now=ZERO):
        return self.core.handle(
            b'%d' % sequence,
            builders.packet(token=self.token, sequence=sequence, length=9),
            now,
        )

    def give_lists(self):
        table = directory_builders.table(1, directory_builders.route())
        self.directory.adopt_routes(table)
        self.directory.put_upstream(
            directory_builders.upstream_entry('desk-1')
        )
        self.directory.confirm_entries(1)

    def test_packets_are_forwarded_in_order_when_the_lists_arrive(self):
        """Guards against callers that wait for their next retransmission."""
        for sequence in (100, 109, 118):
            waits = self.handle(sequence)
            self.assertIsInstance(waits, forwarder.Wait)
        self.assertEqual([], self.core.resume_waiting(10 * MS))
        self.give_lists()
        sent = [item.data for item in self.core.resume_waiting(20 * MS)]
        self.assertEqual([b'100', b'109', b'118'], sent)
        self.assertEqual([], self.core.resume_waiting(30 * MS))

    def test_copies_of_a_packet_are_forwarded_once(self):
        """Guards against a burst of copies at upstreams that recover."""
        for step in range(3):
            self.handle(100, step * 200 * MS)
        self.give_lists()
        self.assertEqual(1, len(self.core.resume_waiting(600 * MS)))

    def test_packets_are_dropped_in_time(self):
        """Guards against packets that are kept while the store is away."""
        self.handle(100)
        self.assertEqual(1000 * MS, self.core.next_retry_at())
        self.assertEqual(
            [forwarder.Drop(forwarder.DropReason.UNKNOWN_TOKEN)],
            self.core.retry_openings(1000 * MS),
        )
        self.give_lists()
        self.assertEqual([], self.core.resume_waiting(1010 * MS))

    def test_packets_of_before_a_pause_are_discarded(self):
        """Guards against packets that a resumed host forwards too late."""
        self.handle(100)
        self.core.discard_pending()
        self.give_lists()
        self.assertEqual([], self.core.resume_waiting(ZERO))

    def test_number_of_packets_is_bounded(self):
        """Guards against a flood that fills the memory of a host."""
        for sequence in range(2000):
            self.handle(sequence)
        self.give_lists()
        self.assertLessEqual(len(self.core.resume_waiting(ZERO)), 512)

    def test_opening_is_placed_when_the_lists_arrive(self):
        """Guards against openings that wait for the next periodic retry."""
        self.core.handle(b'', builders.packet(opens=True), ZERO)
        self.give_lists()
        placed = self.core.resume_waiting(1 * MS)
        self.assertEqual(
            ['desk-1'], [item.forward.upstream_id for item in placed]
        )


if __name__ == '__main__':
    unittest.main()
