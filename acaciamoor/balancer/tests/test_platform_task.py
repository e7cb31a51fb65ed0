"""What a relay reads of evacuations from the platform."""

import asyncio
import datetime
import random
import unittest

from acaciamoor.balancer import core as cores
from acaciamoor.balancer.shell import platform_task
import acaciamoor.model as model
from acaciamoor.model import documents
import acaciamoor.platform as platform
from acaciamoor.standins.platform import memory
from acaciamoor.standins.platform import table as tables

KIND = documents.EVACUATION_KIND
DATA_CENTRE = 'kgn-a'
WAIT_S = 5.0


async def yield_control(_: datetime.timedelta) -> None:
    """Let other tasks run in place of a delay."""
    await asyncio.sleep(0)


class EvacuationWatchTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.table = tables.ObjectTable()
        self.transport = memory.MemoryTransport(self.table)
        self.store = platform.PlatformStore(
            self.transport, random.Random(1), yield_control
        )
        self.events = []
        self.task = platform_task.PlatformTask(
            self.store,
            model.DataCentre(DATA_CENTRE),
            None,
            self.events.append,
            random.Random(1),
            datetime.timedelta(minutes=1),
        )

    async def evacuate(self, name):
        return await self.store.create(KIND, name, {})

    async def wait_for(self, evacuated):
        """Wait until the last event reports `evacuated`."""

        async def poll():
            while not self.events or (
                self.events[-1].evacuated is not evacuated
            ):
                await asyncio.sleep(0)

        await asyncio.wait_for(poll(), WAIT_S)

    async def watch(self):
        watching = asyncio.create_task(self.task._watch_evacuations())
        self.addAsyncCleanup(asyncio.gather, watching, return_exceptions=True)
        self.addCleanup(watching.cancel)
        return watching

    async def test_evacuation_and_its_end_are_reported(self):
        """Guards against a deletion that the watch does not report."""
        await self.evacuate('kgn-b')
        await self.watch()
        await self.wait_for(False)
        created = await self.evacuate(DATA_CENTRE)
        await self.wait_for(True)
        self.assertEqual(
            cores.EvacuationRead(created.version, True), self.events[-1]
        )
        await self.store.delete(KIND, DATA_CENTRE, created.version)
        await self.wait_for(False)
        self.assertGreater(self.events[-1].version, created.version)

    async def test_end_before_the_watch_or_in_dropped_history_is_seen(self):
        """Guards against an evacuation that outlives its object."""
        created = await self.evacuate(DATA_CENTRE)
        watching = await self.watch()
        await self.wait_for(True)
        self.transport.plan = lambda call: memory.UNAVAILABLE
        await asyncio.sleep(0)
        self.table.remove(KIND, DATA_CENTRE, created.version)
        self.table.expire(KIND)
        self.transport.plan = lambda call: memory.APPLIED
        await self.wait_for(False)
        self.assertGreater(self.events[-1].version, created.version)
        watching.cancel()
        self.events.clear()
        await self.watch()
        await self.wait_for(False)
        self.assertGreater(self.events[-1].version, created.version)

    async def test_services_are_not_listed_without_the_evacuations(self):
        """Guards against a complete host that knows no evacuation yet."""
        created = await self.evacuate(DATA_CENTRE)
        await self.evacuate('kgn-b')
        answers = [memory.UNAVAILABLE]
        self.transport.plan = lambda call: (
            answers.pop() if answers else memory.APPLIED
        )
        await self.task._list_services()
        self.assertEqual([], self.events)
        await self.task._list_services()
        self.assertEqual(
            [cores.EvacuationRead, cores.ServicesListed],
            [type(event) for event in self.events],
        )
        # Not the version of the listing, which differs between hosts.
        self.assertEqual(
            cores.EvacuationRead(created.version, True), self.events[0]
        )
