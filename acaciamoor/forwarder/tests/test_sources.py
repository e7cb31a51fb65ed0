"""Calls to the store that keep a replica up to date."""

import asyncio
import datetime
import random
import unittest

from acaciamoor import clock
from acaciamoor import platform
from acaciamoor import replica
from acaciamoor.forwarder.shell import sources
from acaciamoor.replica.tests import builders
from acaciamoor.telemetry import exposition

SECOND = datetime.timedelta(seconds=1)


class ExpiredStore:
    """Transport whose history is gone, with a listing."""

    def __init__(self, listing: platform.Listing) -> None:
        self._listing = listing

    async def read_all(self, kind, selector=None, stale=False):
        return self._listing

    async def stream(self, kind, after_version):
        if after_version != self._listing.version:
            raise platform.VersionExpired(f'{after_version}')
        await asyncio.sleep(3600)
        yield None


class FailingStore(ExpiredStore):
    """Transport whose calls fail after a second, until they respond."""

    def __init__(self, listing: platform.Listing, manual_clock) -> None:
        super().__init__(listing)
        self._clock = manual_clock
        self.failures_left = 1

    async def stream(self, kind, after_version):
        if self.failures_left:
            self.failures_left -= 1
            self._clock.advance(SECOND)
            raise platform.TimedOut('cut')
        async for event in super().stream(kind, after_version):
            yield event


class StoreSourceTest(unittest.IsolatedAsyncioTestCase):
    async def test_listing_removes_what_another_host_has_learned_since(self):
        """Guards against an upstream that is gone and stays at other hosts.

        The history of the store is gone. Another host is ahead of the one
        that lists the objects: it has `b`, which was removed since.
        """
        first = builders.new_replica(5, builders.put('a', 3))
        ahead = builders.new_replica(
            7, builders.put('a', 3), builders.put('b', 6)
        )
        kept = builders.put('a', 3).stored
        store = ExpiredStore(platform.Listing(9, (kept,)))
        batches = asyncio.Queue()
        source = sources.StoreSource(
            first,
            sources.StoreTransports(store, store, store),
            lambda _, batch, name, confirm: batches.put_nowait(batch),
            exposition.Counter('calls', 'Calls.'),
            clock.ManualClock(),
            random.Random(1),
        )
        task = asyncio.create_task(source._run(replica.CallMode.REFRESH))
        async with asyncio.timeout(10):
            ahead.apply(await batches.get())
        self.assertEqual(9, ahead.version)
        self.assertEqual({'a'}, ahead.names)
        await task

    async def test_start_of_a_failed_call_is_known(self):
        """Guards against a host that cannot tell an outage from late news.

        The history is gone when the store responds again, which is no failure.
        """
        manual_clock = clock.ManualClock()
        manual_clock.advance(7 * SECOND)
        store = FailingStore(platform.Listing(9, ()), manual_clock)
        applied = asyncio.Event()
        source = sources.StoreSource(
            builders.new_replica(5),
            sources.StoreTransports(store, store, store),
            lambda *_: applied.set(),
            exposition.Counter('calls', 'Calls.'),
            manual_clock,
            random.Random(1),
        )
        self.assertIsNone(source.failed_at)
        task = asyncio.create_task(source._run(replica.CallMode.REFRESH))
        async with asyncio.timeout(10):
            await applied.wait()
        await task
        self.assertEqual(7 * SECOND, source.failed_at)


if __name__ == '__main__':
    unittest.main()
