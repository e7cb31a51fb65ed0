"""Requests of open flows, told from the packets of their callers.

Answers go from the upstream to the caller directly and pass no host. What a
host sees is enough to tell whether a request is in progress: data without a
new acknowledgement starts one, and an acknowledgement that has moved, or the
end of the flow, ends it.
"""

import collections
import datetime

from acaciamoor import model
from acaciamoor.openings import load as loads
from acaciamoor.openings import pending

_SEQUENCE_MASK = 0xFFFFFFFF
_HALF_SEQUENCE = 1 << 31


class Flow:
    """What is remembered of an open flow."""

    __slots__ = ('acknowledged', 'busy', 'seen', 'sent_to', 'upstream_id')

    def __init__(
        self, upstream_id: model.UpstreamId, acknowledged: int
    ) -> None:
        self.upstream_id = upstream_id
        self.acknowledged = acknowledged
        self.busy = False
        self.seen = datetime.timedelta(0)
        self.sent_to: int | None = None


class FlowActivity:
    """Flows that pass this host, with the requests in progress.

    The record of a flow serves estimates only. Losing it loses no packet.

    Parameters
    ----------
    book : LoadBook
        Counts the requests of each upstream.
    limit : int
        Number of flows that are remembered; the one that was idle longest is
        forgotten first.
    """

    def __init__(self, book: loads.LoadBook, limit: int = 16384) -> None:
        self._book = book
        self._limit = limit
        self._flows_by_key: collections.OrderedDict[pending.FlowKey, Flow] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._flows_by_key)

    def note_packet(
        self,
        key: pending.FlowKey,
        upstream_id: model.UpstreamId,
        sequence: int,
        acknowledged: int,
        length: int,
        now: datetime.timedelta,
    ) -> Flow:
        """Account for a packet of an open flow.

        Parameters
        ----------
        key : FlowKey
            The flow.
        upstream_id : UpstreamId
            Upstream that it belongs to.
        sequence, acknowledged : int
            Numbers in the packet, modulo 2**32.
        length : int
            Bytes of data in the packet.
        now : datetime.timedelta
            Present time.
        """
        flow = self._flows_by_key.get(key)
        if flow is None or flow.upstream_id != upstream_id:
            flow = self._add(key, upstream_id, acknowledged, now)
        answered = acknowledged != flow.acknowledged
        flow.acknowledged = acknowledged
        flow.seen = now
        if flow.busy and answered:
            flow.busy = False
            self._book.end(upstream_id, now)
        if length and _advance(flow, sequence + length) and not flow.busy:
            flow.busy = True
            self._book.begin(upstream_id, now)
        return flow

    def note_end(self, key: pending.FlowKey, now: datetime.timedelta) -> None:
        """Forget a flow that its caller has closed."""
        flow = self._flows_by_key.pop(key, None)
        if flow is not None and flow.busy:
            self._book.end(flow.upstream_id, now)

    def expire(
        self, now: datetime.timedelta, idle: datetime.timedelta
    ) -> None:
        """Forget flows that were idle for longer than `idle`."""
        limit = now - idle
        expired = [
            key
            for key, flow in self._flows_by_key.items()
            if flow.seen < limit
        ]
        for key in expired:
            self.note_end(key, now)

    def _add(
        self,
        key: pending.FlowKey,
        upstream_id: model.UpstreamId,
        acknowledged: int,
        now: datetime.timedelta,
    ) -> Flow:
        self.note_end(key, now)
        if len(self._flows_by_key) >= self._limit:
            self.note_end(next(iter(self._flows_by_key)), now)
        flow = Flow(upstream_id, acknowledged)
        self._flows_by_key[key] = flow
        return flow


def _advance(flow: Flow, end: int) -> bool:
    """Note the end of a packet's data; False if it was seen before."""
    end &= _SEQUENCE_MASK
    if flow.sent_to is not None:
        step = (end - flow.sent_to) & _SEQUENCE_MASK
        if not 0 < step < _HALF_SEQUENCE:
            return False
    flow.sent_to = end
    return True
