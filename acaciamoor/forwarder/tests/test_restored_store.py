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
REVISION = 15
SEEDS = range(20)
# Time until the store is asked without a wait, and until it is listed.
LIST_BOUND = 2 * limits.INITIAL_BACKOFF
# A site of this size has no relays, so that all its hosts wait for changes.
HOSTS = 5
# More hosts than any site without relays, to see how their calls spread.
MANY_HOSTS = 200


class Store:
    """Store without changes, whose responses show its era at their end."""

    def __init__(self):
        self.era = 1
        self.down = False
        self.silent = False
        self.arrivals_by_call = collections.defaultdict(list)
        self.restored = asyncio.Event()

    def restore(self) -> None:
        """Cut off all calls; give the known revision to another change."""
        self.era += 1
        self.restored.set()
        self.restored = asyncio.Event()

    def count(self, *calls: str) -> int:
        """Return the number of calls of some sorts."""
        return sum(len(self.arrivals_by_call[call]) for call in calls)

    async def serve(self, call: str, settings, wait) -> int:
        """Return the version at the end of a call."""
        self.arrivals_by_call[call].append(asyncio.get_running_loop().time())
        if self.silent:
            timeout = wait + settings.response_timeout
            await asyncio.sleep(timeout.total_seconds())
            raise platform.TimedOut('silent')
        if self.down:
            raise platform.Unavailable('down')
        try:
            async with asyncio.timeout(wait.total_seconds()):
                await self.restored.wait()
        except TimeoutError:
            return versions.make_version(self.era, REVISION)
        raise platform.Unavailable('cut off')


class Transport:
    """Transport to a `Store` that records the sort of its calls."""

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


def start(store, kind, seed):
    """Return a source whose replica is at the version of the store."""
    replica_ = replica.Replica(kind)
    version = versions.make_version(store.era, REVISION)
    replica_.apply(replica.Batch(0, version, (), snapshot=True))

    def apply(_, batch, source, confirm):
        replica_.apply(batch)
        confirm()

    return sources.StoreSource(
        replica_,
        sources.StoreTransports(
            Transport(store, 'watch', SETTINGS.watch_calls),
            Transport(store, 'relay', SETTINGS.relay_calls),
            Transport(store, 'refresh', SETTINGS.refresh_calls),
        ),
        apply,
        exposition.Counter('calls', 'Calls.'),
        virtual_time.LoopClock(),
        random.Random(f'{kind} {seed}'),
    )


async def run_sources(store, hosts, mode):
    """Start the calls of some hosts for all collections."""
    return [
        asyncio.create_task(start(store, kind, seed)._run(mode))
        for seed in range(hosts)
        for kind in KINDS
    ]


class RestoredStoreTest(unittest.TestCase):
    def test_restoration_is_known_soon_after_a_call_was_cut_off(self):
        """Guards against a configuration that is late after a restoration.

        The version that hosts ask for exists in the restored store, so that
        it has no changes for them.
        """
        for mode in (
            replica.CallMode.WATCH,
            replica.CallMode.WATCH_OFTEN,
        ):
            for kind in KINDS:
                with self.subTest(mode=mode, kind=kind):
                    delays_s = [
                        virtual_time.run(self.measure(kind, seed, mode))
                        for seed in SEEDS
                    ]
                    self.assertLessEqual(
                        max(delays_s), LIST_BOUND.total_seconds()
                    )

    async def measure(self, kind, seed, mode):
        """Return the time from the restoration to the listing."""
        store = Store()
        task = asyncio.create_task(start(store, kind, seed)._run(mode))
        # In the middle of the first wait.
        await asyncio.sleep(0.3)
        store.restore()
        restored_s = asyncio.get_running_loop().time()
        while not store.arrivals_by_call['list']:
            await asyncio.sleep(0.01)
        task.cancel()
        return store.arrivals_by_call['list'][0] - restored_s

    def test_restoration_is_known_after_a_pause(self):
        """Guards against a host that resumes and waits on its old version."""

        async def measure():
            store = Store()
            source = start(store, KINDS[0], 1)
            source._task = asyncio.create_task(
                source._run(replica.CallMode.WATCH)
            )
            await asyncio.sleep(0.3)
            source.cancel()
            await asyncio.sleep(0.1)
            store.era += 1
            task = asyncio.create_task(source._run(replica.CallMode.WATCH))
            await asyncio.sleep(LIST_BOUND.total_seconds())
            task.cancel()
            return store.count('list')

        self.assertEqual(1, virtual_time.run(measure()))

    def test_calls_always_wait_while_none_fails(self):
        """Guards against more calls to the store on a quiet day."""

        async def count():
            store = Store()
            await run_sources(store, HOSTS, replica.CallMode.WATCH)
            await asyncio.sleep(600)
            return store.count('refresh', 'list'), store.count('watch')

        without_wait, waiting = virtual_time.run(count())
        self.assertEqual(0, without_wait)
        interval = SETTINGS.watch_calls.poll_timeout.total_seconds()
        self.assertLessEqual(waiting, HOSTS * len(KINDS) * (600 / interval))

    def test_calls_wait_again_after_one_response(self):
        """Guards against hosts that poll a store that is back."""

        async def count():
            store = Store()
            await run_sources(store, HOSTS, replica.CallMode.WATCH)
            await asyncio.sleep(0.3)
            store.restore()
            store.era -= 1
            await asyncio.sleep(30)
            return store.count('refresh')

        self.assertEqual(HOSTS * len(KINDS), virtual_time.run(count()))

    def test_calls_spread_when_the_store_is_back(self):
        """Guards against hosts that all call as soon as the store is back."""
        for fault in ('down', 'silent'):
            with self.subTest(fault=fault):
                share, delay_s = virtual_time.run(self.measure_spread(fault))
                self.assertLess(share, 0.15)
                self.assertLess(
                    delay_s, SETTINGS.recovery_bound.total_seconds()
                )

    async def measure_spread(self, fault):
        """Return the largest share of hosts that call within 100 ms.

        Also return the time after which all have called.
        """
        store = Store()
        await run_sources(store, MANY_HOSTS, replica.CallMode.WATCH)
        await asyncio.sleep(0.3)
        setattr(store, fault, True)
        store.restore()
        await asyncio.sleep(30)
        setattr(store, fault, False)
        back_s = asyncio.get_running_loop().time()
        store.arrivals_by_call.clear()
        await asyncio.sleep(SETTINGS.recovery_bound.total_seconds())
        times = sorted(store.arrivals_by_call['refresh'])
        self.assertEqual(MANY_HOSTS * len(KINDS), len(times))
        counts = collections.Counter(int(time / 0.1) for time in times)
        return max(counts.values()) / len(times), times[-1] - back_s


if __name__ == '__main__':
    unittest.main()
