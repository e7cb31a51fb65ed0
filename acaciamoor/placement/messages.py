"""Inputs and effects of the placer.

Datagrams stay outside the core: a payload is an opaque value that the core
stores and hands back unchanged.
"""

import dataclasses
import datetime

from acaciamoor import model
from acaciamoor import requests
from acaciamoor import wire


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Input: one part of an upstream's answer.

    Parameters
    ----------
    upstream_id : UpstreamId
        The upstream whose address the datagram came from.
    flow, request, attempt : int
        Echoed from the request as it was bound.
    part, parts : int
        Index of this part and number of parts of the answer.
    payload : object
        The datagram; opaque to the core.
    """

    upstream_id: model.UpstreamId
    flow: int
    request: int
    attempt: int
    part: int = 0
    parts: int = 1
    payload: object = None


@dataclasses.dataclass(frozen=True, slots=True)
class Shed:
    """Input: an upstream refused a request before running it."""

    upstream_id: model.UpstreamId
    flow: int
    request: int
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Input: requests that an upstream says it is running.

    Parameters
    ----------
    upstream_id : UpstreamId
        The upstream.
    running : int
        Requests that hold a slot, from whichever balancer.
    age : datetime.timedelta
        Time since the upstream measured it.
    """

    upstream_id: model.UpstreamId
    running: int
    age: datetime.timedelta = datetime.timedelta(0)


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeResult:
    """Input: answer of an upstream's health endpoint, or its absence."""

    upstream_id: model.UpstreamId
    healthy: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Bind:
    """Effect: send a request to an upstream.

    Parameters
    ----------
    work : Work
        The attempt that is bound; the upstream echoes its numbers.
    upstream : Upstream
        Where to send.
    payloads : tuple of object
        Datagrams of the parts that have arrived, in order of arrival.
    """

    work: requests.Work
    upstream: model.Upstream
    payloads: tuple[object, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SendPart:
    """Effect: send a part that arrived after its request was bound."""

    work: requests.Work
    upstream: model.Upstream
    payload: object


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Effect: tell the caller about its request.

    Parameters
    ----------
    work : Work
        Carries the request's numbers and the caller's address.
    outcome : wire.Outcome
        What happened.
    reason : Reason
        Cause, unless the outcome is `wire.Outcome.COMPLETE`.
    payload : object
        One part of the answer, for `wire.Outcome.COMPLETE`; an answer of
        several parts gives one effect for each.
    """

    work: requests.Work
    outcome: wire.Outcome
    reason: requests.Reason = requests.Reason.NONE
    payload: object = None


@dataclasses.dataclass(frozen=True, slots=True)
class CancelUpstream:
    """Effect: ask an upstream to stop a request that it may be running."""

    work: requests.Work
    upstream: model.Upstream


@dataclasses.dataclass(frozen=True, slots=True)
class HandOver:
    """Effect: pass queued work that has not run to the next placer.

    The receiver submits it with `Origin.HAND_OVER`. The sender never runs it.
    """

    work: requests.Work
    payloads: tuple[object, ...]
    host_id: model.HostId


@dataclasses.dataclass(frozen=True, slots=True)
class AskPeer:
    """Effect: pass a datagram once to the next balancer in rank.

    The receiver submits it with `Origin.PEER`: it answers from its record or
    with "outcome unknown" and never runs the request.
    """

    work: requests.Work


@dataclasses.dataclass(frozen=True, slots=True)
class HealthChanged:
    """Effect: publish that an upstream left or rejoined the default.

    Parameters
    ----------
    upstream_id : UpstreamId
        The upstream.
    healthy : bool
        Whether it takes new work.
    dead : bool
        Whether nothing was heard from it at all, so that its streams are
        broken; an upstream that is merely slow keeps them.
    """

    upstream_id: model.UpstreamId
    healthy: bool
    dead: bool = False


Effect = (
    Bind
    | SendPart
    | Reply
    | CancelUpstream
    | HandOver
    | AskPeer
    | HealthChanged
)
