"""Tracks requests of open flows from the packets of their callers.

Upstreams reply to callers directly, so hosts see only one direction of a
flow. That is enough to detect requests in progress: a packet with new data
starts one, and an advanced acknowledgement or the end of the flow ends it.
"""

import collections
import datetime

from acaciamoor import load_reports
from acaciamoor import model
from acaciamoor.openings import load as loads
from acaciamoor.openings import pending

_SEQUENCE_MASK = 0xFFFFFFFF
_HALF_SEQUENCE = 1 << 31


# Silence of a caller during a request after which the request is no longer
# reported as in progress. When hosts join or leave, most flows go on through
# other hosts, and this one never sees their answers: after a restart of all
# hosts the reports held 34 requests at upstreams that take 10.
_MAX_REQUEST_SILENCE = datetime.timedelta(seconds=1)
# Time for which the end of a flow is remembered, and number of such flows. A
# caller acknowledges the end of the other direction within a round trip.
_ENDED_PERIOD = datetime.timedelta(seconds=2)
_MAX_ENDED = 8192


class TrackedFlow:
    """State of an open flow."""

    __slots__ = (
        'acknowledged',
        'busy',
        'busy_since',
        'last_seen_at',
        'sent_to',
        'service',
        'upstream_id',
    )

    def __init__(
        self, upstream_id: model.UpstreamId, service: str, acknowledged: int
    ) -> None:
        self.upstream_id = upstream_id
        self.service = service
        self.acknowledged = acknowledged
        self.busy = False
        self.busy_since = datetime.timedelta(0)
        self.last_seen_at = datetime.timedelta(0)
        self.sent_to: int | None = None


class FlowTracker:
    """Tracks the flows that pass this host and their requests.

    The state of a flow is used for load estimates only. Packets are forwarded
    correctly without it.

    Parameters
    ----------
    load_tracker : LoadTracker
        Receives the start and end of each request.
    demand_tracker : DemandTracker
        Receives the start of each request and its duration.
    limit : int
        Maximum number of tracked flows; the one that has been idle for
        longest is evicted first.
    load_collector : LoadCollector or None
        Counts flows and requests for the reports of this host.
    """

    def __init__(
        self,
        load_tracker: loads.LoadTracker,
        demand_tracker: loads.DemandTracker,
        limit: int = 16384,
        load_collector: load_reports.LoadCollector | None = None,
    ) -> None:
        self._load_tracker = load_tracker
        self._demand_tracker = demand_tracker
        self._limit = limit
        self._collector = load_collector or load_reports.LoadCollector(
            '', '', 0
        )
        self._flows_by_key: collections.OrderedDict[
            pending.FlowKey, TrackedFlow
        ] = collections.OrderedDict()
        # Flows whose request is reported as in progress, by its start.
        self._reported_by_key: collections.OrderedDict[
            pending.FlowKey, TrackedFlow
        ] = collections.OrderedDict()
        # Flows that have ended lately, in the order of their ends.
        self._ended_at_by_key: collections.OrderedDict[
            pending.FlowKey, datetime.timedelta
        ] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._flows_by_key)

    def record_packet(
        self,
        key: pending.FlowKey,
        upstream_id: model.UpstreamId,
        sequence: int,
        acknowledged: int,
        length: int,
        now: datetime.timedelta,
        service: str = '',
    ) -> TrackedFlow | None:
        """Update the state of a flow from a packet.

        Returns None for the last acknowledgement of a flow that has ended.

        Parameters
        ----------
        key : FlowKey
            The flow.
        upstream_id : UpstreamId
            Upstream that serves the flow.
        sequence, acknowledged : int
            Sequence and acknowledgement numbers, modulo 2**32.
        length : int
            Length of the payload, in bytes.
        now : datetime.timedelta
            Current time.
        service : str
            Service of the upstream.
        """
        flow = self._flows_by_key.get(key)
        if flow is None and not length and self._has_ended(key, now):
            return None
        if flow is None or flow.upstream_id != upstream_id:
            flow = self._add(key, upstream_id, service, acknowledged, now)
        else:
            self._flows_by_key.move_to_end(key)
        before = flow.acknowledged
        answered = acknowledged != before
        flow.acknowledged = acknowledged
        flow.last_seen_at = now
        if flow.busy and answered:
            flow.busy = False
            self._finish(key, flow, acknowledged, before, now)
            self._load_tracker.end_request(upstream_id, now)
            self._demand_tracker.add_answered(
                flow.service, now - flow.busy_since
            )
        if length and _advance(flow, sequence + length) and not flow.busy:
            flow.busy, flow.busy_since = True, now
            self._reported_by_key[key] = flow
            self._collector.begin_request(upstream_id)
            self._load_tracker.begin_request(upstream_id, now)
            self._demand_tracker.begin_request(flow.service, now)
        return flow

    def record_end(
        self,
        key: pending.FlowKey,
        now: datetime.timedelta,
        acknowledged: int | None = None,
    ) -> None:
        """Remove a flow and end its request, if one is in progress.

        Parameters
        ----------
        key : FlowKey
            The flow.
        now : datetime.timedelta
            Current time.
        acknowledged : int or None
            Acknowledgement number of the packet that ends the flow. An
            upstream that rejects a request may close the flow at once, so
            that no other packet acknowledges the response.
        """
        flow = self._flows_by_key.pop(key, None)
        if flow is None:
            return
        self._remember_end(key, now)
        self._load_tracker.end_flow(flow.upstream_id)
        self._collector.remove_flow(flow.upstream_id)
        if not flow.busy:
            return
        self._load_tracker.end_request(flow.upstream_id, now)
        if acknowledged is None:
            acknowledged = flow.acknowledged
        self._finish(key, flow, acknowledged, flow.acknowledged, now)

    def _remember_end(
        self, key: pending.FlowKey, now: datetime.timedelta
    ) -> None:
        ended = self._ended_at_by_key
        ended[key] = now
        ended.move_to_end(key)
        while len(ended) > _MAX_ENDED or (
            next(iter(ended.values())) < now - _ENDED_PERIOD
        ):
            ended.popitem(last=False)

    def _has_ended(
        self, key: pending.FlowKey, now: datetime.timedelta
    ) -> bool:
        ended_at = self._ended_at_by_key.get(key)
        return ended_at is not None and now - ended_at <= _ENDED_PERIOD

    def abandon_silent(self, now: datetime.timedelta) -> None:
        """Report no longer the requests whose callers are silent for long."""
        limit = now - _MAX_REQUEST_SILENCE
        reported = self._reported_by_key
        for _ in range(len(reported)):
            key, flow = next(iter(reported.items()))
            if flow.busy_since > limit:
                return
            if flow.last_seen_at > limit:
                # An upload that goes on; looked at again after the others.
                reported.move_to_end(key)
                continue
            del reported[key]
            self._collector.abandon_request(flow.upstream_id)

    def expire(
        self, now: datetime.timedelta, idle: datetime.timedelta
    ) -> None:
        """Remove flows that were idle for longer than `idle`."""
        limit = now - idle
        expired = []
        for key, flow in self._flows_by_key.items():
            if flow.last_seen_at >= limit:
                break
            expired.append(key)
        for key in expired:
            self.record_end(key, now)

    def _add(
        self,
        key: pending.FlowKey,
        upstream_id: model.UpstreamId,
        service: str,
        acknowledged: int,
        now: datetime.timedelta,
    ) -> TrackedFlow:
        self.record_end(key, now)
        if len(self._flows_by_key) >= self._limit:
            self.record_end(next(iter(self._flows_by_key)), now)
        flow = TrackedFlow(upstream_id, service, acknowledged)
        self._flows_by_key[key] = flow
        self._load_tracker.begin_flow(upstream_id)
        self._collector.add_flow(upstream_id)
        return flow

    def _finish(
        self,
        key: pending.FlowKey,
        flow: TrackedFlow,
        acknowledged: int,
        before: int,
        now: datetime.timedelta,
    ) -> None:
        """Report the end of a request, answered if there is a response."""
        reported = self._reported_by_key.pop(key, None) is not None
        size = (acknowledged - before) & _SEQUENCE_MASK
        if 0 < size < _HALF_SEQUENCE:
            self._load_tracker.record_answer(flow.upstream_id, now)
            self._collector.finish_request(
                flow.upstream_id,
                flow.service,
                now - flow.busy_since,
                size,
                reported,
            )
        elif reported:
            # Also a packet that was overtaken on its way.
            self._collector.abandon_request(flow.upstream_id)


def _advance(flow: TrackedFlow, end: int) -> bool:
    """Advance `sent_to` to the sequence number `end` of a packet's data.

    Returns False if the data is a retransmission.
    """
    end &= _SEQUENCE_MASK
    if flow.sent_to is not None:
        step = (end - flow.sent_to) & _SEQUENCE_MASK
        if not 0 < step < _HALF_SEQUENCE:
            return False
    flow.sent_to = end
    return True
