"""Hosts that learn of the evacuation of a data centre."""

import asyncio
import types
import unittest

from acaciamoor import clock
from acaciamoor import forwarder
from acaciamoor import platform
from acaciamoor import replica
from acaciamoor.directory.tests import builders as directory_builders
from acaciamoor.forwarder.shell import directory_updater
from acaciamoor.forwarder.tests import builders
from acaciamoor.forwarder.tests import test_data_centre
from acaciamoor.forwarder.tests import test_store_synchronizer
from acaciamoor.platform import versions

MS = builders.MS
SECOND = directory_builders.SECOND
SERVICE = directory_builders.SERVICE
KIND = test_store_synchronizer.EVACUATIONS
LOGGER = 'acaciamoor.forwarder.shell.directory_updater'
REFUSED = forwarder.RefusalReason.EVACUATED
UNREADABLE = types.MappingProxyType({'unreadable': True})


def new_directory():
    """Return a directory with an upstream in each of two data centres."""
    return directory_builders.new_directory(
        directory_builders.upstream_entry('desk-1', data_centre='kgn-a'),
        directory_builders.upstream_entry('desk-2', data_centre='kgn-b'),
    )


class CoreTest(unittest.TestCase):
    def setUp(self):
        self.directory = new_directory()
        self.core = builders.core(self.directory)

    def open_flow(self, at, copies=0):
        """Return the decision about an opening packet."""
        packet = builders.packet(opens=True, acknowledged=copies)
        return self.core.handle(b'syn', packet, at)

    def test_nothing_left_is_refused_at_once(self):
        """Guards against callers that wait although no upstream will come."""
        self.directory.begin_evacuation('kgn-a')
        self.directory.begin_evacuation('kgn-b')
        refused = self.open_flow(1 * MS)
        self.assertIsInstance(refused, forwarder.Refusal)
        self.assertEqual(REFUSED, refused.reason)
        # Another host may have opened the flow since the first copy.
        self.assertEqual(
            forwarder.Drop(forwarder.DropReason.EVACUATED),
            self.open_flow(201 * MS, copies=1),
        )

    def test_copy_of_an_opening_that_was_sent_is_not_refused(self):
        """Guards against a reset of a flow that an upstream has opened."""
        self.open_flow(1 * MS)
        self.directory.begin_evacuation('kgn-a')
        self.directory.begin_evacuation('kgn-b')
        self.assertIsInstance(
            self.open_flow(201 * MS, copies=1), forwarder.Drop
        )

    def test_repeated_opening_leaves_the_evacuated_data_centre(self):
        """Guards against a copy that follows the first one too late.

        Both the host and the caller repeat an opening; the upstream of the
        first copy may have been evacuated since.
        """
        first = self.open_flow(1 * MS)
        self.assertEqual('desk-1', first.forward.upstream_id)
        self.directory.put_upstream(
            directory_builders.upstream_entry('desk-3', data_centre='kgn-a')
        )
        self.directory.begin_evacuation('kgn-a')
        (again,) = self.core.retry_openings(42 * MS)
        self.assertEqual('desk-2', again.forward.upstream_id)
        copy = self.open_flow(201 * MS, copies=1)
        self.assertEqual('desk-2', copy.forward.upstream_id)

    def test_open_flow_goes_on(self):
        """Guards against flows that break with the order to evacuate."""
        opening = self.open_flow(1 * MS).forward
        self.directory.begin_evacuation('kgn-a')
        later = self.core.handle(
            b'data', builders.packet(token=opening.token, length=4), 9 * MS
        )
        self.assertEqual('desk-1', later.upstream_id)

    def test_hosts_of_the_evacuated_data_centre_use_the_others(self):
        """Guards against callers without service beside free upstreams."""
        self.directory.begin_evacuation('kgn-a')
        for port in range(9):
            decision = self.core.handle(
                b'',
                builders.packet(opens=True, caller=(7, 40_000 + port)),
                1 * MS,
            )
            self.assertEqual('desk-2', decision.forward.upstream_id)

    def test_upstreams_that_warm_up_are_used_after_the_return(self):
        """Guards against a data centre that is never filled again."""
        self.directory.begin_evacuation('kgn-a')
        self.core.placer.set_warm_up('desk-1', 2 * SECOND, 0 * SECOND)
        self.directory.end_evacuation('kgn-a', 1 * SECOND)
        self.assertEqual(
            'desk-1', self.open_flow(1 * SECOND).forward.upstream_id
        )


class Schema:
    """Schema of evacuations alone."""

    routes_kind = 'routes'
    evacuations_kind = KIND

    def decode_evacuation(self, stored):
        return None if stored.value == UNREADABLE else stored.name


class UpdaterTest(unittest.TestCase):
    def setUp(self):
        self.directory = new_directory()
        self.replica = replica.Replica(KIND)
        self.clock = clock.ManualClock()
        self.updater = directory_updater.DirectoryUpdater(
            Schema(),
            self.directory,
            builders.core(self.directory),
            self.clock,
            lambda: None,
        )

    def apply(self, version, *names, value=None, deleted=(), snapshot=False):
        """Apply a batch to the replica and the directory."""
        events = [
            platform.WatchEvent(
                platform.EventType.DELETED
                if name in deleted
                else platform.EventType.PUT,
                version,
                platform.StoredObject(KIND, name, version, value or {}),
            )
            for name in (*names, *deleted)
        ]
        batch = replica.Batch(
            self.replica.version, version, tuple(events), snapshot
        )
        self.updater.apply(self.replica, self.replica.apply(batch), 'store')

    def evacuated(self) -> list[str]:
        """Return the data centres that are evacuated now."""
        return list(self.directory.list_evacuations(self.clock.monotonic()))

    def test_order_is_logged_with_the_time_of_its_acknowledgement(self):
        """Guards against an order whose time nobody can tell afterwards."""
        self.apply(5, snapshot=True)
        self.replica.confirm_by_store(5, self.clock.monotonic())
        self.clock.advance(2 * SECOND)
        with self.assertLogs(LOGGER, 'INFO') as logs:
            self.apply(6, 'kgn-a')
        self.assertEqual(['kgn-a'], self.evacuated())
        (record,) = logs.records
        self.assertEqual('kgn-a', record.data_centre_affected)
        self.assertEqual(2000, record.acknowledged_within_ms)

    def test_entry_that_cannot_be_read_evacuates_nothing(self):
        """Guards against another writer that empties a data centre."""
        self.apply(5, 'kgn-a', value=UNREADABLE, snapshot=True)
        self.apply(6, 'kgn-b')
        self.assertEqual(['kgn-b'], self.evacuated())

    def test_order_that_becomes_unreadable_ends(self):
        """Guards against an order whose entry belongs to another writer."""
        self.apply(5, 'kgn-a', snapshot=True)
        self.apply(6, 'kgn-a', value=UNREADABLE)
        self.assertEqual([], self.evacuated())

    def test_dropped_history_hides_neither_order_nor_return(self):
        """Guards against changes of which only a new listing tells."""
        self.apply(5, 'kgn-a', snapshot=True)
        self.apply(9, 'kgn-b', snapshot=True)
        self.assertEqual(['kgn-b'], self.evacuated())

    def test_order_that_a_restored_store_lacks_is_kept_for_a_time(self):
        """Guards against new flows before the operator repeats the order.

        The store came back from a copy from before the order.
        """
        self.apply(versions.make_version(1, 7), 'kgn-a', snapshot=True)
        self.apply(versions.make_version(2, 3), snapshot=True)
        self.assertEqual(['kgn-a'], self.evacuated())
        self.clock.advance(1.9 * SECOND)
        self.assertEqual(['kgn-a'], self.evacuated())
        self.clock.advance(0.1 * SECOND)
        self.assertEqual([], self.evacuated())

    def test_order_is_repeated_after_a_restoration(self):
        """Guards against a grace that ends the repeated order."""
        self.apply(versions.make_version(1, 7), 'kgn-a', snapshot=True)
        self.apply(versions.make_version(2, 3), snapshot=True)
        self.apply(versions.make_version(2, 4), 'kgn-a')
        self.clock.advance(5 * SECOND)
        self.assertEqual(['kgn-a'], self.evacuated())


class SiteTest(test_data_centre.DataCentreTestCase):
    """Hosts that follow evacuations over relays."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.add_hosts(test_data_centre.HOSTS)

    async def start_all(self, older=()):
        """Start all hosts; those of an older version do not follow."""
        for own in self.store.peers:
            self.start(own, follows_evacuations=own.host_id not in older)
        await asyncio.sleep(test_data_centre.STARTUP_S)

    async def test_order_reaches_all_hosts_over_the_relay(self):
        """Guards against a collection that only the relay knows."""
        await self.start_all()
        self.store.calls_by_id.clear()
        await self.store.put('kgn-a', kind=KIND)
        await self.wait_for_all('kgn-a')
        self.assertLessEqual(
            set(self.store.calls_by_id),
            set(self.hosts_in_role(replica.Role.RELAY)),
        )

    async def test_order_arrives_while_the_relay_is_cut_off(self):
        """Guards against an order that is lost behind a relay.

        Another data centre may be cut off from the store at that moment.
        """
        await self.start_all()
        (relay,) = self.hosts_in_role(replica.Role.RELAY)
        self.store.cut_ids.add(relay)
        await self.store.put('kgn-a', kind=KIND)
        del self.updaters_by_id[relay]
        await self.wait_for_all('kgn-a')

    async def test_relay_of_an_older_version_delays_no_order(self):
        """Guards against hosts that wait for a relay which never tells."""
        (relay,) = self.hosts_in_role(replica.Role.RELAY)
        await self.start_all(older=(relay,))
        await self.store.put('kgn-a', kind=KIND)
        del self.updaters_by_id[relay]
        await self.wait_for_all('kgn-a')

    async def test_host_does_not_start_from_a_peer_that_knows_less(self):
        """Guards against a list that is taken for empty while it is unknown.

        The store is down, and the peer does not follow evacuations.
        """
        older, own = self.store.peers[:2]
        self.start(older)
        await asyncio.sleep(test_data_centre.STARTUP_S)
        self.store.cut_ids.update(peer.host_id for peer in self.store.peers)
        self.start(own, [older.address], follows_evacuations=True)
        await asyncio.sleep(test_data_centre.STARTUP_S)
        kinds = self.updaters_by_id[own.host_id].kinds
        self.assertIn(test_store_synchronizer.UPSTREAMS, kinds)
        self.assertNotIn(KIND, kinds)


if __name__ == '__main__':
    unittest.main()
