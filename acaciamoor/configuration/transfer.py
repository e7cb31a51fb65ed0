"""Transfer of changes between peers in chunks."""

import datetime
import random

from acaciamoor.configuration import effects
from acaciamoor.configuration import messages
from acaciamoor.configuration import service_collection
from acaciamoor.model import identifiers

# A response takes a few milliseconds. After this time, plus jitter, the next
# request may go to another peer.
REQUEST_TIMEOUT = datetime.timedelta(milliseconds=300)
# Share of the control traffic for responses to peers that are behind.
BYTES_PER_SECOND = 2000
BURST_BYTES = 8000


class ByteBudget:
    """Token bucket that limits the responses of one host, in bytes."""

    def __init__(self, now: datetime.timedelta) -> None:
        self._available_bytes = float(BURST_BYTES)
        self._refilled_at = now

    def spend(self, size: int, now: datetime.timedelta) -> bool:
        """Consume `size` bytes; return False if the budget is exhausted."""
        refill = (now - self._refilled_at).total_seconds() * BYTES_PER_SECOND
        self._available_bytes = min(
            BURST_BYTES, self._available_bytes + refill
        )
        self._refilled_at = now
        if self._available_bytes <= 0:
            return False
        # A response may exceed the remaining budget, which then stays negative
        # until it is refilled.
        self._available_bytes -= size
        return True


class ChangeRequester:
    """Requests missing changes from peers, one request at a time."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._requested_at: datetime.timedelta | None = None
        self._assembly: SnapshotAssembly | None = None

    def request_changes(
        self,
        peer: identifiers.HostId,
        version: int,
        now: datetime.timedelta,
    ) -> list[effects.Send]:
        """Request the changes after `version`, unless a request is pending."""
        if self._requested_at is not None:
            # The jitter spreads the requests of hosts that restart together.
            waited = now - self._requested_at
            if waited < REQUEST_TIMEOUT * (1 + self._rng.random()):
                return []
        self._requested_at = now
        if self._assembly:
            request = messages.SnapshotRequest(self._assembly.upto, full=True)
        else:
            request = messages.SnapshotRequest(version)
        return [effects.Send(peer, request)]

    def on_response(self) -> None:
        """Allow the next request immediately."""
        self._requested_at = None

    def add_chunk(
        self, chunk: messages.Snapshot, now: datetime.timedelta
    ) -> 'SnapshotAssembly | None':
        """Add a chunk; return the assembly when it is complete."""
        if chunk.since == 0:
            self._assembly = SnapshotAssembly()
        if self._assembly is None or not self._assembly.add(chunk, now):
            return None
        complete, self._assembly = self._assembly, None
        return complete


class SnapshotAssembly:
    """Reassembles a snapshot from its chunks.

    The chunks may come from different peers: changes that are made during the
    transfer have higher versions and are part of a later chunk, including
    deletions.
    """

    def __init__(self) -> None:
        self.upto = 0
        self.version = 0
        self.entries_by_id: dict[
            identifiers.ServiceId, service_collection.Entry
        ] = {}

    def add(self, chunk: messages.Snapshot, now: datetime.timedelta) -> bool:
        """Add the next chunk; return whether the snapshot is complete."""
        if chunk.since != self.upto:
            return False
        for item in chunk.items:
            self.entries_by_id[item.service_id] = service_collection.Entry(
                item.service_id, item.version, item.service, now - item.age
            )
        self.upto, self.version = chunk.upto, chunk.version
        return self.upto >= self.version
