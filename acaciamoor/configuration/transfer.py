"""Pieces of the configuration on their way between two peers."""

import datetime
import random

from acaciamoor.configuration import collection
from acaciamoor.configuration import effects
from acaciamoor.configuration import messages
from acaciamoor.model import identifiers

# An answer takes a few milliseconds; without one, another peer is asked.
REQUEST_TIMEOUT = datetime.timedelta(milliseconds=300)
# Share of the control budget for answers to peers that lag behind.
BYTES_PER_SECOND = 2000
BURST_BYTES = 8000


class ByteBudget:
    """Token bucket for the answers of one host."""

    def __init__(self, now: datetime.timedelta) -> None:
        self._bytes = float(BURST_BYTES)
        self._at = now

    def take(self, size: int, now: datetime.timedelta) -> bool:
        """Spend `size` bytes; False while the budget is overdrawn."""
        earned = (now - self._at).total_seconds() * BYTES_PER_SECOND
        self._bytes = min(BURST_BYTES, self._bytes + earned)
        self._at = now
        if self._bytes <= 0:
            return False
        # A service larger than the rest of the budget is sent and paid off.
        self._bytes -= size
        return True


class Requester:
    """Asks peers for missing changes, one request at a time."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._asked_at: datetime.timedelta | None = None
        self._assembly: Assembly | None = None

    def ask(
        self,
        peer: identifiers.HostId,
        version: int,
        now: datetime.timedelta,
    ) -> list[effects.Send]:
        """Ask `peer` for what follows `version` unless an answer is due."""
        if self._asked_at is not None:
            # The jitter keeps hosts that restart together apart.
            waited = now - self._asked_at
            if waited < REQUEST_TIMEOUT * (1 + self._rng.random()):
                return []
        self._asked_at = now
        if self._assembly:
            request = messages.SnapshotRequest(self._assembly.upto, full=True)
        else:
            request = messages.SnapshotRequest(version)
        return [effects.Send(peer, request)]

    def on_answer(self) -> None:
        """Allow the next request at once."""
        self._asked_at = None

    def assemble(
        self, piece: messages.Snapshot, now: datetime.timedelta
    ) -> 'Assembly | None':
        """Add a piece; return the assembly when it is complete."""
        if piece.since == 0:
            self._assembly = Assembly()
        if self._assembly is None or not self._assembly.add(piece, now):
            return None
        complete, self._assembly = self._assembly, None
        return complete


class Assembly:
    """Pieces of a snapshot that has not arrived completely.

    The pieces may come from several peers: changes that happen meanwhile
    have higher versions and are part of a later piece, deletions included.
    """

    def __init__(self) -> None:
        self.upto = 0
        self.version = 0
        self.entries_by_id: dict[identifiers.ServiceId, collection.Entry] = {}

    def add(self, piece: messages.Snapshot, now: datetime.timedelta) -> bool:
        """Add the next piece; True when the snapshot is complete."""
        if piece.since != self.upto:
            return False
        for item in piece.items:
            self.entries_by_id[item.service_id] = collection.Entry(
                item.service_id, item.version, item.service, now - item.age
            )
        self.upto, self.version = piece.upto, piece.version
        return self.upto >= self.version
