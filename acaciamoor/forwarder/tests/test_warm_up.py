"""Openings that wait for the pace of upstreams in warm-up."""

import datetime
import random
import types
import unittest

from acaciamoor import clock
from acaciamoor import directory as directories
from acaciamoor import forwarder
from acaciamoor import pacing
from acaciamoor import platform
from acaciamoor import replica
from acaciamoor.directory.tests import builders as directory_builders
from acaciamoor.forwarder.shell import directory_updater
from acaciamoor.forwarder.tests import builders

MS = builders.MS
SECOND = directory_builders.SECOND
SERVICE = directory_builders.SERVICE
WAITING = forwarder.Wait(forwarder.WaitReason.WARM_UP)
# Two openings in a second at each upstream.
RATE = 2.0


def make_table(rate=RATE):
    """Return routes to a service with a rate for warm-up."""
    limits = directories.ServiceLimits(0, 60 * SECOND, rate)
    return directories.RouteTable(
        2,
        directory_builders.table().routes_by_address,
        types.MappingProxyType({SERVICE: limits}),
    )


class WarmUpTest(unittest.TestCase):
    def setUp(self):
        self.directory = directory_builders.new_directory(
            directory_builders.upstream_entry('desk-1')
        )
        self.directory.adopt_routes(make_table())
        self.core = forwarder.ForwarderCore(
            forwarder.CoreSettings(
                'kgn-a', host_id='h-1', pacing=pacing.PacingSettings(1.0, 0.0)
            ),
            self.directory,
            random.Random(1),
        )
        self.core.pacer.update_hosts({'kgn-a': ['h-1']}, -9 * SECOND)
        self.core.pacer.set_warm_up('desk-1', 60 * SECOND, 0 * SECOND)

    def open_flow(self, at, port=1, copies=0):
        """Return the decision about an opening packet."""
        packet = builders.packet(
            opens=True, acknowledged=copies, caller=(7, port)
        )
        return self.core.handle(b'syn', packet, at)

    def fill(self):
        """Use up what the pace allows in the first second."""
        for port in (901, 902):
            self.assertIsInstance(
                self.open_flow(0 * MS, port), forwarder.Placement
            )

    def retry_at(self, *times):
        """Return how many openings are sent at each time, in ms."""
        return [
            sum(
                isinstance(item, forwarder.Placement)
                for item in self.core.retry_openings(at * MS)
            )
            for at in times
        ]

    def test_opening_waits_until_the_pace_allows_it(self):
        """Guards against openings beyond the pace, and against lost ones.

        The host's own repeats of the first two would exceed the pace.
        """
        self.fill()
        self.assertEqual(WAITING, self.open_flow(10 * MS, 1))
        self.assertEqual([0, 0, 0, 1], self.retry_at(50, 100, 1000, 1060))

    def test_line_is_kept(self):
        """Guards against a new opening that overtakes those that wait."""
        self.fill()
        self.open_flow(10 * MS, 1)
        self.assertEqual(WAITING, self.open_flow(1050 * MS, 2))
        self.assertEqual([2], self.retry_at(1095))

    def test_opening_is_refused_at_once_where_waiting_is_useless(self):
        """Guards against callers that wait for what cannot come.

        Two openings are possible before callers give up.
        """
        self.fill()
        for port in (1, 2):
            self.assertEqual(WAITING, self.open_flow(10 * MS, port))
        refused = self.open_flow(10 * MS, 3)
        self.assertIsInstance(refused, forwarder.Refusal)
        self.assertEqual(forwarder.RefusalReason.WARM_UP, refused.reason)

    def test_later_copy_is_not_refused(self):
        """Guards against a reset of a flow that is open at an upstream."""
        self.fill()
        for port in (1, 2):
            self.open_flow(10 * MS, port)
        self.assertEqual(
            forwarder.Drop(forwarder.DropReason.WARM_UP),
            self.open_flow(10 * MS, 3, copies=1),
        )
        # Its first copy was sent to the upstream.
        self.assertEqual(WAITING, self.open_flow(210 * MS, 901, copies=1))

    def test_opening_that_waited_too_long_is_not_sent(self):
        """Guards against flows whose callers have given up."""
        self.fill()
        self.open_flow(10 * MS, 1)
        self.assertEqual([0], self.retry_at(1411))
        self.assertIsNone(self.core.next_retry_at())

    def test_warm_upstream_takes_the_rest(self):
        """Guards against waiting beside an upstream with room."""
        self.directory.put_upstream(
            directory_builders.upstream_entry('desk-2')
        )
        chosen = [
            self.open_flow(0 * MS, port).forward.upstream_id
            for port in range(9)
        ]
        self.assertLessEqual(chosen.count('desk-1'), 2)

    def test_warm_upstream_leaves_no_one_refused(self):
        """Guards against a refusal because of others that wait.

        The upstream registers after the line has formed.
        """
        self.fill()
        for port in (1, 2):
            self.open_flow(10 * MS, port)
        self.directory.put_upstream(
            directory_builders.upstream_entry('desk-2')
        )
        for port in range(3, 10):
            self.assertEqual(WAITING, self.open_flow(20 * MS, port))
        sent = self.core.resume_waiting(21 * MS)
        self.assertEqual(list(range(1, 10)), [item.key[1] for item in sent])

    def test_line_ends_with_the_warm_up(self):
        """Guards against a line that new openings keep up for ever.

        Each of them waited for the time of a retry, as others did.
        """
        self.fill()
        for port, offset in ((903, 59000), (904, 59010), (1, 59990)):
            self.open_flow(offset * MS, port)
        for port in range(2, 9):
            self.assertIsInstance(
                self.open_flow((60000 + port) * MS, port), forwarder.Placement
            )

    def test_line_ends_beside_a_warm_upstream(self):
        """Guards against the same line while one of two stays in warm-up."""
        self.directory.put_upstream(
            directory_builders.upstream_entry('desk-2')
        )
        self.core.pacer.set_warm_up('desk-2', 10 * SECOND, 0 * SECOND)
        decisions = []
        for at in range(9000, 12000, 10):
            decisions.append(self.open_flow(at * MS, at))
            self.core.retry_openings((at + 5) * MS)
        self.assertIn(WAITING, decisions[:100])
        # The last one that the pace kept back has been placed or given up.
        self.assertNotIn(WAITING, decisions[-50:])

    def test_nothing_changes_without_a_rate(self):
        """Guards against a limit that the configuration does not set."""
        table = make_table(rate=0.0)
        self.directory.adopt_routes(
            directories.RouteTable(
                3, table.routes_by_address, table.limits_by_service
            )
        )
        for port in range(9):
            self.assertIsInstance(
                self.open_flow(0 * MS, port), forwarder.Placement
            )


class UpdaterTest(unittest.TestCase):
    def test_entry_and_host_list_reach_the_pacer(self):
        """Guards against a pacer that nobody tells of upstreams or hosts."""
        entry = directory_builders.upstream_entry('desk-1')
        schema = types.SimpleNamespace(
            routes_kind='routes',
            evacuations_kind='evacuations',
            decode_upstream=lambda stored: stored.value,
        )
        manual = clock.ManualClock()
        core = forwarder.ForwarderCore(
            forwarder.CoreSettings(
                'kgn-a', host_id='h-1', pacing=pacing.PacingSettings(0.0, 0.0)
            ),
            directories.Directory(),
            random.Random(1),
        )
        updater = directory_updater.DirectoryUpdater(
            schema, directories.Directory(), core, manual, lambda: None
        )
        entry = directories.UpstreamEntry(
            entry.upstream,
            entry.service,
            entry.wire_id,
            1,
            remaining_warm_up=10 * SECOND,
        )
        own = replica.Replica('upstreams')
        event = platform.WatchEvent(
            platform.EventType.PUT,
            1,
            platform.StoredObject('upstreams', 'desk-1', 1, entry),
        )
        updater.apply(own, [event], 'store')
        with self.assertLogs(directory_updater.__name__, 'INFO') as logs:
            updater.set_known_hosts({'kgn-a': ('h-1',)})
            updater.set_known_hosts({'kgn-a': ('h-1',)})
        self.assertEqual(1, len(logs.records))
        limits = make_table().limits_by_service[SERVICE]
        self.assertFalse(core.pacer.may_open('desk-1', limits, 9 * SECOND))
        self.assertTrue(
            core.pacer.may_open('desk-1', limits, datetime.timedelta(days=1))
        )


if __name__ == '__main__':
    unittest.main()
