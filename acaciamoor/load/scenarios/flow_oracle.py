"""Oracle that checks whether flows stay on their first upstream."""

import collections
import datetime

from acaciamoor import flows
from acaciamoor import model
from acaciamoor import views
from acaciamoor.load.scenarios import flow_types

_TRANSIENT_REASONS = frozenset(
    [flows.RefusalReason.NOT_FRESH, flows.RefusalReason.NO_QUORUM]
)
_ZERO = datetime.timedelta(0)


class FlowOracle:
    """Records the deliveries and refusals of all flows.

    A flow is broken if a later packet reaches an upstream other than the first
    one, or is permanently refused, although the first upstream is alive.
    """

    def __init__(self) -> None:
        self.flows: list[flow_types.CallerFlow] = []
        self.hops: collections.Counter[int] = collections.Counter()
        self.refusal_counts: collections.Counter[flows.RefusalReason] = (
            collections.Counter()
        )
        self.wrong_service = 0
        self.dead_upstreams: set[model.UpstreamId] = set()
        self._upstreams_by_service: dict[
            model.ServiceId, set[model.UpstreamId]
        ] = collections.defaultdict(set)

    def allow_upstreams(self, view: views.ServiceView) -> None:
        """Record the upstreams that flows of a service may reach."""
        self._upstreams_by_service[view.service_id] |= {
            item.upstream_id for item in view.upstreams
        }

    def record_delivery(
        self,
        packet: flow_types.Packet,
        upstream: model.Upstream,
        now: datetime.timedelta,
    ) -> None:
        """Record a packet that reached an upstream."""
        flow = packet.flow
        self.hops[packet.hops] += 1
        if (
            upstream.upstream_id
            not in self._upstreams_by_service[flow.service_id]
        ):
            self.wrong_service += 1
        if flow.upstream_id is None:
            flow.upstream_id = upstream.upstream_id
        elif flow.upstream_id != upstream.upstream_id and not flow.closed:
            flow.broken = True
        flow.last_delivered_at = now

    def record_refusal(
        self, flow: flow_types.CallerFlow, reason: flows.RefusalReason
    ) -> None:
        """Record a packet that was refused."""
        self.refusal_counts[reason] += 1
        if (
            flow.last_delivered_at is not None
            and reason not in _TRANSIENT_REASONS
        ):
            flow.broken = True

    def broken_flows(self) -> int:
        """Return the number of broken flows whose upstream is alive."""
        return sum(
            flow.broken
            for flow in self.flows
            if flow.upstream_id not in self.dead_upstreams
        )

    def silent_flows(self, since: datetime.timedelta) -> int:
        """Return the number of open flows without a delivery since `since`."""
        return sum(
            not flow.closed
            and flow.upstream_id not in self.dead_upstreams
            and max(flow.opened_at, flow.last_delivered_at or _ZERO) < since
            for flow in self.flows
        )
