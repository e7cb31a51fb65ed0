"""Tests of adoption, transfer, freshness and status reporting."""

import datetime
import random
import unittest

from acaciamoor import clock as clocks
from acaciamoor import configuration
from acaciamoor.harness import control_sizes
from acaciamoor.model import identifiers
from acaciamoor.model import members
from acaciamoor.model.tests import builders

SECOND = datetime.timedelta(seconds=1)
PEER = identifiers.HostId('peer')


def store(clock, size_of=control_sizes.change_size):
    """Return an empty store."""
    return configuration.ConfigurationStore(
        identifiers.HostId('a'), clock, random.Random(7), size_of
    )


def change(version, service_id=1, deleted=False, age=0.0):
    """Return a change of a service."""
    service = builders.service(service_id=service_id, version=version)
    return configuration.ServiceVersion(
        service.service_id,
        version,
        None if deleted else service,
        age * SECOND,
    )


def synchronize(behind, ahead):
    """Transfer all missing changes between stores; return the messages."""
    sent = []
    requests = behind.on_digest(PEER, ahead.digest(), None)
    while requests:
        answers = ahead.on_message(PEER, requests[0].message)
        sent.extend([requests[0].message, *(item.message for item in answers)])
        requests = [
            request
            for item in answers
            for request in behind.on_message(PEER, item.message)
        ]
    return sent


def view(live=('a', 'b'), quorum=True):
    """Return a view of the members."""
    return members.MembershipView(1, live, (), quorum, True)


class AdoptionTest(unittest.TestCase):
    def setUp(self):
        self.clock = clocks.ManualClock()
        self.store = store(self.clock)

    def test_stale_watch_changes_nothing(self):
        """Guards against reverting to changes that a stale watch delivers."""
        self.store.on_change(change(5))
        self.assertFalse(self.store.on_change(change(3)))
        self.assertFalse(self.store.on_change(change(4, service_id=2)))
        self.assertEqual(5, self.store.services_by_id[1].version)
        self.assertEqual({1}, set(self.store.services_by_id))

    def test_older_peer_does_not_restore_a_deleted_service(self):
        """Guards against undoing a deletion that a peer has missed."""
        older = store(self.clock)
        older.on_change(change(5))
        self.store.on_change(change(5))
        self.store.on_change(change(6, deleted=True))
        self.store.on_message(PEER, older.snapshot())
        self.store.on_message(PEER, configuration.Delta(0, 5, (change(5),)))
        self.assertEqual({}, dict(self.store.services_by_id))
        synchronize(older, self.store)
        self.assertEqual({}, dict(older.services_by_id))

    def test_delta_with_a_gap_is_not_adopted(self):
        """Guards against a version whose preceding changes are missing."""
        self.store.on_change(change(5))
        self.store.on_message(
            PEER, configuration.Delta(7, 8, (change(8, service_id=2),))
        )
        self.assertEqual(5, self.store.version)

    def test_larger_age_takes_precedence(self):
        """Guards against activating a view at different times on each host."""
        self.store.on_change(change(5, age=0.1))
        self.store.take_changes()
        self.store.on_change(change(5, age=1.0))
        self.store.on_change(change(5, age=0.5))
        (again,) = self.store.take_changes()
        self.assertEqual(1.0 * SECOND, again.age)
        self.clock.advance(1.4 * SECOND)
        self.assertEqual(4, self.store.version_in_force())
        self.clock.advance(0.1 * SECOND)
        self.assertEqual(5, self.store.version_in_force())

    def test_age_includes_the_time_in_the_store(self):
        """Guards against late activation after late delivery."""
        self.store.on_change(change(5))
        self.clock.advance(2 * SECOND)
        late = store(self.clock)
        synchronize(late, self.store)
        (received,) = late.take_changes()
        self.assertEqual(2 * SECOND, received.age)


class EvacuationTest(unittest.TestCase):
    def setUp(self):
        self.clock = clocks.ManualClock()
        self.store = store(self.clock)
        self.store.on_listing(1, [])

    def test_stale_watch_and_older_peer_change_nothing(self):
        """Guards against ending an evacuation by outdated knowledge."""
        older = store(self.clock)
        older.on_evacuation(3, True)
        older.on_evacuation(4, False)
        self.store.on_evacuation(5, True)
        self.store.on_evacuation(4, False)
        self.store.on_digest(PEER, older.digest(), None)
        self.assertEqual((5, True), self._taken())
        older.on_digest(PEER, self.store.digest(), None)
        self.assertTrue(older.take_evacuation().evacuated)

    def test_confirmation_of_the_state_creates_no_version(self):
        """Guards against new views whenever a relay lists or hears a bookmark.

        Hosts would count many versions of the same views.
        """
        self.store.on_evacuation(5, False)
        self.assertIsNone(self.store.digest().evacuation)
        self.store.on_evacuation(6, True)
        self.assertEqual((6, True), self._taken())
        self.store.on_evacuation(9, True)
        self.assertIsNone(self.store.take_evacuation())

    def test_age_grows_and_the_larger_one_wins(self):
        """Guards against views that activate at different times."""
        late = store(self.clock)
        self.store.on_evacuation(5, True)
        self.clock.advance(SECOND)
        late.on_evacuation(5, True)
        self.assertEqual(0 * SECOND, late.take_evacuation().age)
        late.on_digest(PEER, self.store.digest(), None)
        self.assertEqual(SECOND, late.take_evacuation().age)
        late.on_digest(PEER, store(self.clock).digest(), None)
        self.assertIsNone(late.take_evacuation())

    def test_confirmation_comes_with_the_evacuation(self):
        """Guards against a fresh host that lacks an evacuation in force."""
        self.store.on_evacuation(5, True)
        self.clock.advance(3 * SECOND)
        self.store.tick(view(('a',)), lambda host: True)
        behind = store(self.clock)
        behind.on_listing(1, [])
        self.assertFalse(behind.fresh)
        behind.on_digest(PEER, self.store.digest(), self.clock.monotonic())
        self.assertTrue(behind.fresh)
        self.assertTrue(behind.take_evacuation().evacuated)

    def _taken(self):
        state = self.store.take_evacuation()
        return state.version, state.evacuated


class TransferTest(unittest.TestCase):
    def setUp(self):
        self.clock = clocks.ManualClock()
        self.ahead = store(self.clock, lambda item: 300)
        for version in range(1, 21):
            self.ahead.on_change(change(version, service_id=version))

    def test_restarted_host_receives_all_changes_in_chunks(self):
        """Guards against datagrams that exceed the size of a frame."""
        behind = store(self.clock)
        sent = synchronize(behind, self.ahead)
        chunks = [
            item for item in sent if isinstance(item, configuration.Delta)
        ]
        self.assertEqual(7, len(chunks))
        self.assertTrue(all(len(chunk.items) <= 3 for chunk in chunks))
        self.assertEqual(20, behind.version)
        self.assertEqual(
            self.ahead.digest().fingerprint, behind.digest().fingerprint
        )
        self.assertTrue(behind.is_complete)

    def test_answers_stay_within_the_byte_budget(self):
        """Guards against flooding the control network after a restart."""
        answers = [
            self.ahead.on_message(PEER, configuration.SnapshotRequest(0))
            for _ in range(100)
        ]
        self.assertLess(sum(map(len, answers)), 12)

    def test_pruned_deletion_reaches_a_host_after_a_partition(self):
        """Guards against deleted services that remain on partitioned hosts."""
        behind = store(self.clock)
        synchronize(behind, self.ahead)
        self.ahead.on_change(change(21, service_id=3, deleted=True))
        self.ahead.on_change(change(22, service_id=4))
        self.clock.advance(700 * SECOND)
        self.ahead.tick(view(), lambda host_id: True)
        sent = synchronize(behind, self.ahead)
        self.assertTrue(
            any(isinstance(item, configuration.Snapshot) for item in sent)
        )
        self.assertNotIn(3, behind.services_by_id)
        self.assertEqual(
            dict(self.ahead.services_by_id), dict(behind.services_by_id)
        )


class FreshnessTest(unittest.TestCase):
    def setUp(self):
        self.clock = clocks.ManualClock()
        self.store = store(self.clock)
        self.store.on_listing(5, [builders.service(version=5)])

    def test_relay_with_quorum_confirms_during_an_outage(self):
        """Guards against losing freshness during a platform outage."""
        self.clock.advance(3 * SECOND)
        self.assertFalse(self.store.fresh)
        self.store.tick(view(), lambda host_id: True)
        self.assertTrue(self.store.fresh)

    def test_relay_without_quorum_does_not_confirm(self):
        """Guards against a minority that confirms outdated views."""
        self.clock.advance(3 * SECOND)
        self.store.tick(view(quorum=False), lambda host_id: True)
        self.assertFalse(self.store.fresh)

    def test_relay_behind_a_peer_does_not_confirm(self):
        """Guards against a restarted relay that confirms outdated versions."""
        self.clock.advance(3 * SECOND)
        self.store.on_digest(PEER, configuration.ConfigurationDigest(9), None)
        self.store.tick(view(), lambda host_id: True)
        self.assertFalse(self.store.fresh)

    def test_confirmation_counts_from_the_time_it_was_made(self):
        """Guards against counting a confirmation from its arrival.

        The confirmation may have been delayed in a socket buffer.
        """
        follower = store(self.clock)
        digest = configuration.ConfigurationDigest(0, confirmed_age=SECOND)
        follower.on_digest(PEER, digest, self.clock.monotonic() - SECOND)
        self.assertTrue(follower.fresh)
        self.clock.advance(0.6 * SECOND)
        self.assertFalse(follower.fresh)

    def test_pause_ends_freshness(self):
        """Guards against routing by views that became outdated in a pause."""
        self.store.tick(view(), lambda host_id: True)
        self.assertTrue(self.store.fresh)
        self.store.on_pause()
        self.assertFalse(self.store.fresh)


class StatusTest(unittest.TestCase):
    def test_status_waits_for_every_live_host(self):
        """Guards against reusing an address that a host still uses."""
        clock = clocks.ManualClock()
        first = store(clock)
        members = view(live=('a',))
        first.on_listing(5, [builders.service(version=5)])
        for confirmed in (False, False, True, True):
            first.tick(members, lambda host_id, known=confirmed: known)
            clock.advance(SECOND)
        self.assertEqual(5, first.take_status())
        self.assertIsNone(first.take_status())

    def test_target_is_in_force_only_after_the_delay(self):
        """Guards against reporting a version before its views are active."""
        clock = clocks.ManualClock()
        first = store(clock)
        first.on_change(change(5))
        digest = configuration.ConfigurationDigest(5, target=5)
        first.on_digest(PEER, digest, None)
        self.assertFalse(first.digest().target_in_force)
        clock.advance(2.5 * SECOND)
        self.assertTrue(first.digest().target_in_force)
