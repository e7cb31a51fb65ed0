"""Opening packets that no later packet of their flow has followed yet."""

import collections
import collections.abc
import datetime

import msgspec

from acaciamoor import model
from acaciamoor import tokens

# Caller's address and port, then the destination's.
FlowKey = tuple[int, int, int, int]


class Opening(msgspec.Struct):
    """A flow that is being opened.

    Parameters
    ----------
    key : FlowKey
        The flow.
    packet : bytes
        Opening packet as it arrived.
    at : datetime.timedelta
        When it was sent to an upstream last.
    tried_ids : list
        Upstreams that it was sent to, in order.
    service : str
        Service that was chosen for the flow.
    retried : bool
        Whether this host has retried the packet on its own.
    first_at : datetime.timedelta
        When it was sent first.
    """

    key: FlowKey
    packet: bytes
    at: datetime.timedelta
    service: str
    tried_ids: list[model.UpstreamId]
    retried: bool = False
    first_at: datetime.timedelta = datetime.timedelta(0)

    def __post_init__(self) -> None:
        self.first_at = self.at

    @property
    def address(self) -> tokens.ServiceAddress:
        """Destination of the flow."""
        return self.key[2:]


class PendingOpenings:
    """Openings in the order of their last attempt.

    Parameters
    ----------
    limit : int
        Number of openings that are held; the oldest one goes first. An
        opening that was dropped is retried by its caller only.
    """

    def __init__(self, limit: int = 4096) -> None:
        self._limit = limit
        self._openings_by_key: collections.OrderedDict[FlowKey, Opening] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._openings_by_key)

    def get(self, key: FlowKey) -> Opening | None:
        """Return the opening of a flow."""
        return self._openings_by_key.get(key)

    def put(self, opening: Opening) -> None:
        """Add an opening, or move it behind all others."""
        self._openings_by_key[opening.key] = opening
        self._openings_by_key.move_to_end(opening.key)
        if len(self._openings_by_key) > self._limit:
            self._openings_by_key.popitem(last=False)

    def pop(self, key: FlowKey) -> Opening | None:
        """Remove and return the opening of a flow."""
        return self._openings_by_key.pop(key, None)

    def older_than(
        self, instant: datetime.timedelta
    ) -> collections.abc.Iterator[Opening]:
        """Yield openings whose last attempt was before `instant`."""
        for opening in list(self._openings_by_key.values()):
            if opening.at > instant:
                return
            yield opening

    @property
    def oldest(self) -> Opening | None:
        """Opening whose last attempt is the longest ago."""
        return next(iter(self._openings_by_key.values()), None)

    def clear(self) -> None:
        """Forget all openings."""
        self._openings_by_key.clear()
