"""Hosts of a data centre that synchronize with the store over relays."""

import asyncio
import datetime
import random
import unittest
from unittest import mock

from acaciamoor import clock
from acaciamoor import load_reports
from acaciamoor import model
from acaciamoor import replica
from acaciamoor.demo import site
from acaciamoor.forwarder.shell import limits
from acaciamoor.forwarder.shell import relay_server
from acaciamoor.forwarder.shell import sources
from acaciamoor.forwarder.shell import store_synchronizer
from acaciamoor.forwarder.tests import simulated_store
from acaciamoor.forwarder.tests import test_relay
from acaciamoor.forwarder.tests import test_store_synchronizer

SECOND = datetime.timedelta(seconds=1)
BOUND = 3 * SECOND
RECOVERY = 4 * SECOND
HOSTS = 8
UPSTREAMS = test_store_synchronizer.UPSTREAMS
# Time for hosts to connect to their relays, in seconds.
STARTUP_S = 1.0


class DataCentreTestCase(test_relay.UvloopTestCase):
    """Base class of tests with the hosts of a data centre."""

    async def asyncSetUp(self):
        # The debug mode of test cases triples the processor time of the hosts,
        # which share a loop. On a busy machine the loop then lags so far that
        # reports are too old to count.
        asyncio.get_running_loop().set_debug(False)
        self.store = simulated_store.SimulatedStore()
        self.updaters_by_id = {}
        self.tasks_by_id = {}
        self.collectors_by_id = {}
        self.pictures_by_id = {}
        self.synchronizers_by_id = {}

    def add_hosts(self, count, link_mbps=0.0, data_centre='kgn-a'):
        """Add hosts to a data centre."""
        for _ in range(count):
            address = site.find_free_address()
            host_id = model.HostId(f'host-{len(self.store.peers)}')
            self.store.peers.append(
                replica.Peer(host_id, data_centre, address, link_mbps)
            )

    def hosts_in_role(self, role):
        """Return the hosts that have a role once all know each other."""
        found = []
        for own in self.store.peers:
            known = replica.PeerList(own)
            known.add(self.store.peers)
            if known.role(datetime.timedelta(0)) is role:
                found.append(own.host_id)
        return found

    def start(
        self, own, seeds=(), first_start=False, follows_evacuations=False
    ):
        """Start the synchronizer of a host."""
        settings = limits.SyncSettings(
            own,
            tuple(seeds),
            BOUND,
            RECOVERY,
            first_start,
            follows_evacuations,
        )
        updater = test_store_synchronizer.RecordingUpdater()
        self.updaters_by_id[own.host_id] = updater
        random_source = random.Random(own.host_id)
        collector = load_reports.LoadCollector(
            own.host_id, own.data_centre, random_source.getrandbits(32)
        )
        self.collectors_by_id[own.host_id] = collector
        picture = load_reports.LoadPicture(own.data_centre)
        self.pictures_by_id[own.host_id] = picture
        synchronizer = store_synchronizer.StoreSynchronizer(
            settings,
            simulated_store.StoreSchema(self.store),
            sources.StoreTransports(
                *(
                    simulated_store.Transport(
                        self.store, own.host_id, item.poll_timeout
                    )
                    for item in (
                        settings.watch_calls,
                        settings.relay_calls,
                        settings.refresh_calls,
                    )
                )
            ),
            updater,
            clock.SystemClock(),
            random_source,
            collector,
            picture,
        )
        self.synchronizers_by_id[own.host_id] = synchronizer
        task = asyncio.create_task(synchronizer.run())
        self.tasks_by_id[own.host_id] = task
        self.addAsyncCleanup(self.stop, task)

    async def stop(self, task):
        """Stop a host; fail with its error if it has ended before."""
        task.cancel()
        await asyncio.wait([task])
        if not task.cancelled():
            task.result()

    async def wait_for_all(self, name: str) -> None:
        """Wait until all hosts have an object; fail after the change bound."""
        async with asyncio.timeout(BOUND.total_seconds()):
            for updater in self.updaters_by_id.values():
                await updater.wait_for(name)


class DataCentreTest(DataCentreTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.add_hosts(HOSTS)
        for own in self.store.peers:
            self.start(own)
        await asyncio.sleep(STARTUP_S)
        self.relays = [
            *self.hosts_in_role(replica.Role.RELAY),
            *self.hosts_in_role(replica.Role.STANDBY),
        ]

    async def test_only_the_first_relay_calls_the_store(self):
        """Guards against a number of calls that grows with the hosts."""
        self.store.calls_by_id.clear()
        await asyncio.sleep(2 * BOUND.total_seconds() / 3)
        self.assertEqual({self.relays[0]}, set(self.store.calls_by_id))
        await self.store.put('desk-1')
        await self.wait_for_all('desk-1')

    async def test_change_of_one_collection_confirms_the_other(self):
        """Guards against calls by listeners of an unchanged collection.

        The store counts versions over all collections, so a change of the
        routes advances the version of the upstreams as well.
        """
        await self.store.put('main', kind=test_store_synchronizer.ROUTES)
        await self.wait_for_all('main')
        self.store.calls_by_id.clear()
        await asyncio.sleep(BOUND.total_seconds())
        self.assertEqual({self.relays[0]}, set(self.store.calls_by_id))

    async def test_change_arrives_while_the_first_relay_is_cut_off(self):
        """Guards against changes that are lost behind a partitioned relay.

        The second relay calls the store instead, or a host that replaces it
        where others could not connect to it at first. Most listeners make no
        call.
        """
        self.store.cut_ids.add(self.relays[0])
        self.store.calls_by_id.clear()
        await self.store.put('desk-1')
        await self.wait_for_all('desk-1')
        others = set(self.store.calls_by_id) - {self.relays[0]}
        self.assertGreaterEqual(len(others), 1)
        self.assertLess(len(others), HOSTS / 2)

    async def test_listeners_call_the_store_if_both_relays_are_cut_off(self):
        """Guards against listeners that trust relays with stale replicas."""
        self.store.cut_ids.update(self.relays)
        await self.store.put('desk-1')
        async with asyncio.timeout(BOUND.total_seconds()):
            for host_id, updater in self.updaters_by_id.items():
                if host_id not in self.relays:
                    await updater.wait_for('desk-1')

    async def test_change_arrives_while_the_second_relay_is_cut_off(self):
        """Guards against listeners that trust a stale second relay."""
        self.store.cut_ids.add(self.relays[1])
        await self.store.put('desk-1')
        await self.wait_for_all('desk-1')


class HostListTest(DataCentreTestCase):
    async def test_list_of_the_store_may_lack_hosts(self):
        """Guards against shares of the pace by a list of some hosts.

        The store lists those that had to register, and no one else answers.
        """
        self.add_hosts(5)
        own = self.store.peers[0]
        self.start(own)
        await asyncio.sleep(STARTUP_S)
        updater = self.updaters_by_id[own.host_id]
        self.assertIsNone(updater.hosts_by_data_centre)


class LargeDataCentreTest(DataCentreTestCase):
    async def test_hosts_know_the_size_of_a_data_centre_with_branches(self):
        """Guards against counts that miss hosts below other hosts."""
        self.add_hosts(36)
        seeds = [peer.address for peer in self.store.peers[:3]]
        for own in self.store.peers:
            self.start(own, seeds)
        await asyncio.sleep(limits.SEED_LINK_PERIOD.total_seconds() + 2)
        self.assertTrue(self.hosts_in_role(replica.Role.BRANCH))
        for host_id, updater in self.updaters_by_id.items():
            with self.subTest(host=host_id):
                self.assertAlmostEqual(36, updater.local_hosts, delta=2)
                known = updater.hosts_by_data_centre
                self.assertEqual(36, len(known['kgn-a']))


class FirstStartTest(DataCentreTestCase):
    """All hosts of a data centre start at once for the first time."""

    WIDE_HOSTS = 6
    NARROW_HOSTS = 10

    async def test_hosts_with_wide_links_call_the_store_for_all(self):
        """Guards against calls and writes of every host at each first start.

        A host that lists the collections makes two calls, and one that
        registers makes a write. Here the seeds list them for all.
        """
        self.store.needs_registration = True
        self.add_hosts(self.WIDE_HOSTS, link_mbps=100.0)
        self.add_hosts(self.NARROW_HOSTS, link_mbps=10.0)
        await self.store.put('desk-1')
        seeds = [self.store.peers[number].address for number in (0, 7, 15)]
        for own in self.store.peers:
            self.start(own, seeds, first_start=True)
        await self.wait_for_all('desk-1')
        self.assertEqual(len(seeds), self.store.lists_by_kind[UPSTREAMS])
        await asyncio.sleep(limits.SEED_LINK_PERIOD.total_seconds())
        self.assertEqual(
            replica.PeerSettings().max_registered,
            len(self.store.registered_ids),
        )
        self.assertLessEqual(
            self.store.lists_by_kind[test_store_synchronizer.HOSTS],
            2 * self.WIDE_HOSTS,
        )

    async def test_host_asks_one_relay_for_whole_collections(self):
        """Guards against relays that all send everything to a new host."""
        self.add_hosts(HOSTS)
        for own in self.store.peers:
            self.start(own)
        await self.store.put('desk-1')
        await self.wait_for_all('desk-1')
        await asyncio.sleep(STARTUP_S)
        self.add_hosts(1)
        own = self.store.peers[-1]
        received = []
        apply_update = store_synchronizer.StoreSynchronizer.apply_update

        def record(synchronizer, update, peer, now):
            if update.whole:
                received.append((update.kind, peer.host_id))
            apply_update(synchronizer, update, peer, now)

        seeds = [peer.address for peer in self.store.peers[:3]]
        with mock.patch.object(
            store_synchronizer.StoreSynchronizer, 'apply_update', record
        ):
            self.start(own, seeds)
            await self.updaters_by_id[own.host_id].wait_for('desk-1')
            await asyncio.sleep(STARTUP_S)
        kinds = [kind for kind, _ in received]
        self.assertEqual(sorted(set(kinds)), sorted(kinds), received)


class SiteTest(DataCentreTestCase):
    """Three small data centres, of which one host watches the store."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        for data_centre in ('kgn-a', 'kgn-b', 'kgn-c'):
            self.add_hosts(3, data_centre=data_centre)
        seeds = [peer.address for peer in self.store.peers[::3]]
        for own in self.store.peers:
            self.start(own, seeds)
        await asyncio.sleep(STARTUP_S)
        (self.relay,) = self.hosts_in_role(replica.Role.RELAY)
        (self.standby,) = self.hosts_in_role(replica.Role.STANDBY)

    async def test_one_host_calls_the_store_for_all(self):
        """Guards against a number of calls that grows with data centres."""
        self.store.calls_by_id.clear()
        await asyncio.sleep(BOUND.total_seconds())
        self.assertEqual({self.relay}, set(self.store.calls_by_id))
        # A long poll a collection, each followed by a backoff.
        self.assertLessEqual(self.store.calls_by_id[self.relay], 7)
        await self.store.put('desk-1')
        await self.wait_for_all('desk-1')

    async def test_hosts_know_the_size_of_their_data_centre(self):
        """Guards against hosts that do not know how much demand others see."""
        await asyncio.sleep(1)
        counts = {
            host_id: updater.local_hosts
            for host_id, updater in self.updaters_by_id.items()
        }
        self.assertEqual({3}, set(counts.values()), counts)
        for updater in self.updaters_by_id.values():
            known = updater.hosts_by_data_centre
            self.assertEqual([3, 3, 3], [len(item) for item in known.values()])

    async def test_change_arrives_while_relay_and_standby_are_cut_off(self):
        """Guards against a site that trusts two hosts with old replicas."""
        self.store.cut_ids.update((self.relay, self.standby))
        await self.store.put('desk-1')
        async with asyncio.timeout(BOUND.total_seconds()):
            for host_id, updater in self.updaters_by_id.items():
                if host_id not in self.store.cut_ids:
                    await updater.wait_for('desk-1')

    async def test_change_arrives_after_the_relay_and_standby_end(self):
        """Guards against a site that waits for hosts that are gone."""
        for host_id in (self.relay, self.standby):
            await self.stop(self.tasks_by_id[host_id])
            del self.updaters_by_id[host_id]
        await self.store.put('desk-1')
        await self.wait_for_all('desk-1')

    async def test_data_centre_learns_of_changes_behind_a_silent_relay(self):
        """Guards against links that are open but carry nothing."""
        with mock.patch.object(
            relay_server.RelayServer, '_send', lambda *_: None
        ):
            await self.store.put('desk-1')
            await self.wait_for_all('desk-1')


class RestartTest(DataCentreTestCase):
    """All hosts of a data centre start again at once, while callers wait."""

    async def test_hosts_do_not_wait_for_seeds_without_data(self):
        """Guards against waiting for hosts that have just started as well."""
        self.add_hosts(HOSTS)
        await self.store.put('desk-1')
        seeds = [peer.address for peer in self.store.peers[:3]]
        with mock.patch.object(limits, 'SEED_GRACE', 60 * SECOND):
            for own in self.store.peers:
                self.start(own, seeds)
            await self.wait_for_all('desk-1')


class RestoredStoreTest(DataCentreTestCase):
    """The store comes back from a copy that lacks what hosts wrote."""

    async def test_hosts_register_again(self):
        """Guards against hosts that cannot find each other at a new start.

        The entries of the host list are gone with what the store has lost.
        """
        self.store.needs_registration = True
        self.add_hosts(HOSTS, link_mbps=100.0)
        seeds = [peer.address for peer in self.store.peers[:3]]
        for own in self.store.peers:
            self.start(own, seeds)
        await self.store.put('desk-1')
        await self.wait_for_all('desk-1')
        await self.wait_for_registrations()
        await self.store.restore()
        await self.store.put('desk-2')
        await self.wait_for_all('desk-2')
        await self.wait_for_registrations()

    async def wait_for_registrations(self) -> None:
        """Wait until as many hosts as necessary have registered."""
        expected = replica.PeerSettings().max_registered
        async with asyncio.timeout(
            2 * limits.MAX_HOST_LIST_INTERVAL.total_seconds()
        ):
            while len(self.store.registered_ids) < expected:
                await asyncio.sleep(0.05)


if __name__ == '__main__':
    unittest.main()
