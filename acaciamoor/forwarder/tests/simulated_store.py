"""Store of a simulated site, whose paths to hosts can be cut."""

import asyncio
import collections

from acaciamoor import platform
from acaciamoor.forwarder.shell import limits
from acaciamoor.forwarder.tests import test_store_synchronizer
from acaciamoor.platform import versions

UPSTREAMS = test_store_synchronizer.UPSTREAMS


class SimulatedStore:
    """Store to which the path of each host can be cut."""

    def __init__(self):
        self.version = 5
        self.written = collections.defaultdict(list)
        self.peers = []
        self.cut_ids = set()
        self.calls_by_id = collections.Counter()
        self.lists_by_kind = collections.Counter()
        # Whether hosts are in the list only after they have registered.
        self.needs_registration = False
        self.registered_ids = set()
        self.changed = asyncio.Condition()
        self.era = 0

    async def restore(self) -> None:
        """Come back from an empty copy; upstreams register again."""
        self.era += 1
        self.registered_ids.clear()
        self.version = versions.make_version(self.era, 1)
        written, self.written = self.written, collections.defaultdict(list)
        for kind, events in written.items():
            for event in events:
                await self.put(event.stored.name, kind)

    async def put(self, name: str, kind: str = UPSTREAMS) -> None:
        """Write an object and wake up the waiting calls."""
        self.version += 1
        event = test_store_synchronizer.put(kind, name, self.version)
        self.written[kind].append(event)
        async with self.changed:
            self.changed.notify_all()


class Transport:
    """Transport of one host to the store."""

    def __init__(self, store, host_id, wait):
        self._store = store
        self._host_id = host_id
        self._wait = wait.total_seconds()

    async def read_all(self, kind, selector=None, stale=False):
        await self._check_path()
        self._store.lists_by_kind[kind] += 1
        if kind == test_store_synchronizer.HOSTS:
            found = [
                test_store_synchronizer.put(kind, str(number), 1).stored
                for number, peer in enumerate(self._store.peers)
                if not self._store.needs_registration
                or peer.host_id in self._store.registered_ids
            ]
        else:
            found = [event.stored for event in self._store.written[kind]]
        return platform.Listing(self._store.version, tuple(found))

    async def write(self, write):
        await self._check_path()
        self._store.registered_ids.add(write.name)

    async def stream(self, kind, after_version):
        store = self._store
        store.calls_by_id[self._host_id] += 1
        await self._check_path()
        if versions.get_era(after_version) < store.era:
            raise platform.VersionExpired('the store was restored')

        def found():
            return [
                event
                for event in store.written[kind]
                if event.version > after_version
            ]

        async with store.changed:
            try:
                async with asyncio.timeout(self._wait):
                    await store.changed.wait_for(found)
            except TimeoutError:
                pass
            events = found()
        await self._check_path()
        for event in events:
            yield event
        yield platform.WatchEvent(
            platform.EventType.BOOKMARK, max(store.version, after_version)
        )

    async def _check_path(self):
        if self._host_id in self._store.cut_ids:
            await asyncio.sleep(limits.CALL_TIMEOUT.total_seconds())
            raise platform.TimedOut('cut')


class StoreSchema(test_store_synchronizer.StoreSchema):
    """Schema that also decodes the hosts of the simulated store."""

    def __init__(self, store):
        self._store = store

    def decode_host(self, stored):
        return self._store.peers[int(stored.name)]
