"""Path of streams: to the upstream, or through the owners of a record."""

import collections.abc
import functools

from acaciamoor.balancer.core import counters as counts
from acaciamoor.balancer.core import effects
from acaciamoor.balancer.core import peers
import acaciamoor.flows as flows
import acaciamoor.model as model
import acaciamoor.wire as wire

Effects = list[effects.Effect]
# The lookup of a member in its enumeration takes longer than a comparison.
_OPEN = wire.EnvelopeKind.OPEN
_ToUpstream = flows.ToUpstream
_SendUpstream = effects.ToUpstream
# Creates a named tuple in a third of the time of its own constructor.
_new = tuple.__new__
_UPSTREAM_LOST = flows.RefusalReason.UPSTREAM_LOST.value
_PURPOSES_BY_HOP = {
    flows.HopPurpose.RECORD: wire.ForwardPurpose.RECORD,
    flows.HopPurpose.RESOLVE: wire.ForwardPurpose.RESOLVE,
}
_HOPS_BY_PURPOSE = {purpose: hop for hop, purpose in _PURPOSES_BY_HOP.items()}


class StreamPath:
    """Carries out what the flow router decides about packets of streams.

    Parameters
    ----------
    router : FlowRouter
        Decides.
    link : PeerLink
        Makes messages to other balancers.
    counters : Counters
        Counts what happens.
    name_of : callable
        Gives the names of services.
    """

    def __init__(
        self,
        router: flows.FlowRouter,
        link: peers.PeerLink,
        counters: counts.Counters,
        name_of: collections.abc.Callable[[model.ServiceId], str],
    ) -> None:
        self._route = router.route
        self._link = link
        self._counters = counters
        self._name_of = name_of
        lookup = counts.Metric.LOOKUPS
        self._direct = counters.cell(lookup, 'direct')
        self._resolved = counters.cell(lookup, 'resolved-for-peer')
        self._passed = counters.cell(lookup, 'passed-to-owner')

    def on_packet(
        self,
        preamble: wire.Preamble,
        caller: model.Address,
        data: bytes,
        hop: flows.Hop | None = None,
    ) -> collections.abc.Sequence[effects.Effect]:
        """Forward, pass on or refuse one packet of a stream.

        Parameters
        ----------
        preamble : Preamble
            Kind, service and flow.
        caller : Address
            Source of the packet.
        data : bytes
            PROXY header and envelope, forwarded unchanged.
        hop : Hop or None
            Set if a peer passed the packet on.
        """
        kind, service, flow = preamble
        decision = self._route(service, flow, kind, hop)
        # Almost every packet takes this branch, so it avoids the dispatch
        # on the type of the decision.
        if type(decision) is _ToUpstream:
            cell = self._direct if hop is None else self._resolved
            cell[0] += 1
            if kind is _OPEN:
                self._counters.add(
                    counts.Metric.STREAMS_OPENED, self._name_of(service)
                )
            address = decision.upstream.address
            target = (address.ip, address.port)
            return (_new(_SendUpstream, (target, data)),)
        return _carry_out(decision, self, preamble, caller, data)

    def on_forward(
        self,
        preamble: wire.Preamble,
        caller: model.Address,
        body: wire.Forward,
    ) -> Effects:
        """Take a packet that a peer passed on."""
        upstream_id = model.UpstreamId(body.upstream_id)
        hop = flows.Hop(
            _HOPS_BY_PURPOSE[body.purpose],
            body.position,
            upstream_id or None,
            tuple(map(model.HostId, body.visited)),
        )
        return self.on_packet(preamble, caller, body.datagram, hop)

    def pass_on(self, decision: flows.ToPeer, data: bytes) -> Effects:
        """Pass a packet to the next owner."""
        self._passed[0] += 1
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
        """Tell the caller that its packet goes nowhere."""
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
    raise TypeError(f'{type(decision).__name__} is not a decision')


@_carry_out.register
def _(
    decision: flows.ToPeer,
    path: StreamPath,
    preamble: wire.Preamble,
    caller: model.Address,
    data: bytes,
) -> Effects:
    return path.pass_on(decision, data)


@_carry_out.register
def _(
    decision: flows.Refuse,
    path: StreamPath,
    preamble: wire.Preamble,
    caller: model.Address,
    data: bytes,
) -> Effects:
    return path.refuse(decision.reason.value, preamble, caller)
