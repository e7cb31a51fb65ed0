"""Oracle that knows which upstream every flow reached first."""

import collections
import datetime

from acaciamoor import flows
from acaciamoor import model
from acaciamoor import views
from acaciamoor.load.scenarios import flow_types

_TRANSIENT = frozenset(
    [flows.RefusalReason.NOT_FRESH, flows.RefusalReason.NO_QUORUM]
)
_ZERO = datetime.timedelta(0)


class FlowOracle:
    """Judges what becomes of the packets of all flows.

    A flow is broken if a later packet reaches another upstream than the first
    one, or is refused for good although the first upstream lives.
    """

    def __init__(self) -> None:
        self.flows: list[flow_types.CallerFlow] = []
        self.hops: collections.Counter[int] = collections.Counter()
        self.refusals: collections.Counter[flows.RefusalReason] = (
            collections.Counter()
        )
        self.wrong_service = 0
        self.dead_upstreams: set[model.UpstreamId] = set()
        self._allowed: dict[model.ServiceId, set[model.UpstreamId]] = (
            collections.defaultdict(set)
        )

    def allow(self, view: views.ServiceView) -> None:
        """Note the upstreams of a service."""
        self._allowed[view.service_id] |= {
            item.upstream_id for item in view.upstreams
        }

    def deliver(
        self,
        packet: flow_types.Packet,
        upstream: model.Upstream,
        now: datetime.timedelta,
    ) -> None:
        """Take a packet that reached an upstream."""
        flow = packet.flow
        self.hops[packet.hops] += 1
        if upstream.upstream_id not in self._allowed[flow.service_id]:
            self.wrong_service += 1
        if flow.upstream_id is None:
            flow.upstream_id = upstream.upstream_id
        elif flow.upstream_id != upstream.upstream_id and not flow.closed:
            flow.broken = True
        flow.delivered = now

    def refuse(
        self, flow: flow_types.CallerFlow, reason: flows.RefusalReason
    ) -> None:
        """Take a packet that was refused."""
        self.refusals[reason] += 1
        if flow.delivered is not None and reason not in _TRANSIENT:
            flow.broken = True

    def broken_flows(self) -> int:
        """Return the number of broken flows whose upstream lives."""
        return sum(
            flow.broken
            for flow in self.flows
            if flow.upstream_id not in self.dead_upstreams
        )

    def silent_flows(self, since: datetime.timedelta) -> int:
        """Return the open flows of which no packet got through lately."""
        return sum(
            not flow.closed
            and flow.upstream_id not in self.dead_upstreams
            and max(flow.opened, flow.delivered or _ZERO) < since
            for flow in self.flows
        )
