"""Affinity of flows: later requests go to the upstream of the first."""

import collections
import datetime

from acaciamoor import model

# A flow without requests for this long has ended.
FLOW_IDLE_TIMEOUT = datetime.timedelta(seconds=60)
# Beyond this number, the least recently used flow loses its affinity.
_MAX_FLOWS = 1 << 18


class FlowAffinity:
    """Bounded table of the upstream that each flow is pinned to."""

    def __init__(self) -> None:
        self._pins_by_flow: collections.OrderedDict[
            int, tuple[model.UpstreamId, datetime.timedelta]
        ] = collections.OrderedDict()

    def lookup(
        self, flow: int, now: datetime.timedelta
    ) -> model.UpstreamId | None:
        """Return the upstream of a flow and restart its idle timeout."""
        record = self._pins_by_flow.get(flow)
        if record is None or record[1] + FLOW_IDLE_TIMEOUT < now:
            return None
        self.pin(flow, record[0], now)
        return record[0]

    def pin(
        self,
        flow: int,
        upstream_id: model.UpstreamId,
        now: datetime.timedelta,
    ) -> None:
        """Pin a flow to an upstream."""
        self._pins_by_flow[flow] = (upstream_id, now)
        self._pins_by_flow.move_to_end(flow)
        if len(self._pins_by_flow) > _MAX_FLOWS:
            self._pins_by_flow.popitem(last=False)

    def remove(self, flow: int) -> None:
        """Remove a flow, if it is known."""
        self._pins_by_flow.pop(flow, None)

    def expire(self, now: datetime.timedelta) -> None:
        """Remove the flows whose idle timeout has passed."""
        while self._pins_by_flow:
            flow, (_, seen) = next(iter(self._pins_by_flow.items()))
            if seen + FLOW_IDLE_TIMEOUT >= now:
                return
            del self._pins_by_flow[flow]
