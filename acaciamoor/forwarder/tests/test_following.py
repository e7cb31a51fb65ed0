"""Hosts that follow the store while it is silent, down or out of reach."""

import asyncio
import datetime
import random
import unittest

import uvloop

from acaciamoor import clock
from acaciamoor import model
from acaciamoor import platform
from acaciamoor import replica
from acaciamoor.forwarder.shell import following as followings
from acaciamoor.forwarder.shell import limits
from acaciamoor.forwarder.shell import sources
from acaciamoor.forwarder.tests import test_relay

SECOND = datetime.timedelta(seconds=1)
ROUTES = 'routes'
UPSTREAMS = 'upstreams'
HOSTS = 'hosts'


class Catalogue:
    """Kinds of the tests' objects."""

    routes_kind = ROUTES
    routes_name = 'main'
    upstreams_kind = UPSTREAMS
    hosts_kind = HOSTS

    def host(self, stored):
        return None

    def host_value(self, peer):
        return {}


class Adoption:
    """Records what was adopted."""

    def __init__(self):
        self.names_by_source = {}
        self.changed = asyncio.Event()

    def take(self, replica, events, source):
        names = self.names_by_source.setdefault(source, set())
        names.update(event.stored.name for event in events)
        self.changed.set()

    async def until(self, name: str) -> None:
        """Wait until an object was adopted."""
        while not any(
            name in names for names in self.names_by_source.values()
        ):
            self.changed.clear()
            await self.changed.wait()


def put(kind: str, name: str, version: int) -> platform.WatchEvent:
    """Return the event of a write."""
    return platform.WatchEvent(
        platform.EventType.PUT,
        version,
        platform.StoredObject(kind, name, version, {}),
    )


class Store:
    """Transport whose answers a test gives."""

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


class FollowingTest(unittest.IsolatedAsyncioTestCase):
    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        previous = asyncio.get_event_loop_policy()
        asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())
        cls.addClassCleanup(asyncio.set_event_loop_policy, previous)

    def start(self, store, seeds=()):
        """Return what a host adopts, and its address."""
        address = test_relay.free_address()
        own = replica.Peer(model.HostId(str(address)), 'kgn-a', address)
        adoption = Adoption()
        following = followings.Following(
            limits.FollowingSettings(
                own, tuple(seeds), 3 * SECOND, 4 * SECOND
            ),
            Catalogue(),
            sources.StoreCalls(store, store, store),
            adoption,
            clock.SystemClock(),
            random.Random(1),
        )
        task = asyncio.create_task(following.run())
        self.addAsyncCleanup(self.stop, task)
        return adoption, address

    async def stop(self, task):
        """End a host."""
        task.cancel()
        await asyncio.wait([task])

    async def test_host_that_starts_without_the_store_asks_its_seeds(self):
        """Guards against a host that drops all packets in an outage."""
        first, address = self.start(Store())
        await asyncio.wait_for(first.until('upstreams-first'), 10)
        alone = Store()
        alone.down = True
        second, _ = self.start(alone, [address])
        await asyncio.wait_for(second.until('upstreams-first'), 10)
        await asyncio.wait_for(second.until('routes-first'), 10)
        self.assertIn(str(address), second.names_by_source)

    async def test_host_whose_seeds_are_down_goes_on_asking(self):
        """Guards against a task that ends with a refused connection."""
        store = Store()
        store.down = True
        adoption, _ = self.start(store, [test_relay.free_address()])
        await asyncio.sleep(0.3)
        store.down = False
        await asyncio.wait_for(adoption.until('routes-first'), 10)


class SettingsTest(unittest.TestCase):
    def test_silent_store_is_noticed_in_time(self):
        """Guards against a call that hangs on after the store is back.

        A call that was sent just before the store fell silent must end, and
        its successor be sent, before the host counts as up to date.
        """
        settings = limits.FollowingSettings(None, (), 3 * SECOND, 4 * SECOND)
        for call in (
            settings.patient_calls,
            settings.frequent_calls,
            settings.prompt_calls,
        ):
            latest = (
                call.poll_timeout + call.response_timeout + limits.FIRST_WAIT
            )
            self.assertLess(latest, settings.recovery_bound)
        self.assertLess(limits.LONGEST_WAIT, settings.recovery_bound)

    def test_listeners_ask_the_store_in_time(self):
        """Guards against relays that were cut off and hide a change."""
        settings = limits.FollowingSettings(None, (), 3 * SECOND, 4 * SECOND)
        usual = (
            settings.frequent_calls.poll_timeout
            + limits.FIRST_WAIT
            + limits.BEAT_INTERVAL
        )
        ages = settings.age_limits
        self.assertLess(usual, ages.standby)
        # The second relay refreshes its copy, and its message is on its way.
        refreshed = ages.standby + limits.REVIEW_INTERVAL
        self.assertLess(refreshed, ages.listener)
        latest = ages.listener + limits.REVIEW_INTERVAL
        self.assertLess(latest + SECOND / 2, settings.change_bound)


if __name__ == '__main__':
    unittest.main()
