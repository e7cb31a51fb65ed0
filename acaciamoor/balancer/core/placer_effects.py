"""Turns what a placer decides into effects of the balancer."""

import functools
import typing

from acaciamoor.balancer.core import effects
from acaciamoor.balancer.core import placers as leaders
from acaciamoor.balancer.core import requests
import acaciamoor.model as model
import acaciamoor.placement as placement
import acaciamoor.wire as wire

Effects = list[effects.Effect]


class Carrier(typing.Protocol):
    """What carrying out needs of the path of requests."""

    def on_health(
        self, key: leaders.ShardKey, change: placement.HealthChanged
    ) -> Effects:
        """Publish the health of an upstream."""

    def refuse(
        self, work: placement.Work, outcome: wire.Outcome, reason: str
    ) -> Effects:
        """Tell a caller what is known about its request."""

    def answer(self, work: placement.Work, data: bytes) -> Effects:
        """Pass one part of an answer to its caller."""

    def ask(self, key: leaders.ShardKey, work: placement.Work) -> Effects:
        """Ask the likely holder of a record about a request."""

    def forward(
        self,
        host_id: model.HostId,
        work: placement.Work,
        data: bytes,
        purpose: wire.ForwardPurpose,
    ) -> Effects:
        """Pass a datagram of a request to another balancer."""

    def count_bind(
        self, key: leaders.ShardKey, request: placement.RequestKey
    ) -> None:
        """Count a request that is sent to an upstream."""


@functools.singledispatch
def carry_out(
    decision: placement.Effect, path: Carrier, key: leaders.ShardKey
) -> Effects:
    """Return the effects of the balancer for an effect of a placer.

    Parameters
    ----------
    decision : Effect
        What the placer decided.
    path : Carrier
        Makes replies and messages to other balancers.
    key : ShardKey
        Shard of the placer.
    """
    raise TypeError(f'{type(decision).__name__} is not an effect')


@carry_out.register
def _(
    decision: placement.Bind, path: Carrier, key: leaders.ShardKey
) -> Effects:
    path.count_bind(key, decision.work.key)
    address = decision.upstream.address.as_tuple()
    return [effects.ToUpstream(address, data) for data in decision.payloads]


@carry_out.register
def _(
    decision: placement.SendPart, path: Carrier, key: leaders.ShardKey
) -> Effects:
    address = decision.upstream.address.as_tuple()
    return [effects.ToUpstream(address, decision.payload)]


@carry_out.register
def _(
    decision: placement.Reply, path: Carrier, key: leaders.ShardKey
) -> Effects:
    if decision.outcome is not wire.Outcome.COMPLETE:
        return path.refuse(decision.work, decision.outcome, decision.reason)
    return path.answer(decision.work, decision.payload)


@carry_out.register
def _(
    decision: placement.CancelUpstream,
    path: Carrier,
    key: leaders.ShardKey,
) -> Effects:
    address = decision.upstream.address.as_tuple()
    return [effects.ToUpstream(address, requests.cancellation(decision.work))]


@carry_out.register
def _(
    decision: placement.HandOver, path: Carrier, key: leaders.ShardKey
) -> Effects:
    return [
        effect
        for data in decision.payloads
        for effect in path.forward(
            decision.host_id,
            decision.work,
            data,
            wire.ForwardPurpose.HAND_OVER,
        )
    ]


@carry_out.register
def _(
    decision: placement.AskPeer, path: Carrier, key: leaders.ShardKey
) -> Effects:
    return path.ask(key, decision.work)


@carry_out.register
def _(
    decision: placement.HealthChanged,
    path: Carrier,
    key: leaders.ShardKey,
) -> Effects:
    return path.on_health(key, decision)
