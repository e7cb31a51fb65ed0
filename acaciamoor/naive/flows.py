"""Naive placements of streams.

Every variant knows only the newest view, which it uses as soon as it hears of
it, and exchanges no messages with its peers.
"""

import collections
import collections.abc
import datetime
import enum

from acaciamoor import flows
from acaciamoor import hashing
from acaciamoor import model
from acaciamoor import views
from acaciamoor import wire

_UNKNOWN = flows.Refuse(flows.RefusalReason.UNKNOWN_SERVICE)
_LOST = flows.Refuse(flows.RefusalReason.UPSTREAM_LOST)
_NO_UPSTREAM = flows.Refuse(flows.RefusalReason.NO_UPSTREAM)

# Flows in one message of `ReplicatingRouter`; fits into one datagram.
_BATCH = 120


class Placement(enum.Enum):
    """How a variant maps a flow to an upstream."""

    MODULO = 'hash modulo n'
    RENDEZVOUS = 'rendezvous hash'


class NaiveRouter:
    """Router with the interface of `flows.FlowRouter`.

    Parameters
    ----------
    placement : Placement
        How the upstream of a flow is chosen.
    table : bool
        Whether this balancer remembers where it sent a flow.
    token : bool
        Whether a packet that carries the name of its upstream follows it.
    """

    def __init__(
        self,
        placement: Placement,
        table: bool = False,
        token: bool = False,
    ) -> None:
        self._placement = placement
        self._uses_table = table
        self._uses_token = token
        self._views_by_service: dict[model.ServiceId, views.ServiceView] = {}
        self._weights_by_service: dict[
            model.ServiceId, dict[model.UpstreamId, float]
        ] = {}
        self._ids_by_flow: dict[
            tuple[model.ServiceId, int], model.UpstreamId
        ] = {}

    def set_members(self, members: model.MembershipView) -> None:
        """Ignore the members: no variant asks a peer."""

    def apply_view(
        self, view: views.ServiceView, age: datetime.timedelta
    ) -> bool:
        """Use a view at once if it is newer than the known one."""
        known = self._views_by_service.get(view.service_id)
        if known is not None and known.version >= view.version:
            return False
        self._views_by_service[view.service_id] = view
        self._weights_by_service[view.service_id] = {
            item.upstream_id: item.weight for item in view.candidates
        }
        return True

    def retained_views(
        self,
    ) -> tuple[tuple[views.ServiceView, datetime.timedelta], ...]:
        """Return the newest view of every service."""
        return tuple(
            (view, datetime.timedelta(0))
            for view in self._views_by_service.values()
        )

    def route(
        self,
        service_id: model.ServiceId,
        flow: int,
        kind: wire.EnvelopeKind,
        hop: flows.Hop | None = None,
    ) -> flows.Decision:
        """Return where a packet goes; the hop carries the caller's token."""
        view = self._views_by_service.get(service_id)
        if view is None:
            return _UNKNOWN
        key = (service_id, flow)
        upstream_id = None
        if self._uses_token and hop is not None:
            upstream_id = hop.upstream_id
        elif self._uses_table:
            upstream_id = self._ids_by_flow.get(key)
        if upstream_id is None:
            upstream_id = self._choose(view, flow)
            if upstream_id is None:
                return _NO_UPSTREAM
        if self._uses_table:
            self._ids_by_flow[key] = upstream_id
        return _forward(view, upstream_id)

    def receive_records(self, message: flows.PutRecords) -> None:
        """Ignore records."""

    def receive_needs(
        self, sender: model.HostId, message: flows.ViewNeeds
    ) -> None:
        """Ignore needs."""

    def tick(self) -> collections.abc.Sequence[flows.Message]:
        """Return no messages."""
        return ()

    @property
    def recorded_flows(self) -> int:
        """Number of flows in the table."""
        return len(self._ids_by_flow)

    def _choose(
        self, view: views.ServiceView, flow: int
    ) -> model.UpstreamId | None:
        weights = self._weights_by_service[view.service_id]
        if not weights:
            return None
        if self._placement is Placement.MODULO:
            return list(weights)[hashing.score(flow, 0) % len(weights)]
        return hashing.choose_weighted(flow, weights)


class ReplicatingRouter(NaiveRouter):
    """Rendezvous hash with a table that all balancers share.

    Every new flow is sent to every peer with the next tick, in batches.
    """

    def __init__(self, host_id: model.HostId) -> None:
        super().__init__(Placement.RENDEZVOUS, table=True)
        self._host_id = host_id
        self._peers: tuple[model.HostId, ...] = ()
        self._unsent: dict[
            tuple[model.ServiceId, model.UpstreamId], list[int]
        ] = collections.defaultdict(list)

    def set_members(self, members: model.MembershipView) -> None:
        """Take in the hosts that get the records."""
        self._peers = tuple(
            host_id for host_id in members.live if host_id != self._host_id
        )

    def route(
        self,
        service_id: model.ServiceId,
        flow: int,
        kind: wire.EnvelopeKind,
        hop: flows.Hop | None = None,
    ) -> flows.Decision:
        """Return where a packet goes and queue the record of a new flow."""
        known = len(self._ids_by_flow)
        decision = super().route(service_id, flow, kind, hop)
        if len(self._ids_by_flow) > known:
            upstream_id = self._ids_by_flow[service_id, flow]
            self._unsent[service_id, upstream_id].append(flow)
        return decision

    def receive_records(self, message: flows.PutRecords) -> None:
        """Store the records of a peer."""
        for flow in message.flows:
            self._ids_by_flow.setdefault(
                (message.service_id, flow), message.upstream_id
            )

    def tick(self) -> collections.abc.Sequence[flows.Message]:
        """Return the records of all flows since the last tick."""
        unsent, self._unsent = self._unsent, collections.defaultdict(list)
        return [
            flows.PutRecords(
                host_id,
                service_id,
                upstream_id,
                tuple(keys[start : start + _BATCH]),
            )
            for host_id in self._peers
            for (service_id, upstream_id), keys in unsent.items()
            for start in range(0, len(keys), _BATCH)
        ]


def _forward(
    view: views.ServiceView, upstream_id: model.UpstreamId
) -> flows.Decision:
    for upstream in view.upstreams:
        if upstream.upstream_id == upstream_id:
            return (
                _LOST
                if upstream_id in view.lost
                else flows.ToUpstream(upstream)
            )
    return _LOST
