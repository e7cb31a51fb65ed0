"""Tests of lost responses and resumed watches."""

import datetime
import itertools
import random
import tracemalloc
import unittest

from acaciamoor import platform
from acaciamoor.platform import backoff
from acaciamoor.platform.tests import builders
import acaciamoor.platform.watching as watching
from acaciamoor.standins.platform import memory
from acaciamoor.standins.platform import table as tables

KIND = 'services'


class LostResponseTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.table = tables.ObjectTable()
        self.other = builders.store(self.table, seed=99)

    async def test_lost_response_of_applied_write(self):
        """Guards against reporting a write that took effect as failed."""
        plan = builders.plan_writes(memory.LOST_REPLY)
        stored = await builders.store(self.table, plan).create(
            KIND, 'desk', {'a': 1}
        )
        self.assertEqual(self.table.read(KIND, 'desk'), stored)

    async def test_lost_request_is_retried(self):
        """Guards against reporting an unchanged object as a conflict."""
        plan = builders.plan_writes(memory.LOST_REQUEST, memory.LOST_REPLY)
        store = builders.store(self.table, plan)
        stored = await store.create(KIND, 'desk', {'a': 1})
        self.assertEqual(1, stored.version)

    async def test_lost_response_followed_by_later_write(self):
        """Guards against reporting a conflict for a write that took effect."""
        first = await self.other.create(KIND, 'desk', {'a': 1})
        writes = itertools.count()

        def plan(call):
            if call == 'write' and next(writes) == 0:
                return memory.LOST_REPLY
            return memory.APPLIED

        store = builders.store(self.table, plan)

        async def overwrite(duration):
            found = await self.other.get(KIND, 'desk')
            await self.other.update(KIND, 'desk', {'a': 3}, found.version)

        store._sleep = overwrite
        stored = await store.update(KIND, 'desk', {'a': 2}, first.version)
        self.assertEqual((2, {'a': 2}), (stored.version, stored.value))
        self.assertEqual({'a': 3}, self.table.read(KIND, 'desk').value)

    async def test_lost_request_superseded_by_other_write(self):
        """Guards against overwriting a concurrent write."""
        first = await self.other.create(KIND, 'desk', {'a': 1})
        store = builders.store(
            self.table, builders.plan_writes(memory.LOST_REQUEST)
        )
        await store.get(KIND, 'desk')

        async def overwrite(duration):
            await self.other.update(KIND, 'desk', {'a': 3}, first.version)

        store._sleep = overwrite
        with self.assertRaises(platform.Conflict) as caught:
            await store.update(KIND, 'desk', {'a': 2}, first.version)
        self.assertEqual(2, caught.exception.version)
        self.assertEqual({'a': 3}, caught.exception.stored.value)

    async def test_outcome_unknown_while_reads_fail(self):
        """Guards against reporting a definite outcome during an outage."""
        first = await self.other.create(KIND, 'desk', {'a': 1})
        state = {'down': False}

        def plan(call):
            if state['down']:
                return memory.UNAVAILABLE
            state['down'] = call == 'write'
            return memory.LOST_REPLY if state['down'] else memory.APPLIED

        store = builders.store(self.table, plan)
        with self.assertRaises(platform.OutcomeUnknown):
            await store.update(KIND, 'desk', {'a': 2}, first.version)


SECOND = datetime.timedelta(seconds=1)


class LargeObjectTransport:
    """Transport whose objects have large values."""

    VALUE_BYTES = 100_000

    async def read(self, kind, name):
        return platform.StoredObject(
            kind, name, 7, {'text': ' ' * self.VALUE_BYTES}
        )


class MemoryTest(unittest.IsolatedAsyncioTestCase):
    async def test_store_keeps_no_values(self):
        """Guards against processes that exceed their memory.

        A store remembers 1,024 objects that it has read, each of which may
        have a value of 1 MB.
        """
        store = platform.PlatformStore(LargeObjectTransport())
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for number in range(100):
            await store.get(KIND, f'desk-{number}')
        used, _ = tracemalloc.get_traced_memory()
        self.assertLess(used, 10 * LargeObjectTransport.VALUE_BYTES)

    async def test_conflict_tells_the_present_value(self):
        """Guards against callers that merge their change with nothing."""
        table = tables.ObjectTable()
        other = builders.store(table, seed=99)
        first = await other.create(KIND, 'desk', {'a': 1})
        store = builders.store(table)
        await store.get(KIND, 'desk')
        await other.update(KIND, 'desk', {'a': 2}, first.version)
        with self.assertRaises(platform.Conflict) as raised:
            await store.update(KIND, 'desk', {'a': 3}, first.version)
        self.assertEqual({'a': 2}, raised.exception.stored.value)


class ReplayTransport:
    """Transport that replays listings, streams of events, and errors."""

    def __init__(self, *results):
        self.results = list(results)
        self.requested_versions = []

    async def read_all(self, kind, selector=None):
        return self._next()

    async def stream(self, kind, after_version):
        self.requested_versions.append(after_version)
        for event in self._next():
            yield event

    def _next(self):
        result = self.results.pop(0)
        if isinstance(result, Exception):
            raise result
        return result


def put_event(version, name='desk'):
    stored = platform.StoredObject(KIND, name, version, {})
    return platform.WatchEvent(platform.EventType.PUT, version, stored)


class WatchTest(unittest.IsolatedAsyncioTestCase):
    async def collect_versions(self, transport, after_version, count):
        watch = watching.ResumingWatch(
            transport,
            KIND,
            after_version,
            backoff.Backoff(random.Random(1)),
            builders.no_sleep,
        )
        versions = []
        async for event in watch.events():
            versions.append(event.version)
            if len(versions) == count:
                return versions

    async def test_watch_resumes_after_last_version(self):
        """Guards against lost or duplicate events after an outage."""
        transport = ReplayTransport(
            [put_event(4)],
            platform.Unavailable(),
            [put_event(5), put_event(6)],
        )
        versions = await self.collect_versions(transport, 3, 3)
        self.assertEqual([4, 5, 6], versions)
        self.assertEqual([3, 4, 4], transport.requested_versions)

    async def test_watch_drops_events_of_stale_server(self):
        """Guards against reverting a change because of a lagging replica."""
        stale = platform.Listing(5, (put_event(5).stored,))
        fresh = platform.Listing(
            9, (put_event(5).stored, put_event(9, 'bench').stored)
        )
        transport = ReplayTransport(
            [put_event(7)],
            [put_event(5), put_event(6)],
            platform.VersionExpired(),
            stale,
            fresh,
        )
        versions = await self.collect_versions(transport, 3, 3)
        self.assertEqual([7, 9, 9], versions)

    async def delays(self, *results) -> list[float]:
        """Return the delays in seconds before a watch yields an event."""
        delays = []

        async def sleep(duration):
            delays.append(duration.total_seconds())

        watch = watching.ResumingWatch(
            ReplayTransport(*results),
            KIND,
            3,
            backoff.Backoff(MaximumRandom(), SECOND, 8 * SECOND),
            sleep,
        )
        async for _ in watch.events():
            return delays

    async def test_expired_version_is_listed_without_long_delay(self):
        """Guards against a second long delay after an outage.

        The response that the version has expired shows that the platform is
        available again, so the backoff must restart.
        """
        down = [platform.Unavailable()] * 5
        fresh = platform.Listing(9, (put_event(9).stored,))
        delays = await self.delays(*down, platform.VersionExpired(), fresh)
        self.assertEqual(8.0, delays[4])
        self.assertLessEqual(delays[5], 1.0)

    async def test_timeouts_are_retried_without_long_delay(self):
        """Guards against a long delay in addition to the timeout itself."""
        delays = await self.delays(*[platform.TimedOut()] * 5, [put_event(5)])
        self.assertLessEqual(max(delays), 1.0)


class MaximumRandom(random.Random):
    """Random source that yields the longest delays."""

    def random(self) -> float:
        return 1.0
