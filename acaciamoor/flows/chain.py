"""Routing of flows whose upstream depends on a replicated record.

A flow is ambiguous if the retained views map its bucket to different
upstreams. The upstream of such a flow is recorded on two owner hosts, and its
packets are forwarded along the chain of owners to store or find the record.
"""

from acaciamoor.flows import messages
from acaciamoor.flows import owners as owner_tables
from acaciamoor.flows import service as service_flows
from acaciamoor.flows import settings
from acaciamoor.model import identifiers
from acaciamoor.model import members as membership
from acaciamoor.views import buckets
from acaciamoor.wire import envelope as envelopes

# Positions of a packet with `HopPurpose.RECORD` that carries an upstream: the
# owner that receives it forwards it to the other owner, or is the last.
_FIRST_OWNER_POSITION = 0
_LAST_OWNER_POSITION = 1
# The last owner held a different record; the receiver overwrites its own.
_CORRECTION_POSITION = 2
# Limit on forwarding an OPEN from hosts that may not select its upstream.
_MAX_OPEN_POSITION = 2
# Maximum number of hosts that one packet queries for a record. Hosts whose
# membership views differ compute different chains, so one packet may query
# the hosts of more than one chain.
_MAX_QUERIED_HOSTS = 4
# Position of a packet with `HopPurpose.RESOLVE` that found no record, ended at
# a host that may not route by its own views, and was returned to the first
# owner.
_RETURNED_POSITION = 8
_OWNER_COUNT = 2

_NO_UPSTREAM = messages.Refuse(messages.RefusalReason.NO_UPSTREAM)


class ChainRouter:
    """Routes packets that the agreed default upstreams do not decide.

    Attributes
    ----------
    now : int
        Monotonic time in seconds.
    owners : OwnerTable
        Record owners among the live hosts.
    refusal : Refuse or None
        Answer to packets that only the views of this host could route, while
        these may be stale; None while it may route by them.
    """

    def __init__(self, host_id: identifiers.HostId) -> None:
        self.now = 0
        self.owners = owner_tables.OwnerTable(
            membership.MembershipView(0, live=())
        )
        self.refusal: messages.Refuse | None = None
        self._host_id = host_id
        self._members_changed_at: int | None = None

    def set_members(self, members: membership.MembershipView) -> None:
        """Replace the sets of live and leaving hosts."""
        self.owners = owner_tables.OwnerTable(members)
        self._members_changed_at = self.now

    def route(
        self,
        flows: service_flows.ServiceFlows,
        flow: int,
        kind: envelopes.EnvelopeKind,
        hop: messages.Hop | None,
    ) -> messages.Decision:
        """Return the decision for a packet; see `FlowRouter.route`."""
        index = flows.records.get(flow, self.now)
        if hop is not None and hop.purpose is messages.HopPurpose.RECORD:
            if hop.upstream_id is None:
                return self._place_flow(flows, flow, hop.position, index)
            return self._replicate_record(flows, flow, kind, hop, index)
        if kind is envelopes.EnvelopeKind.OPEN:
            return self._route_open(flows, flow, index)
        if index is not None:
            return self._route_by_record(flows, flow, kind, index, hop)
        if self.refusal is None:
            agreed = flows.agreed_defaults[buckets.bucket_of(flow)]
            if agreed >= 0:
                return flows.decisions[agreed]
        return self._resolve(flows, flow, kind, hop)

    def _route_open(
        self,
        flows: service_flows.ServiceFlows,
        flow: int,
        index: int | None,
    ) -> messages.Decision:
        """Route an OPEN that arrived from the fabric."""
        if index is None or flows.is_lost(index):
            if self._lacks_quorum():
                return self.refusal
            if self.refusal is None:
                agreed = flows.agreed_defaults[buckets.bucket_of(flow)]
                if agreed >= 0 and index is None:
                    return flows.decisions[agreed]
        owners = self.owners.owners(flow)
        if not owners or owners[0] == self._host_id:
            return self._place_flow(flows, flow, 0, index)
        return messages.ToPeer(
            owners[0], messages.Hop(messages.HopPurpose.RECORD, 0)
        )

    def _place_flow(
        self,
        flows: service_flows.ServiceFlows,
        flow: int,
        position: int,
        index: int | None,
    ) -> messages.Decision:
        """Select the upstream of a new flow and record it.

        The upstream is selected by the active view, not by the newest one: a
        fresh host may not have received the newest view yet and still route
        by older views.
        """
        owners = self.owners.owners(flow)
        is_owner = self._host_id in owners
        if self.refusal is not None or not is_owner:
            next_owner = self._first_other_owner(flow)
            if next_owner is not None and position < _MAX_OPEN_POSITION:
                return messages.ToPeer(
                    next_owner,
                    messages.Hop(messages.HopPurpose.RECORD, position + 1),
                )
            if self.refusal is not None:
                return self.refusal
        if index is None or flows.is_lost(index):
            index = flows.active_defaults[buckets.bucket_of(flow)]
            if index < 0:
                return _NO_UPSTREAM
            if flows.is_lost(index):
                return flows.decisions[index]
        self._refresh_record(flows, flow, index)
        return self._forward_through_owners(flows, flow, index)

    def _replicate_record(
        self,
        flows: service_flows.ServiceFlows,
        flow: int,
        kind: envelopes.EnvelopeKind,
        hop: messages.Hop,
        known_index: int | None,
    ) -> messages.Decision:
        """Store the record that a packet carries and forward the packet."""
        index = flows.index_of(hop.upstream_id)
        if index is None:
            # This host has not received the view that added the upstream.
            return messages.Refuse(messages.RefusalReason.NOT_FRESH)
        conflict = (
            known_index is not None
            and known_index != index
            and hop.position != _CORRECTION_POSITION
            and not flows.is_lost(known_index)
        )
        if conflict:
            index = known_index
        self._refresh_record(flows, flow, index, kind)
        if flows.is_lost(index):
            return flows.decisions[index]
        if hop.position == _FIRST_OWNER_POSITION:
            return self._forward_to_other_owner(
                flows, flow, index, _LAST_OWNER_POSITION
            )
        if conflict:
            return self._forward_to_other_owner(
                flows, flow, index, _CORRECTION_POSITION
            )
        return flows.decisions[index]

    def _route_by_record(
        self,
        flows: service_flows.ServiceFlows,
        flow: int,
        kind: envelopes.EnvelopeKind,
        index: int,
        hop: messages.Hop | None,
    ) -> messages.Decision:
        """Route by the record that this host holds.

        Periodically, after a change of the members, and if an owner that was
        queried before has no record, a packet is forwarded through both
        owners. This refreshes their records and copies them to new owners
        without control traffic. A host that is not fresh has an
        owner confirm that the upstream still belongs to the service.
        """
        if flows.is_lost(index):
            self._refresh_record(flows, flow, index)
            return flows.decisions[index]
        if (
            kind is envelopes.EnvelopeKind.CLOSE
            or self._is_refresh_due(flows, flow)
            or self._is_missing_at_an_owner(flow, hop)
        ):
            self._refresh_record(flows, flow, index, kind)
            return self._forward_through_owners(flows, flow, index)
        if self.refusal is not None:
            return self._forward_through_owners(flows, flow, index)
        return flows.decisions[index]

    def _resolve(
        self,
        flows: service_flows.ServiceFlows,
        flow: int,
        kind: envelopes.EnvelopeKind,
        hop: messages.Hop | None,
    ) -> messages.Decision:
        """Query the next host of the chain for the record.

        When no host is left to query, the packet is routed by the base view
        if this host may route by its own views. Otherwise it is returned once
        to the first owner and then refused.
        """
        visited = () if hop is None else hop.visited
        if len(visited) < _MAX_QUERIED_HOSTS:
            for host_id in self._hosts_to_query(flow):
                if host_id not in visited:
                    return self._query_host(host_id, len(visited), visited)
        if self.refusal is None:
            return self._route_by_base_view(flows, flow, kind)
        first = next(iter(self.owners.owners(flow)), self._host_id)
        returned = hop is not None and hop.position == _RETURNED_POSITION
        if returned or first == self._host_id:
            return self.refusal
        return self._query_host(first, _RETURNED_POSITION, visited)

    def _hosts_to_query(self, flow: int) -> tuple[identifiers.HostId, ...]:
        """Return the other hosts that may hold the record, by rank."""
        chain = self.owners.chain(flow)
        if not self._in_handover_window():
            chain = chain[:_OWNER_COUNT]
        return tuple(host for host in chain if host != self._host_id)

    def _query_host(
        self,
        host_id: identifiers.HostId,
        position: int,
        visited: tuple[identifiers.HostId, ...],
    ) -> messages.ToPeer:
        return messages.ToPeer(
            host_id,
            messages.Hop(
                messages.HopPurpose.RESOLVE,
                position,
                visited=(*visited, self._host_id),
            ),
        )

    def _route_by_base_view(
        self,
        flows: service_flows.ServiceFlows,
        flow: int,
        kind: envelopes.EnvelopeKind,
    ) -> messages.Decision:
        """Route an unrecorded flow, which was opened under the base view."""
        index = flows.base_defaults[buckets.bucket_of(flow)]
        if index < 0:
            return _NO_UPSTREAM
        if kind is envelopes.EnvelopeKind.CLOSE or flows.is_lost(index):
            return flows.decisions[index]
        self._refresh_record(flows, flow, index)
        return self._forward_through_owners(flows, flow, index)

    def _forward_through_owners(
        self, flows: service_flows.ServiceFlows, flow: int, index: int
    ) -> messages.Decision:
        """Forward a packet with its record through the other owners."""
        is_owner = self._host_id in self.owners.owners(flow)
        position = _LAST_OWNER_POSITION if is_owner else _FIRST_OWNER_POSITION
        return self._forward_to_other_owner(flows, flow, index, position)

    def _forward_to_other_owner(
        self,
        flows: service_flows.ServiceFlows,
        flow: int,
        index: int,
        position: int,
    ) -> messages.Decision:
        other = self._first_other_owner(flow)
        if other is None:
            return flows.decisions[index]
        return messages.ToPeer(
            other,
            messages.Hop(
                messages.HopPurpose.RECORD, position, flows.upstream_id(index)
            ),
        )

    def _first_other_owner(self, flow: int) -> identifiers.HostId | None:
        """Return the first owner other than this host, or None."""
        for host_id in self.owners.owners(flow):
            if host_id != self._host_id:
                return host_id
        return None

    def _refresh_record(
        self,
        flows: service_flows.ServiceFlows,
        flow: int,
        index: int,
        kind: envelopes.EnvelopeKind = envelopes.EnvelopeKind.DATA,
    ) -> None:
        if kind is envelopes.EnvelopeKind.CLOSE:
            expires = self.now + settings.CLOSE_LINGER_SECONDS
        else:
            expires = self.now + settings.RECORD_TTL_SECONDS
            known_expiry = flows.records.expiry(flow)
            if known_expiry is not None and known_expiry > expires:
                # A pinned record stays pinned.
                expires = self.now + settings.PINNED_TTL_SECONDS
        flows.store_record(flow, index, expires)

    def _is_refresh_due(
        self, flows: service_flows.ServiceFlows, flow: int
    ) -> bool:
        """Return whether the record must be refreshed on both owners."""
        expires = flows.records.expiry(flow)
        if expires > self.now + settings.RECORD_TTL_SECONDS:
            # A pinned record is refreshed in its last hour.
            return expires <= self.now + settings.PINNED_THRESHOLD_SECONDS
        refreshed = expires - settings.RECORD_TTL_SECONDS
        if (
            self._members_changed_at is not None
            and refreshed <= self._members_changed_at
        ):
            return True
        return self.now - refreshed >= settings.REFRESH_INTERVAL_SECONDS

    def _is_missing_at_an_owner(
        self, flow: int, hop: messages.Hop | None
    ) -> bool:
        """Return whether an owner was queried, which had no record then.

        An owner that restarts before others notice loses its records without
        a change of the members.
        """
        return hop is not None and not set(hop.visited).isdisjoint(
            self.owners.owners(flow)
        )

    def _in_handover_window(self) -> bool:
        return (
            self._members_changed_at is not None
            and self.now - self._members_changed_at
            <= settings.HANDOVER_WINDOW_SECONDS
        )

    def _lacks_quorum(self) -> bool:
        return (
            self.refusal is not None
            and self.refusal.reason is messages.RefusalReason.NO_QUORUM
        )
