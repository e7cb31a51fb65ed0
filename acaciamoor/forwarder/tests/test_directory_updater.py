"""Log lines of a host about changes to its upstreams."""

import unittest

from acaciamoor import clock
from acaciamoor import directory
from acaciamoor import platform
from acaciamoor import replica
from acaciamoor.directory.tests import builders as directory_builders
from acaciamoor.forwarder.shell import directory_updater
from acaciamoor.forwarder.tests import builders

SECOND = directory_builders.SECOND
SERVICE = directory_builders.SERVICE
UPSTREAMS = 'upstreams'
LOGGER = 'acaciamoor.forwarder.shell.directory_updater'


class StoreSchema:
    """Schema that converts each object to an upstream of the same name."""

    routes_kind = 'routes'
    routes_name = 'main'
    upstreams_kind = UPSTREAMS
    evacuations_kind = 'evacuations'

    def decode_upstream(self, stored):
        if stored.name == 'bad':
            raise RecursionError('deep')
        return directory_builders.upstream_entry(stored.name, stored.version)


def events(*names: str, version: int) -> list[platform.WatchEvent]:
    """Return events that write objects, all at `version`."""
    return [
        platform.WatchEvent(
            platform.EventType.PUT,
            version,
            platform.StoredObject(UPSTREAMS, name, version, {}),
        )
        for name in names
    ]


class DirectoryUpdaterTest(unittest.TestCase):
    def setUp(self):
        self.directory = directory.Directory()
        self.replica = replica.Replica(UPSTREAMS)
        self.clock = clock.ManualClock()
        self.updater = directory_updater.DirectoryUpdater(
            StoreSchema(),
            self.directory,
            builders.core(self.directory),
            self.clock,
            lambda: None,
        )

    def apply(self, *names: str, version: int) -> list[str]:
        """Write objects and return the log lines."""
        batch = replica.Batch(
            self.replica.version,
            version,
            tuple(events(*names, version=version)),
            snapshot=not self.replica.initialized,
        )
        accepted = self.replica.apply(batch)
        with self.assertLogs(LOGGER, 'INFO') as logs:
            self.updater.apply(self.replica, accepted, 'store')
        return [record.getMessage() for record in logs.records]

    def test_first_listing_writes_one_line(self):
        """Guards against slow starts due to one log line per upstream."""
        names = [f'desk-{number}' for number in range(3000)]
        lines = self.apply(*names, version=7)
        self.assertEqual(['3000 upstreams learned from store'], lines)
        self.assertEqual(3000, len(self.directory.entries_by_id))
        self.assertEqual(7, self.directory.revision)

    def test_entries_after_one_that_fails_are_applied(self):
        """Guards against changes that an unexpected error loses for good."""
        self.apply('desk-1', 'bad', 'desk-2', version=7)
        self.assertEqual(
            {'desk-1', 'desk-2'}, set(self.directory.entries_by_id)
        )
        self.assertEqual(7, self.directory.revision)

    def test_each_later_change_writes_one_line(self):
        """Guards against changes that are missing from the log."""
        self.apply('desk-1', version=7)
        lines = self.apply('desk-2', 'desk-3', version=8)
        self.assertEqual(['upstream is active, learned from store'] * 2, lines)

    def remove(self, *names: str, version: int, failed_at=None) -> None:
        """Remove objects; the confirmation of the replica stays old."""
        removed = tuple(
            platform.WatchEvent(
                platform.EventType.DELETED,
                version,
                platform.StoredObject(UPSTREAMS, name, version, {}),
            )
            for name in names
        )
        batch = replica.Batch(self.replica.version, version, removed)
        self.updater.apply(
            self.replica, self.replica.apply(batch), 'store', failed_at
        )

    def count_candidates(self) -> int:
        """Return how many upstreams accept new flows now."""
        now = self.clock.monotonic()
        return len(self.directory.candidates(SERVICE, now))

    def test_grace_counts_from_the_last_confirmation(self):
        """Guards against a grace that begins when a host hears of a removal.

        A relay that is cut off delays the news, not the removal (review/3).
        """
        self.apply('desk-1', 'desk-2', 'desk-3', version=7)
        self.replica.confirm_by_store(7, self.clock.monotonic())
        self.clock.advance(1.8 * SECOND)
        self.remove('desk-1', 'desk-2', version=9)
        self.assertEqual(3, self.count_candidates())
        self.clock.advance(1.2 * SECOND)
        self.assertEqual(1, self.count_candidates())

    def test_grace_counts_from_the_end_of_an_outage(self):
        """Guards against a service that is lost when the store comes back."""
        self.apply('desk-1', 'desk-2', 'desk-3', version=7)
        self.replica.confirm_by_store(7, self.clock.monotonic())
        self.clock.advance(6 * SECOND)
        failed_at = self.clock.monotonic() - SECOND
        self.remove('desk-1', 'desk-2', version=9, failed_at=failed_at)
        self.clock.advance(1.9 * SECOND)
        self.assertEqual(3, self.count_candidates())

    def test_many_changes_in_a_batch_share_a_line(self):
        """Guards against 28,000 lines while the upstreams of a site start."""
        self.apply('desk-1', version=7)
        names = [f'desk-{number}' for number in range(10, 40)]
        lines = self.apply(*names, version=8)
        self.assertEqual(
            ['30 upstreams are active, learned from store'], lines
        )


if __name__ == '__main__':
    unittest.main()
