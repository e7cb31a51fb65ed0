"""Inputs and effects of the placer.

The placer doesn't parse datagrams: a payload is an opaque value that it
stores and returns unchanged.
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
        The upstream that the datagram's source address belongs to.
    flow, request, attempt : int
        Echoed by the upstream from the bound request.
    part, parts : int
        Index of this part and number of parts of the answer.
    payload : object
        The datagram; opaque to the placer.
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
    """Input: number of running requests that an upstream reports.

    Parameters
    ----------
    upstream_id : UpstreamId
        The upstream.
    running : int
        Requests that hold a slot, from all balancers.
    age : datetime.timedelta
        Time since the upstream measured its load.
    """

    upstream_id: model.UpstreamId
    running: int
    age: datetime.timedelta = datetime.timedelta(0)


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeResult:
    """Input: result of a health probe; a probe without answer has failed."""

    upstream_id: model.UpstreamId
    healthy: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RefusalInputs:
    """What a placer knew when it refused a request.

    Parameters
    ----------
    queued : int
        Requests that waited for a slot.
    slots : int
        Slots of the upstreams that took work.
    expected_wait : datetime.timedelta
        Expected wait for a slot.
    estimate_age : datetime.timedelta or None
        Time since the last answer, on which the expected wait rests; None
        before the first one.
    """

    queued: int
    slots: int
    expected_wait: datetime.timedelta
    estimate_age: datetime.timedelta | None


@dataclasses.dataclass(frozen=True, slots=True)
class Bind:
    """Effect: send a request to an upstream.

    Parameters
    ----------
    request_part : RequestPart
        A part of the attempt that is bound; the upstream echoes its
        identifiers.
    upstream : Upstream
        Destination.
    payloads : tuple of object
        Datagrams of the parts that have arrived, in order of arrival.
    waited : datetime.timedelta
        Time for which the request has waited here.
    """

    request_part: requests.RequestPart
    upstream: model.Upstream
    payloads: tuple[object, ...]
    waited: datetime.timedelta = datetime.timedelta(0)


@dataclasses.dataclass(frozen=True, slots=True)
class SendPart:
    """Effect: send a part that arrived after its request was bound."""

    request_part: requests.RequestPart
    upstream: model.Upstream
    payload: object


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Effect: send the outcome of a request to its caller.

    Parameters
    ----------
    request_part : RequestPart
        Identifiers of the request and address of the caller.
    outcome : wire.Outcome
        Outcome of the request.
    reason : Reason
        Cause, unless the outcome is `wire.Outcome.COMPLETE`.
    payload : object
        One part of the answer, for `wire.Outcome.COMPLETE`; each part of an
        answer is an effect of its own.
    retry_after : datetime.timedelta
        Time after which a request that has not run may succeed; zero if it is
        not known.
    inputs : RefusalInputs or None
        What a refusal rests on.
    """

    request_part: requests.RequestPart
    outcome: wire.Outcome
    reason: requests.Reason = requests.Reason.NONE
    payload: object = None
    retry_after: datetime.timedelta = datetime.timedelta(0)
    inputs: RefusalInputs | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerReturned:
    """Effect: record that a refused caller came back when it was told to."""

    request_part: requests.RequestPart


@dataclasses.dataclass(frozen=True, slots=True)
class CancelUpstream:
    """Effect: ask an upstream to stop a request that it may be running."""

    request_part: requests.RequestPart
    upstream: model.Upstream


@dataclasses.dataclass(frozen=True, slots=True)
class HandOver:
    """Effect: transfer a queued request that has not run to the next placer.

    The receiver submits it with `Origin.HAND_OVER`; the sender never runs it.
    """

    request_part: requests.RequestPart
    payloads: tuple[object, ...]
    host_id: model.HostId


@dataclasses.dataclass(frozen=True, slots=True)
class AskPeer:
    """Effect: forward a datagram once, to the next balancer in rank.

    The receiver submits it with `Origin.PEER`: it replies from its record of
    the request or with "outcome unknown", and never runs the request.
    """

    request_part: requests.RequestPart


@dataclasses.dataclass(frozen=True, slots=True)
class HealthChanged:
    """Effect: publish that an upstream was ejected or readmitted.

    Parameters
    ----------
    upstream_id : UpstreamId
        The upstream.
    healthy : bool
        Whether it takes new work.
    dead : bool
        Whether it neither answered requests nor passed health probes. Its
        streams are then broken; those of a slow upstream are kept.
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
    | CallerReturned
)
