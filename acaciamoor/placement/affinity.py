"""Which upstream the later requests of a flow stay on."""

import collections
import datetime

from acaciamoor import model

# A flow ends this long after its last packet.
FLOW_LIFETIME = datetime.timedelta(seconds=60)
# Flows on record; the oldest are dropped beyond it and placed anew.
_MAX_FLOWS = 1 << 18


class FlowAffinity:
    """Home upstream of each flow of work."""

    def __init__(self) -> None:
        self._homes_by_flow: collections.OrderedDict[
            int, tuple[model.UpstreamId, datetime.timedelta]
        ] = collections.OrderedDict()

    def home(
        self, flow: int, now: datetime.timedelta
    ) -> model.UpstreamId | None:
        """Return the flow's upstream and prolong its life."""
        record = self._homes_by_flow.get(flow)
        if record is None or record[1] + FLOW_LIFETIME < now:
            return None
        self.put(flow, record[0], now)
        return record[0]

    def put(
        self,
        flow: int,
        upstream_id: model.UpstreamId,
        now: datetime.timedelta,
    ) -> None:
        """Record the upstream of a flow."""
        self._homes_by_flow[flow] = (upstream_id, now)
        self._homes_by_flow.move_to_end(flow)
        if len(self._homes_by_flow) > _MAX_FLOWS:
            self._homes_by_flow.popitem(last=False)

    def close(self, flow: int) -> None:
        """Forget a flow."""
        self._homes_by_flow.pop(flow, None)

    def expire(self, now: datetime.timedelta) -> None:
        """Forget the flows that have ended."""
        while self._homes_by_flow:
            flow, (_, seen) = next(iter(self._homes_by_flow.items()))
            if seen + FLOW_LIFETIME >= now:
                return
            del self._homes_by_flow[flow]
