"""The platform stand-in works with the real HTTP client."""

import asyncio
import datetime
import unittest

import aiohttp

from acaciamoor import platform
from acaciamoor.demo import site
from acaciamoor.standins import platform as standin

KIND = 'services'
# Long enough that a call does not time out on a loaded machine.
LONG_TIMEOUTS = platform.Timeouts(
    datetime.timedelta(seconds=60), datetime.timedelta(seconds=60)
)


async def wait_until(condition) -> None:
    """Wait until `condition` holds; the timeout only ends a hung test."""
    async with asyncio.timeout(60):
        while not condition():
            await asyncio.sleep(0.01)


class PlatformServerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = standin.PlatformServer(bookmark_interval_s=0.05)
        address = site.find_free_address()
        await self.server.start(address)
        self.addAsyncCleanup(self.server.stop)
        self.url = f'http://{address}'
        self.transport = platform.HttpTransport(self.url, LONG_TIMEOUTS)
        self.addAsyncCleanup(self.transport.close)
        self.store = platform.PlatformStore(self.transport)

    async def test_objects_and_conditional_updates(self):
        """Guards against an update that ignores the expected version."""
        created = await self.store.create(KIND, 'desk', {'a': 1})
        updated = await self.store.update(
            KIND, 'desk', {'a': 2}, created.version
        )
        self.assertEqual(updated, await self.store.get(KIND, 'desk'))
        other = platform.PlatformStore(self.transport)
        with self.assertRaises(platform.Conflict) as caught:
            await other.update(KIND, 'desk', {'a': 3}, created.version)
        self.assertEqual(updated, caught.exception.stored)
        with self.assertRaises(platform.Conflict):
            await self.store.create(KIND, 'desk', {})
        with self.assertRaises(platform.NotFound):
            await self.store.get(KIND, 'bench')
        await self.store.delete(KIND, 'desk', updated.version)
        listing = await self.store.list(KIND)
        self.assertEqual((), listing.objects)
        self.assertGreater(listing.version, updated.version)

    async def test_lost_replies_over_http(self):
        """Guards against a client that applies a write twice unnoticed."""
        created = await self.store.create(KIND, 'desk', {'a': 1})
        for faults in (
            standin.Faults(lose_replies=1),
            standin.Faults(lose_replies=2),
            standin.Faults(lose_requests=2),
        ):
            with self.subTest(faults=faults):
                self.server.set_faults(faults)
                before = await self.store.get(KIND, 'desk')
                updated = await self.store.update(
                    KIND, 'desk', {'a': str(faults)}, before.version
                )
                self.assertEqual(before.version + 1, updated.version)
        self.assertEqual(created.version + 3, updated.version)

    async def test_outage_and_limits_have_their_own_errors(self):
        """Guards against reporting a refused call as of unknown outcome."""
        self.server.set_faults(standin.Faults(writes_per_second=0.0))
        await self._use_allowed_write()
        with self.assertRaises(platform.RateLimited):
            await self.store.create(KIND, 'desk', {})
        self.server.set_faults(standin.Faults(outage=True))
        with self.assertRaises(platform.Unavailable):
            await self.store.get(KIND, 'desk')
        await self.server.stop()
        with self.assertRaises(platform.Unavailable):
            await self.store.create(KIND, 'desk', {})

    async def _use_allowed_write(self):
        # The token bucket allows one call even at a rate of zero.
        await self.store.create(KIND, 'first', {})

    async def test_oversized_value_is_rejected(self):
        """Guards against a stand-in without the platform's limit on values."""
        value = {'a': 'x' * platform.VALUE_LIMIT_BYTES}
        with self.assertRaises(platform.Rejected):
            await self.store.create(KIND, 'desk', value)

    async def test_watch_survives_outage_expiry_and_stale_server(self):
        """Guards against a watch that stalls or goes back to old versions."""
        seen = []
        reader = asyncio.create_task(self._read(seen))
        self.addCleanup(reader.cancel)
        await self.store.create(KIND, 'desk', {'a': 1})
        await wait_until(lambda: seen == [1])
        calls_by_kind = self.server.calls_by_kind
        self.server.set_faults(standin.Faults(outage=True))
        await wait_until(lambda: calls_by_kind['watch services'] > 1)
        self.server.table.write(platform.Write(KIND, 'bench', {}, ()))
        self.server.table.expire(KIND)
        list_calls = calls_by_kind['get services']
        self.server.set_faults(standin.Faults(stale_watch_after=1))
        await wait_until(lambda: calls_by_kind['get services'] > list_calls)
        self.assertEqual([1], seen)
        self.server.set_faults(standin.Faults())
        await wait_until(lambda: len(seen) > 1)
        self.assertEqual([1, 2], seen)

    async def _read(self, seen):
        async for event in self.store.watch(KIND, 0):
            if event.event_type is platform.EventType.PUT:
                seen.append(event.version)

    async def test_host_list_lags(self):
        """Guards against a stand-in whose host list is always current."""
        value = {'data_centre': 'kgn-a', 'address': '127.0.0.1:9100'}
        await self.store.create('hosts', 'entry-1', value)
        async with aiohttp.ClientSession() as session:
            faults = f'{self.url}/admin/faults'
            async with session.put(faults, json={'lag_hosts': True}) as reply:
                self.assertEqual(200, reply.status)
            await self.store.create('hosts', 'entry-2', value)
            lagging = await platform.list_hosts(self.store, 'kgn-a')
            self.assertEqual(['entry-1'], list(lagging.hosts_by_id))
            async with session.put(faults, json={}) as reply:
                self.assertEqual(200, reply.status)
            async with session.get(f'{self.url}/admin/counters') as reply:
                counters = await reply.json()
        self.assertEqual(2, counters['post hosts'])
        current = await platform.list_hosts(self.store, 'kgn-a')
        self.assertEqual(2, len(current.hosts_by_id))

    async def test_host_list_has_only_the_data_centre(self):
        """Guards against host lists that include other data centres."""
        for name, data_centre in (('entry-1', 'kgn-a'), ('entry-2', 'kgn-b')):
            value = {'data_centre': data_centre, 'address': '127.0.0.1:9100'}
            await self.store.create('hosts', name, value)
        listed = await platform.list_hosts(self.store, 'kgn-b')
        self.assertEqual(['entry-2'], list(listed.hosts_by_id))
