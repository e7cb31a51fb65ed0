"""Way of an exception's packets through the owners of its flow."""

from acaciamoor.flows import messages
from acaciamoor.flows import owners as owner_tables
from acaciamoor.flows import service as service_flows
from acaciamoor.flows import settings
from acaciamoor.model import identifiers
from acaciamoor.model import members as membership
from acaciamoor.views import buckets
from acaciamoor.wire import envelope as envelopes

# Positions of a packet with `HopPurpose.RECORD` and an upstream.
_TO_FIRST_OWNER = 0
_TO_LAST_OWNER = 1
# The last owner had another record: the receiver replaces its own.
_CORRECTION = 2
# Hosts that may pass on an OPEN because they cannot choose for it.
_MAX_PLACER_POSITION = 2
# Hosts that one packet asks for a record at most. The chains of two hosts may
# differ while their members do, so a packet may ask more than one chain.
_MAX_VISITED = 4
# Position of a packet with `HopPurpose.RESOLVE` that went through the whole
# chain to a host that may not decide, and returned to the first owner.
_RETURNED = 8
_OWNERS = 2

_NO_UPSTREAM = messages.Refuse(messages.RefusalReason.NO_UPSTREAM)


class ChainRouter:
    """Routes the packets whose upstream the views alone do not give.

    Attributes
    ----------
    now : int
        Monotonic time in seconds.
    owners : OwnerTable
        Owners among the live hosts.
    distrust : Refuse or None
        Why this host may not decide by its own views, or None if it may.
    """

    def __init__(self, host_id: identifiers.HostId) -> None:
        self.now = 0
        self.owners = owner_tables.OwnerTable(
            membership.MembershipView(0, live=())
        )
        self.distrust: messages.Refuse | None = None
        self._host_id = host_id
        self._changed: int | None = None

    def set_members(self, members: membership.MembershipView) -> None:
        """Take in another set of live or leaving hosts."""
        self.owners = owner_tables.OwnerTable(members)
        self._changed = self.now

    def route(
        self,
        flows: service_flows.ServiceFlows,
        flow: int,
        kind: envelopes.EnvelopeKind,
        hop: messages.Hop | None,
    ) -> messages.Decision:
        """Return where a packet goes; see `FlowRouter.route`."""
        index = flows.records.get(flow, self.now)
        if hop is not None and hop.purpose is messages.HopPurpose.RECORD:
            if hop.upstream_id is None:
                return self._place(flows, flow, hop.position, index)
            return self._record(flows, flow, kind, hop, index)
        if kind is envelopes.EnvelopeKind.OPEN:
            return self._open(flows, flow, index)
        if index is not None:
            return self._follow(flows, flow, kind, index)
        if self.distrust is None:
            agreed = flows.agreed[buckets.bucket_of(flow)]
            if agreed >= 0:
                return flows.decisions[agreed]
        return self._resolve(flows, flow, kind, hop)

    def _open(
        self,
        flows: service_flows.ServiceFlows,
        flow: int,
        index: int | None,
    ) -> messages.Decision:
        """Route an OPEN from the fabric."""
        if index is None or flows.is_lost(index):
            if self._lacks_quorum():
                return self.distrust
            if self.distrust is None:
                agreed = flows.agreed[buckets.bucket_of(flow)]
                if agreed >= 0 and index is None:
                    return flows.decisions[agreed]
        owners = self.owners.owners(flow)
        if not owners or owners[0] == self._host_id:
            return self._place(flows, flow, 0, index)
        return messages.ToPeer(
            owners[0], messages.Hop(messages.HopPurpose.RECORD, 0)
        )

    def _place(
        self,
        flows: service_flows.ServiceFlows,
        flow: int,
        position: int,
        index: int | None,
    ) -> messages.Decision:
        """Choose the upstream of a new flow and record it.

        The choice follows the view in effect, not the newest one: a fresh
        host may not know the newest view yet and route by the older ones.
        """
        owners = self.owners.owners(flow)
        is_owner = self._host_id in owners
        if self.distrust is not None or not is_owner:
            following = self._other_owner(flow)
            if following is not None and position < _MAX_PLACER_POSITION:
                return messages.ToPeer(
                    following,
                    messages.Hop(messages.HopPurpose.RECORD, position + 1),
                )
            if self.distrust is not None:
                return self.distrust
        if index is None or flows.is_lost(index):
            index = flows.active[buckets.bucket_of(flow)]
            if index < 0:
                return _NO_UPSTREAM
            if flows.is_lost(index):
                return flows.decisions[index]
        self._refresh(flows, flow, index)
        return self._pass_to_owners(flows, flow, index)

    def _record(
        self,
        flows: service_flows.ServiceFlows,
        flow: int,
        kind: envelopes.EnvelopeKind,
        hop: messages.Hop,
        known: int | None,
    ) -> messages.Decision:
        """Store the record that a packet carries and pass the packet on."""
        index = flows.index_of(hop.upstream_id)
        if index is None:
            # The view that added the upstream has not arrived here.
            return messages.Refuse(messages.RefusalReason.NOT_FRESH)
        conflict = (
            known is not None
            and known != index
            and hop.position != _CORRECTION
            and not flows.is_lost(known)
        )
        if conflict:
            index = known
        self._refresh(flows, flow, index, kind)
        if flows.is_lost(index):
            return flows.decisions[index]
        if hop.position == _TO_FIRST_OWNER:
            return self._to_owner(flows, flow, index, _TO_LAST_OWNER)
        if conflict:
            return self._to_owner(flows, flow, index, _CORRECTION)
        return flows.decisions[index]

    def _follow(
        self,
        flows: service_flows.ServiceFlows,
        flow: int,
        kind: envelopes.EnvelopeKind,
        index: int,
    ) -> messages.Decision:
        """Route by the record of this host.

        From time to time, and after a change of the owners, a packet goes
        through both owners. That keeps their records alive and copies them to
        new owners without control traffic. A host that is not fresh lets an
        owner confirm that the upstream still belongs to the service.
        """
        if flows.is_lost(index):
            self._refresh(flows, flow, index)
            return flows.decisions[index]
        if kind is envelopes.EnvelopeKind.CLOSE or self._is_due(flows, flow):
            self._refresh(flows, flow, index, kind)
            return self._pass_to_owners(flows, flow, index)
        if self.distrust is not None:
            return self._pass_to_owners(flows, flow, index)
        return flows.decisions[index]

    def _resolve(
        self,
        flows: service_flows.ServiceFlows,
        flow: int,
        kind: envelopes.EnvelopeKind,
        hop: messages.Hop | None,
    ) -> messages.Decision:
        """Ask the next host of the chain, or decide at its end."""
        visited = () if hop is None else hop.visited
        if len(visited) < _MAX_VISITED:
            for host_id in self._candidates(flow):
                if host_id not in visited:
                    return self._ask(host_id, len(visited), visited)
        if self.distrust is None:
            return self._resolve_by_base(flows, flow, kind)
        first = next(iter(self.owners.owners(flow)), self._host_id)
        returned = hop is not None and hop.position == _RETURNED
        if returned or first == self._host_id:
            return self.distrust
        return self._ask(first, _RETURNED, visited)

    def _candidates(self, flow: int) -> tuple[identifiers.HostId, ...]:
        """Return the other hosts that may hold the record, best first."""
        chain = self.owners.chain(flow)
        if not self._is_handing_over():
            chain = chain[:_OWNERS]
        return tuple(host for host in chain if host != self._host_id)

    def _ask(
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

    def _resolve_by_base(
        self,
        flows: service_flows.ServiceFlows,
        flow: int,
        kind: envelopes.EnvelopeKind,
    ) -> messages.Decision:
        """Route a flow without a record, which predates the changed views."""
        index = flows.base[buckets.bucket_of(flow)]
        if index < 0:
            return _NO_UPSTREAM
        if kind is envelopes.EnvelopeKind.CLOSE or flows.is_lost(index):
            return flows.decisions[index]
        self._refresh(flows, flow, index)
        return self._pass_to_owners(flows, flow, index)

    def _pass_to_owners(
        self, flows: service_flows.ServiceFlows, flow: int, index: int
    ) -> messages.Decision:
        """Send a packet with its record through the other owners."""
        is_owner = self._host_id in self.owners.owners(flow)
        position = _TO_LAST_OWNER if is_owner else _TO_FIRST_OWNER
        return self._to_owner(flows, flow, index, position)

    def _to_owner(
        self,
        flows: service_flows.ServiceFlows,
        flow: int,
        index: int,
        position: int,
    ) -> messages.Decision:
        other = self._other_owner(flow)
        if other is None:
            return flows.decisions[index]
        return messages.ToPeer(
            other,
            messages.Hop(
                messages.HopPurpose.RECORD, position, flows.upstream_id(index)
            ),
        )

    def _other_owner(self, flow: int) -> identifiers.HostId | None:
        """Return the first owner that is not this host."""
        for host_id in self.owners.owners(flow):
            if host_id != self._host_id:
                return host_id
        return None

    def _refresh(
        self,
        flows: service_flows.ServiceFlows,
        flow: int,
        index: int,
        kind: envelopes.EnvelopeKind = envelopes.EnvelopeKind.DATA,
    ) -> None:
        if kind is envelopes.EnvelopeKind.CLOSE:
            expires = self.now + settings.CLOSE_LINGER
        else:
            expires = self.now + settings.RECORD_TTL
            known = flows.records.expiry(flow)
            if known is not None and known > expires:
                # A pinned record stays pinned.
                expires = self.now + settings.PINNED_TTL
        flows.store(flow, index, expires)

    def _is_due(self, flows: service_flows.ServiceFlows, flow: int) -> bool:
        """Return whether a packet has to go through both owners."""
        expires = flows.records.expiry(flow)
        if expires > self.now + settings.RECORD_TTL:
            # A pinned record is renewed in its last hour.
            return expires <= self.now + settings.PINNED_LIFE
        refreshed = expires - settings.RECORD_TTL
        if self._changed is not None and refreshed <= self._changed:
            return True
        return self.now - refreshed >= settings.REFRESH_INTERVAL

    def _is_handing_over(self) -> bool:
        return (
            self._changed is not None
            and self.now - self._changed <= settings.HANDOVER_WINDOW
        )

    def _lacks_quorum(self) -> bool:
        return (
            self.distrust is not None
            and self.distrust.reason is messages.RefusalReason.NO_QUORUM
        )
