"""Time and number of the calls after which a restored store is known."""

import asyncio
import collections
import datetime
import random
import unittest

from acaciamoor import platform
from acaciamoor import replica
from acaciamoor.forwarder.shell import limits
from acaciamoor.forwarder.shell import sources
from acaciamoor.forwarder.tests import test_store_synchronizer
from acaciamoor.forwarder.tests import virtual_time
from acaciamoor.platform import versions
from acaciamoor.telemetry import exposition

SECOND = datetime.timedelta(seconds=1)
SETTINGS = limits.SyncSettings(
    None, (), 3 * SECOND, 4 * SECOND, follows_evacuations=True
)
KINDS = SETTINGS.get_kinds(test_store_synchronizer.StoreSchema())
MODES = replica.CallMode.WATCH, replica.CallMode.WATCH_OFTEN
REVISION = 15
# Until the store is asked without a wait, and until it is listed.
LIST_BOUND_S = 2 * limits.INITIAL_BACKOFF.total_seconds()
# A site of this size has no relays, so that all its hosts wait for changes.
HOSTS = 5
# More hosts than any site without relays, to see how their calls spread.
MANY_HOSTS = 200


class Store:
    """Store without changes, whose responses show its era at their end."""

    def __init__(self):
        self.era = 1
        # 'down' or 'silent'.
        self.fault = ''
        self.arrivals_by_call = collections.defaultdict(list)
        self.cut = asyncio.Event()

    def cut_off_calls(self) -> None:
        """Fail all calls in progress."""
        self.cut.set()
        self.cut = asyncio.Event()

    async def serve(self, call, settings, wait) -> int:
        """Return the version at the end of a call."""
        self.arrivals_by_call[call].append(asyncio.get_running_loop().time())
        if self.fault == 'silent':
            timeout = wait + settings.response_timeout
            await asyncio.sleep(timeout.total_seconds())
            raise platform.TimedOut('silent')
        if not self.fault:
            try:
                async with asyncio.timeout(wait.total_seconds()):
                    await self.cut.wait()
            except TimeoutError:
                return versions.make_version(self.era, REVISION)
        raise platform.Unavailable('cut off')

    def start(self, kind, seed, mode) -> sources.StoreSource:
        """Return a source that calls the store, from its present version."""
        item = replica.Replica(kind)
        version = versions.make_version(self.era, REVISION)
        item.apply(replica.Batch(0, version, (), snapshot=True))
        source = sources.StoreSource(
            item,
            sources.StoreTransports(
                Transport(self, 'wait', SETTINGS.watch_calls),
                Transport(self, 'wait', SETTINGS.relay_calls),
                Transport(self, 'refresh', SETTINGS.refresh_calls),
            ),
            lambda _, batch, *rest: item.apply(batch),
            exposition.Counter('calls', 'Calls.'),
            virtual_time.LoopClock(),
            random.Random(f'{kind} {seed}'),
        )
        source._task = asyncio.create_task(source._run(mode))
        return source


class Transport:
    """Transport to a `Store`."""

    def __init__(self, store, call, settings):
        self._store = store
        self._call = call
        self._settings = settings

    async def read_all(self, kind, selector=None, stale=False):
        version = await self._store.serve('list', self._settings, 0 * SECOND)
        return platform.Listing(version, ())

    async def stream(self, kind, after_version):
        version = await self._store.serve(
            self._call, self._settings, self._settings.poll_timeout
        )
        if versions.get_era(version) > versions.get_era(after_version):
            raise platform.VersionExpired('restored')
        yield platform.WatchEvent(
            platform.EventType.BOOKMARK, max(version, after_version)
        )


async def start_hosts(count) -> tuple[Store, list[sources.StoreSource]]:
    """Return a store and sources of hosts that wait for its changes."""
    store = Store()
    found = [
        store.start(kind, seed, MODES[0])
        for seed in range(count)
        for kind in KINDS
    ]
    await asyncio.sleep(0.3)
    return store, found


class RestoredStoreTest(unittest.TestCase):
    def test_restoration_is_known_soon_after_a_call_was_cut_off(self):
        """Guards against a configuration that is late after a restoration.

        The version that hosts ask for exists in the restored store, so that
        it has no changes for them.
        """
        for mode in MODES:
            for kind in KINDS:
                with self.subTest(mode=mode, kind=kind):
                    delays_s = [
                        virtual_time.run(self.measure(kind, seed, mode))
                        for seed in range(20)
                    ]
                    self.assertLessEqual(max(delays_s), LIST_BOUND_S)

    async def measure(self, kind, seed, mode):
        """Return the time from the restoration to the listing."""
        store = Store()
        source = store.start(kind, seed, mode)
        await asyncio.sleep(0.3)
        store.era += 1
        store.cut_off_calls()
        restored_s = asyncio.get_running_loop().time()
        while not store.arrivals_by_call['list']:
            await asyncio.sleep(0.01)
        source.cancel()
        return store.arrivals_by_call['list'][0] - restored_s

    def test_restoration_is_known_after_a_pause(self):
        """Guards against a host that resumes and waits on its old version."""

        async def count():
            store = Store()
            source = store.start(KINDS[0], 1, MODES[0])
            await asyncio.sleep(0.3)
            source.cancel()
            await asyncio.sleep(0.1)
            store.era += 1
            source._task = asyncio.create_task(source._run(MODES[0]))
            await asyncio.sleep(LIST_BOUND_S)
            return len(store.arrivals_by_call['list'])

        self.assertEqual(1, virtual_time.run(count()))

    def test_only_calls_after_failures_do_not_wait(self):
        """Guards against more calls to the store on a quiet day."""

        async def count(failures):
            store, _ = await start_hosts(HOSTS)
            for _ in range(failures):
                store.cut_off_calls()
            await asyncio.sleep(60)
            return len(store.arrivals_by_call['refresh'])

        self.assertEqual(0, virtual_time.run(count(failures=0)))
        calls = virtual_time.run(count(failures=1))
        self.assertEqual(HOSTS * len(KINDS), calls)

    def test_calls_spread_when_the_store_is_back(self):
        """Guards against hosts that all call as soon as the store is back."""
        for fault in 'down', 'silent':
            with self.subTest(fault=fault):
                share, delay_s = virtual_time.run(self.measure_spread(fault))
                self.assertLess(share, 0.15)
                self.assertLess(
                    delay_s, SETTINGS.recovery_bound.total_seconds()
                )

    async def measure_spread(self, fault):
        """Return the largest share of calls within 100 ms, and the last."""
        store, found = await start_hosts(MANY_HOSTS)
        store.fault = fault
        store.cut_off_calls()
        await asyncio.sleep(30)
        store.fault = ''
        back_s = asyncio.get_running_loop().time()
        store.arrivals_by_call.clear()
        await asyncio.sleep(SETTINGS.recovery_bound.total_seconds())
        times_s = store.arrivals_by_call['refresh']
        self.assertEqual(len(found), len(times_s))
        counts = collections.Counter(int(time / 0.1) for time in times_s)
        return max(counts.values()) / len(found), max(times_s) - back_s


if __name__ == '__main__':
    unittest.main()
