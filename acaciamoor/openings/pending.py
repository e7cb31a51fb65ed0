"""Flows whose opening packet has not been answered yet."""

import collections
import collections.abc
import datetime
import itertools

import msgspec

from acaciamoor import model
from acaciamoor import tokens

# Address and port of the caller, then of the service.
FlowKey = tuple[int, int, int, int]


class Opening(msgspec.Struct):
    """A flow that waits for an upstream, or for the answer of one.

    Parameters
    ----------
    key : FlowKey
        The flow.
    packet : bytes
        Opening packet as received.
    last_tried_at : datetime.timedelta
        Time of the latest attempt to place the flow.
    service : str
        Service that was chosen for the flow; empty before the choice.
    tried_ids : list
        Upstreams that were sent the packet, in order.
    retried : bool
        Whether the host has resent the packet by itself after a timeout.
    received_at : datetime.timedelta
        Time at which the first packet of the flow was handled.
    refusable_until : datetime.timedelta
        Time until which no other host can have opened the flow.
    admitted : bool
        Whether the flow was admitted while its service was overloaded, or
        before.
    """

    key: FlowKey
    packet: bytes
    last_tried_at: datetime.timedelta
    service: str = ''
    tried_ids: list[model.UpstreamId] = msgspec.field(default_factory=list)
    retried: bool = False
    received_at: datetime.timedelta = datetime.timedelta(0)
    refusable_until: datetime.timedelta = datetime.timedelta(0)
    admitted: bool = False

    def __post_init__(self) -> None:
        self.received_at = self.last_tried_at

    @property
    def address(self) -> tokens.ServiceAddress:
        """Address and port of the service."""
        return self.key[2:]


class PendingOpenings:
    """Pending openings, ordered by their latest attempt.

    Parameters
    ----------
    limit : int
        Maximum number of openings; the oldest one is evicted first. The host
        does not retry evicted openings; only their callers retransmit.
    """

    def __init__(self, limit: int = 4096) -> None:
        self._limit = limit
        self._openings_by_key: collections.OrderedDict[FlowKey, Opening] = (
            collections.OrderedDict()
        )
        # Those that no upstream has been sent yet, with their service when
        # they were added, and their number by service.
        self._unplaced_by_key: collections.OrderedDict[
            FlowKey, tuple[Opening, str]
        ] = collections.OrderedDict()
        self._unplaced_by_service: collections.Counter[str] = (
            collections.Counter()
        )

    def __len__(self) -> int:
        return len(self._openings_by_key)

    def get(self, key: FlowKey) -> Opening | None:
        """Return the opening of a flow; None if there is none."""
        return self._openings_by_key.get(key)

    def put(self, opening: Opening) -> None:
        """Add an opening, or move it to the end of the order.

        This is also how the object learns that an opening was placed.
        """
        key = opening.key
        self._openings_by_key[key] = opening
        self._openings_by_key.move_to_end(key)
        self._forget_unplaced(key)
        if not opening.tried_ids:
            self._unplaced_by_key[key] = opening, opening.service
            self._unplaced_by_service[opening.service] += 1
        if len(self._openings_by_key) > self._limit:
            self.pop(next(iter(self._openings_by_key)))

    def pop(self, key: FlowKey) -> Opening | None:
        """Remove and return the opening of a flow; None if there is none."""
        self._forget_unplaced(key)
        return self._openings_by_key.pop(key, None)

    def older_than(
        self, instant: datetime.timedelta
    ) -> collections.abc.Iterator[Opening]:
        """Yield openings whose latest attempt was at `instant` or before.

        Callers may remove the openings, and put them back with a later time.
        """
        yield from list(
            itertools.takewhile(
                lambda opening: opening.last_tried_at <= instant,
                self._openings_by_key.values(),
            )
        )

    def unplaced(self) -> list[Opening]:
        """Return the openings that no upstream has been sent yet."""
        return [opening for opening, _ in self._unplaced_by_key.values()]

    def count_unplaced(self, service: str) -> int:
        """Return the number of those of a service."""
        return self._unplaced_by_service[service]

    @property
    def oldest(self) -> Opening | None:
        """Opening whose latest attempt is the longest ago, or None."""
        return next(iter(self._openings_by_key.values()), None)

    def clear(self) -> None:
        """Remove all openings."""
        self._openings_by_key.clear()
        self._unplaced_by_key.clear()
        self._unplaced_by_service.clear()

    def _forget_unplaced(self, key: FlowKey) -> None:
        unplaced = self._unplaced_by_key.pop(key, None)
        if unplaced is None:
            return
        _, service = unplaced
        counts = self._unplaced_by_service
        counts[service] -= 1
        if not counts[service]:
            del counts[service]
