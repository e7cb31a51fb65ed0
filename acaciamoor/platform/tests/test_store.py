"""Lost replies and resumed watches."""

import datetime
import itertools
import random
import unittest

from acaciamoor import platform
from acaciamoor.platform import backoff
from acaciamoor.platform.tests import builders
import acaciamoor.platform.watching as watching
from acaciamoor.standins.platform import memory
from acaciamoor.standins.platform import table as tables

KIND = 'services'


class LostReplyTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.table = tables.ObjectTable()
        self.other = builders.store(self.table, seed=99)

    async def test_lost_reply_is_resolved_as_applied(self):
        """Guards against reporting a write that took effect as failed."""
        plan = builders.planned(memory.LOST_REPLY)
        stored = await builders.store(self.table, plan).create(
            KIND, 'desk', {'a': 1}
        )
        self.assertEqual(self.table.read(KIND, 'desk'), stored)

    async def test_lost_request_is_repeated(self):
        """Guards against taking an unchanged object for a refusal."""
        plan = builders.planned(memory.LOST_REQUEST, memory.LOST_REPLY)
        store = builders.store(self.table, plan)
        stored = await store.create(KIND, 'desk', {'a': 1})
        self.assertEqual(1, stored.version)

    async def test_lost_reply_is_found_below_later_writes(self):
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

    async def test_lost_request_that_is_beaten_names_the_winner(self):
        """Guards against overwriting the write that won the race."""
        first = await self.other.create(KIND, 'desk', {'a': 1})
        store = builders.store(
            self.table, builders.planned(memory.LOST_REQUEST)
        )
        await store.get(KIND, 'desk')

        async def overwrite(duration):
            await self.other.update(KIND, 'desk', {'a': 3}, first.version)

        store._sleep = overwrite
        with self.assertRaises(platform.Conflict) as caught:
            await store.update(KIND, 'desk', {'a': 2}, first.version)
        self.assertEqual(2, caught.exception.version)
        self.assertEqual({'a': 3}, caught.exception.winner.value)

    async def test_outcome_stays_unknown_while_reading_back_fails(self):
        """Guards against guessing the outcome during an outage."""
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


class StaleTransport:
    """Replays streams and listings, then ends the test's watch."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.resumed_after = []

    async def read_all(self, kind, selector=None):
        return self._next()

    async def stream(self, kind, after_version):
        self.resumed_after.append(after_version)
        for event in self._next():
            yield event

    def _next(self):
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


def put(version, name='desk'):
    stored = platform.StoredObject(KIND, name, version, {})
    return platform.WatchEvent(platform.EventType.PUT, version, stored)


class WatchTest(unittest.IsolatedAsyncioTestCase):
    async def watched(self, transport, after_version, count):
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

    async def test_watch_resumes_after_the_last_version(self):
        """Guards against losing or repeating changes over an outage."""
        transport = StaleTransport(
            [put(4)], platform.Unavailable(), [put(5), put(6)]
        )
        versions = await self.watched(transport, 3, 3)
        self.assertEqual([4, 5, 6], versions)
        self.assertEqual([3, 4, 4], transport.resumed_after)

    async def test_stale_server_delivers_nothing_older(self):
        """Guards against a replica that lags and reverts a change."""
        stale = platform.Listing(5, (put(5).stored,))
        fresh = platform.Listing(9, (put(5).stored, put(9, 'bench').stored))
        transport = StaleTransport(
            [put(7)], [put(5), put(6)], platform.VersionExpired(), stale, fresh
        )
        versions = await self.watched(transport, 3, 3)
        self.assertEqual([7, 9, 9], versions)

    async def waits(self, *answers) -> list[float]:
        """Return the waits of a watch, in seconds, until it delivers."""
        waits = []

        async def sleep(duration):
            waits.append(duration.total_seconds())

        watch = watching.ResumingWatch(
            StaleTransport(*answers),
            KIND,
            3,
            backoff.Backoff(FullJitter(), SECOND, 8 * SECOND),
            sleep,
        )
        async for _ in watch.events():
            return waits

    async def test_history_that_is_gone_is_listed_soon(self):
        """Guards against a host that waits twice after a cut.

        The store answers again, so the long wait of the outage is over.
        """
        down = [platform.Unavailable()] * 5
        fresh = platform.Listing(9, (put(9).stored,))
        waits = await self.waits(*down, platform.VersionExpired(), fresh)
        self.assertEqual(8.0, waits[4])
        self.assertLessEqual(waits[5], 1.0)

    async def test_calls_that_timed_out_are_repeated_soon(self):
        """Guards against a wait behind a call that has taken long itself."""
        waits = await self.waits(*[platform.TimedOut()] * 5, [put(5)])
        self.assertLessEqual(max(waits), 1.0)


class FullJitter(random.Random):
    """Random source of the longest waits."""

    def random(self) -> float:
        return 1.0
