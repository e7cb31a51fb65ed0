"""Translates effects of a placer into effects of the balancer."""

import datetime
import functools
import typing

from acaciamoor.balancer.core import effects
from acaciamoor.balancer.core import placer_registry
from acaciamoor.balancer.core import requests
import acaciamoor.model as model
import acaciamoor.placement as placement
import acaciamoor.wire as wire

Effects = list[effects.Effect]


class EffectBuilder(typing.Protocol):
    """Interface that builds the effects of the balancer."""

    def on_health(
        self, key: placer_registry.ShardKey, change: placement.HealthChanged
    ) -> Effects:
        """Publish a change of the health of an upstream."""

    def refuse(
        self,
        request_part: placement.RequestPart,
        outcome: wire.Outcome,
        reason: str,
        retry_after: datetime.timedelta = datetime.timedelta(0),
        inputs: placement.RefusalInputs | None = None,
    ) -> Effects:
        """Refuse a request with the outcome that is known."""

    def answer(
        self, request_part: placement.RequestPart, data: bytes
    ) -> Effects:
        """Send one part of an answer to its caller."""

    def ask_record_holder(
        self,
        key: placer_registry.ShardKey,
        request_part: placement.RequestPart,
    ) -> Effects:
        """Ask the likely holder of the record about a request."""

    def forward(
        self,
        host_id: model.HostId,
        request_part: placement.RequestPart,
        data: bytes,
        purpose: wire.ForwardPurpose,
    ) -> Effects:
        """Forward a datagram of a request to another balancer."""

    def record_start(
        self, key: placer_registry.ShardKey, bind: placement.Bind
    ) -> Effects:
        """Count a request that is bound to an upstream."""

    def record_return(self) -> None:
        """Count a refused caller that came back when it was told to."""


@functools.singledispatch
def carry_out(
    effect: placement.Effect,
    builder: EffectBuilder,
    key: placer_registry.ShardKey,
) -> Effects:
    """Return the effects of the balancer for one effect of a placer.

    Parameters
    ----------
    effect : Effect
        Effect of the placer.
    builder : EffectBuilder
        Builds replies and messages to other balancers.
    key : ShardKey
        Shard of the placer.
    """
    raise TypeError(f'{type(effect).__name__} is not an effect of a placer')


@carry_out.register
def _(
    effect: placement.Bind,
    builder: EffectBuilder,
    key: placer_registry.ShardKey,
) -> Effects:
    address = effect.upstream.address.as_tuple()
    return [
        *(effects.ToUpstream(address, data) for data in effect.payloads),
        *builder.record_start(key, effect),
    ]


@carry_out.register
def _(
    effect: placement.SendPart,
    builder: EffectBuilder,
    key: placer_registry.ShardKey,
) -> Effects:
    address = effect.upstream.address.as_tuple()
    return [effects.ToUpstream(address, effect.payload)]


@carry_out.register
def _(
    effect: placement.Reply,
    builder: EffectBuilder,
    key: placer_registry.ShardKey,
) -> Effects:
    if effect.outcome is not wire.Outcome.COMPLETE:
        return builder.refuse(
            effect.request_part,
            effect.outcome,
            effect.reason,
            effect.retry_after,
            effect.inputs,
        )
    return builder.answer(effect.request_part, effect.payload)


@carry_out.register
def _(
    effect: placement.CancelUpstream,
    builder: EffectBuilder,
    key: placer_registry.ShardKey,
) -> Effects:
    address = effect.upstream.address.as_tuple()
    return [
        effects.ToUpstream(address, requests.cancellation(effect.request_part))
    ]


@carry_out.register
def _(
    effect: placement.HandOver,
    builder: EffectBuilder,
    key: placer_registry.ShardKey,
) -> Effects:
    return [
        forwarded
        for data in effect.payloads
        for forwarded in builder.forward(
            effect.host_id,
            effect.request_part,
            data,
            wire.ForwardPurpose.HAND_OVER,
        )
    ]


@carry_out.register
def _(
    effect: placement.AskPeer,
    builder: EffectBuilder,
    key: placer_registry.ShardKey,
) -> Effects:
    return builder.ask_record_holder(key, effect.request_part)


@carry_out.register
def _(
    effect: placement.HealthChanged,
    builder: EffectBuilder,
    key: placer_registry.ShardKey,
) -> Effects:
    return builder.on_health(key, effect)


@carry_out.register
def _(
    effect: placement.CallerReturned,
    builder: EffectBuilder,
    key: placer_registry.ShardKey,
) -> Effects:
    builder.record_return()
    return []
