"""Hosts of a data centre that follow the store through each other."""

import asyncio
import collections
import datetime
import random
import unittest

from acaciamoor import clock
from acaciamoor import model
from acaciamoor import platform
from acaciamoor import replica
from acaciamoor.forwarder.shell import following as followings
from acaciamoor.forwarder.shell import limits
from acaciamoor.forwarder.shell import sources
from acaciamoor.forwarder.tests import test_following
from acaciamoor.forwarder.tests import test_relay

SECOND = datetime.timedelta(seconds=1)
BOUND = 3 * SECOND
RECOVERY = 4 * SECOND
HOSTS = 8
UPSTREAMS = test_following.UPSTREAMS
# Time for the first connections between the hosts, in seconds.
SETTLE_S = 1.0


class World:
    """A store that each host reaches by a way of its own."""

    def __init__(self):
        self.version = 5
        self.written = collections.defaultdict(list)
        self.peers = []
        self.cut_ids = set()
        self.calls_by_id = collections.Counter()
        self.changed = asyncio.Condition()

    async def put(self, name: str, kind: str = UPSTREAMS) -> None:
        """Write an object."""
        self.version += 1
        event = test_following.put(kind, name, self.version)
        self.written[kind].append(event)
        async with self.changed:
            self.changed.notify_all()


class Transport:
    """The way of one host to the store."""

    def __init__(self, world, host_id, wait):
        self._world = world
        self._host_id = host_id
        self._wait = wait.total_seconds()

    async def read_all(self, kind, selector=None, stale=False):
        await self._reach()
        if kind == test_following.HOSTS:
            found = [
                test_following.put(kind, str(number), 1).stored
                for number in range(len(self._world.peers))
            ]
        else:
            found = [event.stored for event in self._world.written[kind]]
        return platform.Listing(self._world.version, tuple(found))

    async def write(self, write):
        await self._reach()

    async def stream(self, kind, after_version):
        world = self._world
        world.calls_by_id[self._host_id] += 1
        await self._reach()

        def found():
            return [
                event
                for event in world.written[kind]
                if event.version > after_version
            ]

        async with world.changed:
            try:
                async with asyncio.timeout(self._wait):
                    await world.changed.wait_for(found)
            except TimeoutError:
                pass
            events = found()
        await self._reach()
        for event in events:
            yield event
        yield platform.WatchEvent(
            platform.EventType.BOOKMARK, max(world.version, after_version)
        )

    async def _reach(self):
        if self._host_id in self._world.cut_ids:
            await asyncio.sleep(limits.CALL_LIMIT.total_seconds())
            raise platform.TimedOut('cut')


class Catalogue(test_following.Catalogue):
    """Knows the hosts of a world."""

    def __init__(self, world):
        self._world = world

    def host(self, stored):
        return self._world.peers[int(stored.name)]


class DataCentreTest(test_relay.UvloopPolicy):
    async def asyncSetUp(self):
        self.world = World()
        self.adoptions_by_id = {}
        for number in range(HOSTS):
            address = test_relay.free_address()
            host_id = model.HostId(f'host-{number}')
            self.world.peers.append(replica.Peer(host_id, 'kgn-a', address))
        for own in self.world.peers:
            self.start(own)
        await asyncio.sleep(SETTLE_S)
        ranked = replica.PeerList(self.world.peers[0])
        ranked.replace(self.world.peers)
        self.relays = [
            peer.host_id for peer in ranked.relays(datetime.timedelta(0))
        ]

    def start(self, own):
        """Start a host."""
        settings = limits.FollowingSettings(own, (), BOUND, RECOVERY)
        adoption = test_following.Adoption()
        self.adoptions_by_id[own.host_id] = adoption
        following = followings.Following(
            settings,
            Catalogue(self.world),
            sources.StoreCalls(
                *(
                    Transport(self.world, own.host_id, item.poll_timeout)
                    for item in (
                        settings.patient_calls,
                        settings.frequent_calls,
                        settings.prompt_calls,
                    )
                )
            ),
            adoption,
            clock.SystemClock(),
            random.Random(own.host_id),
        )
        task = asyncio.create_task(following.run())
        self.addAsyncCleanup(self.stop, task)

    async def stop(self, task):
        """End a host."""
        task.cancel()
        await asyncio.wait([task])

    async def adopted_by_all(self, name: str) -> None:
        """Wait until all hosts have learned of an upstream in time."""
        async with asyncio.timeout(BOUND.total_seconds()):
            for adoption in self.adoptions_by_id.values():
                await adoption.until(name)

    async def test_one_host_calls_the_store_for_all(self):
        """Guards against calls that grow with the hosts."""
        self.world.calls_by_id.clear()
        await asyncio.sleep(2 * BOUND.total_seconds() / 3)
        self.assertEqual({self.relays[0]}, set(self.world.calls_by_id))
        await self.world.put('desk-1')
        await self.adopted_by_all('desk-1')

    async def test_change_of_one_collection_confirms_the_other(self):
        """Guards against listeners that call because nothing has changed.

        The store counts versions over all collections, so a change of the
        routes leads the upstreams to a new version as well.
        """
        await self.world.put('main', kind=test_following.ROUTES)
        await self.adopted_by_all('main')
        self.world.calls_by_id.clear()
        await asyncio.sleep(BOUND.total_seconds())
        self.assertEqual({self.relays[0]}, set(self.world.calls_by_id))

    async def test_relay_that_is_cut_off_hides_no_change(self):
        """Guards against a first relay that holds back what it cannot see.

        The second relay calls in its place, or a host that stands in for it
        where others could not connect to it at first. Most listeners need not.
        """
        self.world.cut_ids.add(self.relays[0])
        self.world.calls_by_id.clear()
        await self.world.put('desk-1')
        await self.adopted_by_all('desk-1')
        others = set(self.world.calls_by_id) - {self.relays[0]}
        self.assertGreaterEqual(len(others), 1)
        self.assertLess(len(others), HOSTS / 2)

    async def test_listeners_without_relays_call_themselves(self):
        """Guards against listeners that rely on relays with old copies."""
        self.world.cut_ids.update(self.relays)
        await self.world.put('desk-1')
        async with asyncio.timeout(BOUND.total_seconds()):
            for host_id, adoption in self.adoptions_by_id.items():
                if host_id not in self.relays:
                    await adoption.until('desk-1')

    async def test_second_relay_without_the_store_harms_nobody(self):
        """Guards against a second relay that is believed too much."""
        self.world.cut_ids.add(self.relays[1])
        await self.world.put('desk-1')
        await self.adopted_by_all('desk-1')


if __name__ == '__main__':
    unittest.main()
