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

    async def read_until(self, evacuated, version):
        """Wait for an event that reports `evacuated` after `version`."""
        async with asyncio.timeout(WAIT_S):
            while not self.events or (
                self.events[-1].evacuated is not evacuated
                or self.events[-1].version <= version
            ):
                await asyncio.sleep(0)

    def watch(self):
        """Start a watch; return its task."""
        watching = asyncio.create_task(self.task._watch_evacuations())
        self.addCleanup(watching.cancel)
        return watching

    async def test_end_of_an_evacuation_is_always_reported(self):
        """Guards against an evacuation that outlives its object.

        The object is deleted during the watch, in history that the platform
        drops, and before the watch starts.
        """
        await self.evacuate('kgn-b')
        watching = self.watch()
        created = await self.evacuate(DATA_CENTRE)
        await self.read_until(True, created.version - 1)
        await self.store.delete(KIND, DATA_CENTRE, created.version)
        await self.read_until(False, created.version)
        created = await self.evacuate(DATA_CENTRE)
        await self.read_until(True, created.version - 1)
        self.table.remove(KIND, DATA_CENTRE, created.version)
        self.table.expire(KIND)
        await self.read_until(False, created.version)
        watching.cancel()
        self.events.clear()
        self.watch()
        await self.read_until(False, created.version)

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
