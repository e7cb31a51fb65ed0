"""Adoption of changes and their exchange with peers."""

import datetime
import functools
import random

from acaciamoor import clock as clocks
from acaciamoor.configuration import collection as collections
from acaciamoor.configuration import effects
from acaciamoor.configuration import freshness as confirmations
from acaciamoor.configuration import messages
from acaciamoor.configuration import transfer
from acaciamoor.model import identifiers


class Exchange:
    """Brings the collection of this host and those of its peers together.

    A host that hears of a higher version asks for what follows its own, in
    pieces, one request at a time. The answering host pays for its answers
    from a byte budget and stays silent when it is spent; the requester then
    asks another peer.
    """

    def __init__(
        self,
        collection: collections.Collection,
        freshness: confirmations.Freshness,
        clock: clocks.Clock,
        rng: random.Random,
        size_of: collections.SizeOf,
    ) -> None:
        self.divergence = confirmations.DivergenceDetector()
        self._collection = collection
        self._freshness = freshness
        self._clock = clock
        self._size_of = size_of
        self._requester = transfer.Requester(rng)
        self._budget = transfer.ByteBudget(clock.monotonic())
        self._changed_ids: dict[identifiers.ServiceId, None] = {}

    def adopt(self, change: messages.ServiceVersion) -> bool:
        """Take over the next change; False if it is not newer."""
        published_at = self._clock.monotonic() - change.age
        entry = collections.Entry(
            change.service_id, change.version, change.service, published_at
        )
        if not self._collection.adopt(entry):
            self._backdate(entry.version, published_at)
            return False
        self._changed_ids[entry.service_id] = None
        self._freshness.on_version(self._collection.version)
        return True

    def replace(self, version: int, entries: list[collections.Entry]) -> None:
        """Take over a complete collection unless it is older."""
        now = self._clock.monotonic()
        for entry in self._collection.replace(version, entries, now):
            self._changed_ids[entry.service_id] = None
        if version >= self._collection.version:
            self._freshness.on_complete(now)

    def on_digest(
        self,
        sender: identifiers.HostId,
        digest: messages.ConfigurationDigest,
        heard_at: datetime.timedelta | None,
    ) -> list[effects.Send]:
        """Compare with the digest of a peer and ask for what is missing."""
        now = self._clock.monotonic()
        version = self._collection.version
        self._freshness.on_digest(digest, version, heard_at, now)
        self.divergence.compare(
            digest, version, self._collection.fingerprint, now
        )
        if digest.published_age is not None:
            self._backdate(digest.version, now - digest.published_age)
        if digest.version > version:
            return self._requester.ask(sender, version, now)
        return []

    def on_message(
        self, sender: identifiers.HostId, message: object
    ) -> list[effects.Send]:
        """Handle a configuration message; other messages have no effect."""
        return _handle(message, self, sender)

    def delta_since(
        self, since: int
    ) -> messages.Delta | messages.Snapshot | None:
        """Return the first piece after `since`; None if nothing follows."""
        if since >= self._collection.version:
            return None
        if since < self._collection.floor:
            return self.snapshot(0)
        items, upto = self._piece(since)
        return messages.Delta(since, upto, items)

    def snapshot(self, since: int) -> messages.Snapshot:
        """Return the piece of the complete collection after `since`."""
        items, upto = self._piece(since)
        return messages.Snapshot(self._collection.version, since, upto, items)

    def take_changes(self) -> list[messages.ServiceVersion]:
        """Return the changes since the last call in order of version."""
        now = self._clock.monotonic()
        entries = [
            self._collection.entries_by_id[service_id]
            for service_id in self._changed_ids
            if service_id in self._collection.entries_by_id
        ]
        self._changed_ids.clear()
        entries.sort(key=lambda entry: entry.version)
        return [entry.aged(now) for entry in entries]

    def on_request(
        self, sender: identifiers.HostId, request: messages.SnapshotRequest
    ) -> list[effects.Send]:
        """Answer with the next piece while the byte budget lasts."""
        if request.since >= self._collection.version:
            return []
        if request.full:
            answer = self.snapshot(request.since)
        else:
            answer = self.delta_since(request.since)
        size = sum(self._size_of(item) for item in answer.items)
        if not self._budget.take(size, self._clock.monotonic()):
            return []
        return [effects.Send(sender, answer)]

    def on_delta(
        self, sender: identifiers.HostId, delta: messages.Delta
    ) -> list[effects.Send]:
        """Adopt a delta that follows on what is held; ask for the next."""
        self._requester.on_answer()
        if delta.since > self._collection.version:
            return []
        for item in delta.items:
            self.adopt(item)
        self._collection.advance(delta.upto)
        return self._continue(sender)

    def on_snapshot(
        self, sender: identifiers.HostId, piece: messages.Snapshot
    ) -> list[effects.Send]:
        """Collect a piece; adopt the snapshot when it is complete."""
        self._requester.on_answer()
        assembly = self._requester.assemble(piece, self._clock.monotonic())
        if assembly:
            self.replace(
                assembly.version, list(assembly.entries_by_id.values())
            )
        return self._continue(sender)

    def _continue(self, sender: identifiers.HostId) -> list[effects.Send]:
        now = self._clock.monotonic()
        version = self._collection.version
        self._freshness.on_version(version)
        if self._freshness.newest_heard > version:
            return self._requester.ask(sender, version, now)
        self._freshness.on_complete(now)
        return []

    def _backdate(
        self, version: int, published_at: datetime.timedelta
    ) -> None:
        entry = self._collection.backdate(version, published_at)
        if entry:
            self._changed_ids[entry.service_id] = None

    def _piece(
        self, since: int
    ) -> tuple[tuple[messages.ServiceVersion, ...], int]:
        now = self._clock.monotonic()
        entries, upto = self._collection.piece_after(since)
        return tuple(entry.aged(now) for entry in entries), upto


@functools.singledispatch
def _handle(
    message: object, exchange: Exchange, sender: identifiers.HostId
) -> list[effects.Send]:
    return []


@_handle.register
def _(
    message: messages.SnapshotRequest,
    exchange: Exchange,
    sender: identifiers.HostId,
) -> list[effects.Send]:
    return exchange.on_request(sender, message)


@_handle.register
def _(
    message: messages.Delta, exchange: Exchange, sender: identifiers.HostId
) -> list[effects.Send]:
    return exchange.on_delta(sender, message)


@_handle.register
def _(
    message: messages.Snapshot, exchange: Exchange, sender: identifiers.HostId
) -> list[effects.Send]:
    return exchange.on_snapshot(sender, message)
