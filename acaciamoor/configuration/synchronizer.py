"""Synchronization of the service collection with peers."""

import datetime
import functools
import random

from acaciamoor import clock as clocks
from acaciamoor.configuration import effects
from acaciamoor.configuration import freshness_tracker
from acaciamoor.configuration import messages
from acaciamoor.configuration import service_collection
from acaciamoor.configuration import transfer
from acaciamoor.model import identifiers


class Synchronizer:
    """Synchronizes the collection of this host with those of its peers.

    A host that receives a digest with a higher version requests the changes
    after its own version, in chunks and one request at a time. The responding
    host has a byte budget and does not respond while it is exhausted; the
    requester then tries another peer.
    """

    def __init__(
        self,
        collection: service_collection.ServiceCollection,
        freshness: freshness_tracker.FreshnessTracker,
        clock: clocks.Clock,
        rng: random.Random,
        size_of: service_collection.SizeOf,
    ) -> None:
        self.divergence = freshness_tracker.DivergenceDetector()
        self._collection = collection
        self._freshness = freshness
        self._clock = clock
        self._size_of = size_of
        self._requester = transfer.ChangeRequester(rng)
        self._budget = transfer.ByteBudget(clock.monotonic())
        self._changed_ids: dict[identifiers.ServiceId, None] = {}

    def adopt(self, change: messages.ServiceVersion) -> bool:
        """Adopt the next change; return False if it is not newer."""
        published_at = self._clock.monotonic() - change.age
        entry = service_collection.Entry(
            change.service_id, change.version, change.service, published_at
        )
        if not self._collection.adopt(entry):
            self._backdate(entry.version, published_at)
            return False
        self._changed_ids[entry.service_id] = None
        self._freshness.on_version(self._collection.version)
        return True

    def replace(
        self, version: int, entries: list[service_collection.Entry]
    ) -> None:
        """Replace the collection with a complete one, unless that is older."""
        now = self._clock.monotonic()
        for entry in self._collection.replace(version, entries, now):
            self._changed_ids[entry.service_id] = None
        if version >= self._collection.version:
            self._freshness.on_complete(now)

    def on_digest(
        self,
        sender: identifiers.HostId,
        digest: messages.ConfigurationDigest,
        created_after: datetime.timedelta | None,
    ) -> list[effects.Send]:
        """Compare with the digest of a peer and request missing changes."""
        now = self._clock.monotonic()
        version = self._collection.version
        self._freshness.on_digest(digest, version, created_after, now)
        self.divergence.compare(
            digest, version, self._collection.fingerprint, now
        )
        if digest.published_age is not None:
            self._backdate(digest.version, now - digest.published_age)
        if digest.version > version:
            return self._requester.request_changes(sender, version, now)
        return []

    def on_message(
        self, sender: identifiers.HostId, message: object
    ) -> list[effects.Send]:
        """Handle a configuration message; ignore other messages."""
        return _handle(message, self, sender)

    def delta_since(
        self, since: int
    ) -> messages.Delta | messages.Snapshot | None:
        """Return the first chunk after `since`; None without changes."""
        if since >= self._collection.version:
            return None
        if since < self._collection.tombstone_floor:
            return self.snapshot(0)
        items, upto = self._chunk(since)
        return messages.Delta(since, upto, items)

    def snapshot(self, since: int) -> messages.Snapshot:
        """Return the chunk of the complete collection after `since`."""
        items, upto = self._chunk(since)
        return messages.Snapshot(self._collection.version, since, upto, items)

    def take_changes(self) -> list[messages.ServiceVersion]:
        """Return the changes since the last call, in order of version."""
        now = self._clock.monotonic()
        entries = [
            self._collection.entries_by_id[service_id]
            for service_id in self._changed_ids
            if service_id in self._collection.entries_by_id
        ]
        self._changed_ids.clear()
        entries.sort(key=lambda entry: entry.version)
        return [entry.to_service_version(now) for entry in entries]

    def on_request(
        self, sender: identifiers.HostId, request: messages.SnapshotRequest
    ) -> list[effects.Send]:
        """Respond with the next chunk, if the byte budget allows it."""
        if request.since >= self._collection.version:
            return []
        if request.full:
            answer = self.snapshot(request.since)
        else:
            answer = self.delta_since(request.since)
        size = sum(self._size_of(item) for item in answer.items)
        if not self._budget.spend(size, self._clock.monotonic()):
            return []
        return [effects.Send(sender, answer)]

    def on_delta(
        self, sender: identifiers.HostId, delta: messages.Delta
    ) -> list[effects.Send]:
        """Adopt a delta that leaves no gap, and request the next chunk."""
        self._requester.on_response()
        if delta.since > self._collection.version:
            return []
        for item in delta.items:
            self.adopt(item)
        self._collection.advance(delta.upto)
        return self._request_missing(sender)

    def on_snapshot(
        self, sender: identifiers.HostId, chunk: messages.Snapshot
    ) -> list[effects.Send]:
        """Add a chunk, and adopt the snapshot when it is complete."""
        self._requester.on_response()
        assembly = self._requester.add_chunk(chunk, self._clock.monotonic())
        if assembly:
            self.replace(
                assembly.version, list(assembly.entries_by_id.values())
            )
        return self._request_missing(sender)

    def _request_missing(
        self, sender: identifiers.HostId
    ) -> list[effects.Send]:
        now = self._clock.monotonic()
        version = self._collection.version
        self._freshness.on_version(version)
        if self._freshness.newest_known_version > version:
            return self._requester.request_changes(sender, version, now)
        self._freshness.on_complete(now)
        return []

    def _backdate(
        self, version: int, published_at: datetime.timedelta
    ) -> None:
        entry = self._collection.backdate(version, published_at)
        if entry:
            self._changed_ids[entry.service_id] = None

    def _chunk(
        self, since: int
    ) -> tuple[tuple[messages.ServiceVersion, ...], int]:
        now = self._clock.monotonic()
        entries, upto = self._collection.chunk_after(since)
        return tuple(entry.to_service_version(now) for entry in entries), upto


@functools.singledispatch
def _handle(
    message: object, synchronizer: Synchronizer, sender: identifiers.HostId
) -> list[effects.Send]:
    return []


@_handle.register
def _(
    message: messages.SnapshotRequest,
    synchronizer: Synchronizer,
    sender: identifiers.HostId,
) -> list[effects.Send]:
    return synchronizer.on_request(sender, message)


@_handle.register
def _(
    message: messages.Delta,
    synchronizer: Synchronizer,
    sender: identifiers.HostId,
) -> list[effects.Send]:
    return synchronizer.on_delta(sender, message)


@_handle.register
def _(
    message: messages.Snapshot,
    synchronizer: Synchronizer,
    sender: identifiers.HostId,
) -> list[effects.Send]:
    return synchronizer.on_snapshot(sender, message)
