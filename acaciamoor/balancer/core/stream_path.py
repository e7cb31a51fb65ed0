"""Data path of streams: to the upstream, or by way of record owners."""

import collections.abc
import functools

from acaciamoor.balancer.core import counters as counts
from acaciamoor.balancer.core import effects
from acaciamoor.balancer.core import peer_link
import acaciamoor.flows as flows
import acaciamoor.model as model
import acaciamoor.wire as wire

Effects = list[effects.Effect]
# Globals avoid attribute lookups for every packet; that of an enum member
# costs more than a comparison.
_OPEN = wire.EnvelopeKind.OPEN
_ToUpstreamDecision = flows.ToUpstream
_ToUpstreamEffect = effects.ToUpstream
# Creates a named tuple in a third of the time that its constructor takes.
_new_tuple = tuple.__new__
_UPSTREAM_LOST = flows.RefusalReason.UPSTREAM_LOST.value
_PURPOSES_BY_HOP = {
    flows.HopPurpose.RECORD: wire.ForwardPurpose.RECORD,
    flows.HopPurpose.RESOLVE: wire.ForwardPurpose.RESOLVE,
}
_HOPS_BY_PURPOSE = {purpose: hop for hop, purpose in _PURPOSES_BY_HOP.items()}


class StreamPath:
    """Carries out the decisions of the flow router for packets of streams.

    Parameters
    ----------
    router : FlowRouter
        Selects the next hop of a packet.
    link : PeerLink
        Forwards packets to other balancers.
    counters : Counters
        Counters of this balancer.
    name_of : callable
        Returns the name of a service.
    """

    def __init__(
        self,
        router: flows.FlowRouter,
        link: peer_link.PeerLink,
        counters: counts.Counters,
        name_of: collections.abc.Callable[[model.ServiceId], str],
    ) -> None:
        self._route = router.route
        self._link = link
        self._counters = counters
        self._name_of = name_of
        lookups = counts.Metric.LOOKUPS
        self._direct_count = counters.cell(lookups, 'direct')
        self._resolved_for_peer_count = counters.cell(
            lookups, 'resolved-for-peer'
        )
        self._passed_to_owner_count = counters.cell(lookups, 'passed-to-owner')

    def on_packet(
        self,
        preamble: wire.Preamble,
        caller: model.Address,
        data: bytes,
        hop: flows.Hop | None = None,
    ) -> collections.abc.Sequence[effects.Effect]:
        """Send one packet to its upstream or to a peer, or refuse it.

        Parameters
        ----------
        preamble : Preamble
            Kind, service and flow of the packet.
        caller : Address
            Source of the packet.
        data : bytes
            PROXY header and envelope, forwarded unchanged.
        hop : Hop or None
            Set if a peer forwarded the packet.
        """
        kind, service, flow = preamble
        decision = self._route(service, flow, kind, hop)
        # Almost every packet takes this branch, so it bypasses the dispatch by
        # type of the decision.
        if type(decision) is _ToUpstreamDecision:
            cell = (
                self._direct_count
                if hop is None
                else self._resolved_for_peer_count
            )
            cell[0] += 1
            if kind is _OPEN:
                self._counters.add(
                    counts.Metric.STREAMS_OPENED, self._name_of(service)
                )
            address = decision.upstream.address
            target = (address.ip, address.port)
            return (_new_tuple(_ToUpstreamEffect, (target, data)),)
        return _carry_out(decision, self, preamble, caller, data)

    def on_forward(
        self,
        preamble: wire.Preamble,
        caller: model.Address,
        body: wire.Forward,
    ) -> Effects:
        """Handle a packet that a peer forwarded."""
        upstream_id = model.UpstreamId(body.upstream_id)
        hop = flows.Hop(
            _HOPS_BY_PURPOSE[body.purpose],
            body.position,
            upstream_id or None,
            tuple(map(model.HostId, body.visited)),
        )
        return self.on_packet(preamble, caller, body.datagram, hop)

    def forward_to_owner(self, decision: flows.ToPeer, data: bytes) -> Effects:
        """Forward a packet to the next owner of its record."""
        self._passed_to_owner_count[0] += 1
        hop = decision.hop
        return self._link.forward(
            decision.host_id,
            wire.Forward(
                _PURPOSES_BY_HOP[hop.purpose],
                data,
                position=hop.position,
                upstream_id=hop.upstream_id or '',
                visited=hop.visited,
            ),
        )

    def refuse(
        self, reason: str, preamble: wire.Preamble, caller: model.Address
    ) -> Effects:
        """Refuse a packet and tell its caller why."""
        self._counters.add(counts.Metric.REFUSALS, reason)
        if reason == _UPSTREAM_LOST:
            self._counters.add(
                counts.Metric.STREAMS_BROKEN, self._name_of(preamble.service)
            )
        refusal = wire.Envelope(
            wire.EnvelopeKind.REFUSAL,
            preamble.service,
            preamble.flow,
            outcome=wire.Outcome.NOT_RUN,
            reason=reason,
        )
        return [effects.ToCaller(caller.as_tuple(), wire.encode(refusal))]


@functools.singledispatch
def _carry_out(
    decision: flows.Decision,
    path: StreamPath,
    preamble: wire.Preamble,
    caller: model.Address,
    data: bytes,
) -> Effects:
    raise TypeError(
        f'{type(decision).__name__} is not a decision of the flow router'
    )


@_carry_out.register
def _(
    decision: flows.ToPeer,
    path: StreamPath,
    preamble: wire.Preamble,
    caller: model.Address,
    data: bytes,
) -> Effects:
    return path.forward_to_owner(decision, data)


@_carry_out.register
def _(
    decision: flows.Refuse,
    path: StreamPath,
    preamble: wire.Preamble,
    caller: model.Address,
    data: bytes,
) -> Effects:
    return path.refuse(decision.reason.value, preamble, caller)
