"""Synchronization while the store is unresponsive or unreachable."""

import asyncio
import datetime
import random
import unittest
from unittest import mock

import uvloop

from acaciamoor import clock
from acaciamoor import model
from acaciamoor import platform
from acaciamoor import replica
from acaciamoor.demo import site
from acaciamoor.forwarder.shell import limits
from acaciamoor.forwarder.shell import sources
from acaciamoor.forwarder.shell import store_synchronizer
from acaciamoor.platform import versions

SECOND = datetime.timedelta(seconds=1)
ROUTES = 'routes'
UPSTREAMS = 'upstreams'
HOSTS = 'hosts'
EVACUATIONS = 'evacuations'


class StoreSchema:
    """Schema of the test objects; it decodes no hosts."""

    routes_kind = ROUTES
    routes_name = 'main'
    upstreams_kind = UPSTREAMS
    hosts_kind = HOSTS
    evacuations_kind = EVACUATIONS

    def decode_host(self, stored):
        return None

    def encode_host(self, peer):
        return {}


class RecordingUpdater:
    """Records the names of changed objects by source."""

    def __init__(self):
        self.names_by_source = {}
        self.kinds = set()
        self.hosts_by_data_centre = None
        self.changed = asyncio.Event()

    def apply(self, replica, events, source, failed_at=None):
        self.kinds.add(replica.kind)
        names = self.names_by_source.setdefault(source, set())
        names.update(event.stored.name for event in events)
        self.changed.set()

    def set_local_hosts(self, count):
        self.local_hosts = count

    def set_known_hosts(self, hosts_by_data_centre):
        self.hosts_by_data_centre = hosts_by_data_centre

    async def wait_for(self, name: str) -> None:
        """Wait until an object was received from any source."""
        while not any(
            name in names for names in self.names_by_source.values()
        ):
            self.changed.clear()
            await self.changed.wait()


def put(kind: str, name: str, version: int) -> platform.WatchEvent:
    """Return the event for a write."""
    return platform.WatchEvent(
        platform.EventType.PUT,
        version,
        platform.StoredObject(kind, name, version, {}),
    )


class Store:
    """Transport that can be switched off and whose streams never end."""

    def __init__(self):
        self.down = False
        self.calls = 0

    async def read_all(self, kind, selector=None, stale=False):
        self.calls += 1
        if self.down:
            raise platform.Unavailable('down')
        return platform.Listing(5, (put(kind, f'{kind}-first', 5).stored,))

    async def write(self, write):
        raise platform.Unavailable('down')

    async def stream(self, kind, after_version):
        self.calls += 1
        if self.down:
            raise platform.Unavailable('down')
        await asyncio.sleep(3600)
        yield None


class StoreSynchronizerTest(unittest.IsolatedAsyncioTestCase):
    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        previous = asyncio.get_event_loop_policy()
        asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())
        cls.addClassCleanup(asyncio.set_event_loop_policy, previous)

    def start(self, store, seeds=(), refresh=None):
        """Start a host; return its recording updater and its address."""
        address = site.find_free_address()
        own = replica.Peer(model.HostId(str(address)), 'kgn-a', address)
        updater = RecordingUpdater()
        synchronizer = store_synchronizer.StoreSynchronizer(
            limits.SyncSettings(own, tuple(seeds), 3 * SECOND, 4 * SECOND),
            StoreSchema(),
            sources.StoreTransports(store, store, refresh or store),
            updater,
            clock.SystemClock(),
            random.Random(1),
        )
        task = asyncio.create_task(synchronizer.run())
        self.addAsyncCleanup(self.stop, task)
        return updater, address

    async def stop(self, task):
        """Stop a host."""
        task.cancel()
        await asyncio.wait([task])

    async def test_host_that_starts_in_an_outage_syncs_from_its_seeds(self):
        """Guards against a new host that drops all packets in an outage."""
        first, address = self.start(Store())
        await asyncio.wait_for(first.wait_for('upstreams-first'), 10)
        unreachable = Store()
        unreachable.down = True
        second, _ = self.start(unreachable, [address])
        await asyncio.wait_for(second.wait_for('upstreams-first'), 10)
        await asyncio.wait_for(second.wait_for('routes-first'), 10)
        self.assertIn(str(address), second.names_by_source)

    async def test_host_is_alone_only_if_the_store_says_so(self):
        """Guards against a host that takes all openings of a site."""
        unreachable = Store()
        unreachable.down = True
        with mock.patch.object(replica.PeerList, 'search_period', 0 * SECOND):
            unknown, _ = self.start(unreachable)
            alone, address = self.start(Store())
            await asyncio.sleep(1.2)
        self.assertIsNone(unknown.hosts_by_data_centre)
        self.assertEqual(
            {'kgn-a': (str(address),)}, alone.hosts_by_data_centre
        )

    async def test_host_does_not_start_from_a_stale_listing(self):
        """Guards against upstreams that have left, used after a restart."""

        class LaggingStore(Store):
            async def read_all(self, kind, selector=None, stale=False):
                listing = await super().read_all(kind)
                left = put(kind, 'left', 4).stored
                if not stale:
                    return listing
                return platform.Listing(4, (left, *listing.objects))

        updater, _ = self.start(LaggingStore())
        await asyncio.wait_for(updater.wait_for('upstreams-first'), 10)
        self.assertNotIn('left', updater.names_by_source['store'])

    async def test_restoration_seen_in_one_collection_is_known_in_all(self):
        """Guards against a waiting call that only one collection avoids.

        The store is restored between two calls for the routes. The next one
        waits after a revision that the store has given out again.
        """

        class RestoredStore(Store):
            def __init__(self, era):
                super().__init__()
                self.era = era

            async def read_all(self, kind, selector=None, stale=False):
                version = versions.make_version(self.era, 5)
                found = put(kind, f'{kind}-era-{self.era}', version).stored
                return platform.Listing(version, (found,))

            async def stream(self, kind, after_version):
                while versions.get_era(after_version) == self.era or (
                    kind == ROUTES and self is store
                ):
                    await asyncio.sleep(0.01)
                raise platform.VersionExpired('restored')
                yield None

        store, refresh = RestoredStore(0), RestoredStore(1)
        with mock.patch.object(replica.PeerList, 'search_period', 0 * SECOND):
            updater, _ = self.start(store, refresh=refresh)
            await asyncio.wait_for(updater.wait_for('routes-era-0'), 10)
            # Until the calls that wait have begun.
            await asyncio.sleep(0.5)
            store.era = 1
            await asyncio.wait_for(updater.wait_for('routes-era-1'), 10)

    async def test_host_retries_if_its_seeds_are_down(self):
        """Guards against a task that ends after a refused connection."""
        store = Store()
        store.down = True
        updater, _ = self.start(store, [site.find_free_address()])
        await asyncio.sleep(0.3)
        store.down = False
        await asyncio.wait_for(updater.wait_for('routes-first'), 10)


class SyncSettingsTest(unittest.TestCase):
    def test_calls_time_out_within_the_recovery_bound(self):
        """Guards against a call that still hangs after the store recovered.

        A call that was sent just before the store stopped responding must
        time out, and the next one be sent, within the recovery bound.
        """
        settings = limits.SyncSettings(None, (), 3 * SECOND, 4 * SECOND)
        for call in (
            settings.watch_calls,
            settings.relay_calls,
            settings.refresh_calls,
        ):
            latest = (
                call.poll_timeout
                + call.response_timeout
                + limits.INITIAL_BACKOFF
            )
            self.assertLess(latest, settings.recovery_bound)
        self.assertLess(limits.MAX_BACKOFF, settings.recovery_bound)

    def test_listeners_call_the_store_within_the_change_bound(self):
        """Guards against changes that are lost behind partitioned relays."""
        for bound_s in (3, 5, 6):
            for follows in (False, True):
                with self.subTest(bound_s=bound_s, follows=follows):
                    self.check_ages(
                        limits.SyncSettings(
                            None,
                            (),
                            bound_s * SECOND,
                            4 * SECOND,
                            follows_evacuations=follows,
                        )
                    )

    def test_third_collection_hardly_adds_calls(self):
        """Guards against a relay that calls half as often again."""
        calls_per_s = []
        for follows in (False, True):
            settings = limits.SyncSettings(
                None,
                (),
                5 * SECOND,
                5 * SECOND,
                follows_evacuations=follows,
            )
            interval = (
                settings.relay_calls.poll_timeout + limits.INITIAL_BACKOFF
            )
            kinds = len(settings.get_kinds(StoreSchema()))
            calls_per_s.append(kinds / interval.total_seconds())
        self.assertLess(calls_per_s[1] / calls_per_s[0], 1.05)

    def check_ages(self, settings):
        """Check that each host notices its age in time."""
        age_at_standby = (
            settings.relay_calls.poll_timeout
            + limits.INITIAL_BACKOFF
            + limits.HEARTBEAT_INTERVAL
        )
        ages = settings.get_age_limits(0 * SECOND)
        self.assertLess(age_at_standby, ages.standby)
        # The standby notices its age, refreshes, and sends its update; if it
        # does not, the hosts that others listen to do so.
        for earlier, later in (
            (ages.standby, ages.branch),
            (ages.branch, ages.listener),
        ):
            refreshed = earlier + limits.SOURCE_CHECK_INTERVAL
            self.assertLess(refreshed, later)
        latest = ages.listener + limits.SOURCE_CHECK_INTERVAL
        self.assertLess(latest + SECOND / 2, settings.change_bound)


if __name__ == '__main__':
    unittest.main()
