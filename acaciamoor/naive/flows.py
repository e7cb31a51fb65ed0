"""Baselines: naive routing of flows.

Every variant keeps only the newest view and uses it as soon as it arrives. No
variant exchanges messages with its peers, except `ReplicatingRouter`.
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

_UNKNOWN_SERVICE = flows.Refuse(flows.RefusalReason.UNKNOWN_SERVICE)
_UPSTREAM_LOST = flows.Refuse(flows.RefusalReason.UPSTREAM_LOST)
_NO_UPSTREAM = flows.Refuse(flows.RefusalReason.NO_UPSTREAM)

# Maximum number of flows in one message of `ReplicatingRouter`, chosen so that
# the message fits into one datagram.
_MAX_FLOWS_PER_MESSAGE = 120


class HashScheme(enum.Enum):
    """Hash scheme that maps a flow to an upstream."""

    MODULO = 'hash modulo n'
    RENDEZVOUS = 'rendezvous hash'


class NaiveRouter:
    """Router with the interface of `flows.FlowRouter`.

    Parameters
    ----------
    hash_scheme : HashScheme
        How the upstream of a new flow is chosen.
    uses_table : bool
        Whether this balancer records the upstream of each flow.
    uses_token : bool
        Whether a packet that carries the identifier of an upstream is routed
        to that upstream.
    """

    def __init__(
        self,
        hash_scheme: HashScheme,
        uses_table: bool = False,
        uses_token: bool = False,
    ) -> None:
        self._hash_scheme = hash_scheme
        self._uses_table = uses_table
        self._uses_token = uses_token
        self._views_by_service: dict[model.ServiceId, views.ServiceView] = {}
        self._weights_by_service: dict[
            model.ServiceId, dict[model.UpstreamId, float]
        ] = {}
        self._upstream_ids_by_flow: dict[
            tuple[model.ServiceId, int], model.UpstreamId
        ] = {}

    def set_members(self, members: model.MembershipView) -> None:
        """Ignore the members: packets are never forwarded to a peer."""

    def apply_view(
        self, view: views.ServiceView, age: datetime.timedelta
    ) -> bool:
        """Activate a view at once if it is newer than the current one."""
        current = self._views_by_service.get(view.service_id)
        if current is not None and current.version >= view.version:
            return False
        self._views_by_service[view.service_id] = view
        self._weights_by_service[view.service_id] = {
            item.upstream_id: item.weight for item in view.candidates
        }
        return True

    def retained_views(
        self,
    ) -> tuple[tuple[views.ServiceView, datetime.timedelta], ...]:
        """Return the newest view of every service, with age 0."""
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
        """Return the decision for a packet.

        The upstream identifier in `hop` is the token that the caller echoed.
        """
        view = self._views_by_service.get(service_id)
        if view is None:
            return _UNKNOWN_SERVICE
        key = (service_id, flow)
        upstream_id = None
        if self._uses_token and hop is not None:
            upstream_id = hop.upstream_id
        elif self._uses_table:
            upstream_id = self._upstream_ids_by_flow.get(key)
        if upstream_id is None:
            upstream_id = self._choose_upstream(view, flow)
            if upstream_id is None:
                return _NO_UPSTREAM
        if self._uses_table:
            self._upstream_ids_by_flow[key] = upstream_id
        return _decide(view, upstream_id)

    def receive_records(self, message: flows.PutRecords) -> None:
        """Ignore records of peers."""

    def receive_needs(
        self, sender: model.HostId, message: flows.ViewNeeds
    ) -> None:
        """Ignore view needs of peers."""

    def tick(self) -> collections.abc.Sequence[flows.Message]:
        """Return no messages."""
        return ()

    @property
    def recorded_flows(self) -> int:
        """Number of flows in the table."""
        return len(self._upstream_ids_by_flow)

    def _choose_upstream(
        self, view: views.ServiceView, flow: int
    ) -> model.UpstreamId | None:
        weights = self._weights_by_service[view.service_id]
        if not weights:
            return None
        if self._hash_scheme is HashScheme.MODULO:
            return list(weights)[hashing.score(flow, 0) % len(weights)]
        return hashing.choose_weighted(flow, weights)


class ReplicatingRouter(NaiveRouter):
    """Rendezvous hashing with a flow table replicated to all balancers.

    The records of new flows are sent to every peer at the next tick, in
    batches.
    """

    def __init__(self, host_id: model.HostId) -> None:
        super().__init__(HashScheme.RENDEZVOUS, uses_table=True)
        self._host_id = host_id
        self._peers: tuple[model.HostId, ...] = ()
        self._pending_flows: dict[
            tuple[model.ServiceId, model.UpstreamId], list[int]
        ] = collections.defaultdict(list)

    def set_members(self, members: model.MembershipView) -> None:
        """Replace the peers that records are sent to."""
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
        """Return the decision and queue the record of a new flow."""
        previous_count = len(self._upstream_ids_by_flow)
        decision = super().route(service_id, flow, kind, hop)
        if len(self._upstream_ids_by_flow) > previous_count:
            upstream_id = self._upstream_ids_by_flow[service_id, flow]
            self._pending_flows[service_id, upstream_id].append(flow)
        return decision

    def receive_records(self, message: flows.PutRecords) -> None:
        """Store the records of a peer."""
        for flow in message.flows:
            self._upstream_ids_by_flow.setdefault(
                (message.service_id, flow), message.upstream_id
            )

    def tick(self) -> collections.abc.Sequence[flows.Message]:
        """Return the records of all flows opened since the last tick."""
        pending, self._pending_flows = (
            self._pending_flows,
            collections.defaultdict(list),
        )
        return [
            flows.PutRecords(
                host_id,
                service_id,
                upstream_id,
                tuple(keys[start : start + _MAX_FLOWS_PER_MESSAGE]),
            )
            for host_id in self._peers
            for (service_id, upstream_id), keys in pending.items()
            for start in range(0, len(keys), _MAX_FLOWS_PER_MESSAGE)
        ]


def _decide(
    view: views.ServiceView, upstream_id: model.UpstreamId
) -> flows.Decision:
    for upstream in view.upstreams:
        if upstream.upstream_id == upstream_id:
            return (
                _UPSTREAM_LOST
                if upstream_id in view.lost
                else flows.ToUpstream(upstream)
            )
    return _UPSTREAM_LOST
