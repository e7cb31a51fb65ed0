"""Decisions about packets and observations about upstreams."""

import datetime
import enum
import typing

import msgspec

from acaciamoor import admission
from acaciamoor import evidence
from acaciamoor import model
from acaciamoor.openings import pending


class DropReason(enum.Enum):
    """Reason for dropping a packet."""

    DAMAGED = 'damaged'
    NOT_FROM_CALLER = 'not_from_caller'
    NO_ROUTE = 'no_route'
    UNKNOWN_TOKEN = 'unknown_token'  # noqa: S105
    NO_UPSTREAM = 'no_upstream'
    OUTDATED = 'outdated'
    EVACUATED = 'evacuated'
    MAX_FLOWS = 'max_flows'
    # The pace of upstreams in warm-up leaves no room.
    WARM_UP = 'warm_up'
    # The upstream has had no time yet to answer the previous copy.
    DUPLICATE = 'duplicate'


class RefusalReason(enum.Enum):
    """Reason for refusing a flow."""

    NO_ROUTE = 'no_route'
    NO_UPSTREAM = 'no_upstream'
    # All upstreams of the service are in evacuated data centres.
    EVACUATED = 'evacuated'
    # All upstreams are in warm-up, and others wait that take all room.
    WARM_UP = 'warm_up'
    # All upstreams hold as many flows as they may.
    MAX_FLOWS = 'max_flows'
    # The service is overloaded, and the route is less important than others.
    OVERLOAD = 'overload'


class WaitReason(enum.Enum):
    """Reason for which a flow waits to be placed."""

    NO_CONFIGURATION = 'no_configuration'
    NO_UPSTREAM = 'no_upstream'
    WARM_UP = 'warm_up'


class Forward(typing.NamedTuple):
    """Decision to send a packet to an upstream.

    Parameters
    ----------
    data : bytes
        Packet as received.
    upstream_id : UpstreamId
        Destination.
    address : tuple
        Socket address of the upstream: IP address and port.
    wire_id : int
        Identifier of the upstream in front of the packet.
    token : int
        Routing token that is written into the packet.
    """

    data: bytes
    upstream_id: model.UpstreamId
    address: tuple[str, int]
    wire_id: int
    token: int


class Placement(msgspec.Struct, frozen=True):
    """Decision to send an opening packet to a newly chosen upstream.

    Parameters
    ----------
    key : FlowKey
        The flow.
    forward : Forward
        Packet and destination.
    service : str
        Service of the flow.
    attempt : int
        Number of the attempt to place the flow; 1 for the first one.
    retried : bool
        Whether the host resends the packet by itself after a timeout,
        without a retransmission by the caller.
    candidates, suspects : int
        Number of upstreams that accept new flows, and how many of them are
        suspected.
    """

    key: pending.FlowKey
    forward: Forward
    service: str
    attempt: int
    retried: bool
    candidates: int
    suspects: int


class Overload(msgspec.Struct, frozen=True):
    """Why a flow was refused for the overload of a service.

    Parameters
    ----------
    service : str
        Service of the flow.
    priority : int
        Priority of its route.
    evidence : Evidence
        Demand and capacity.
    age : datetime.timedelta
        Age of the reports that it rests on.
    behind_lower : bool
        Whether less important flows were admitted just before.
    """

    service: str
    priority: int
    evidence: admission.Evidence
    age: datetime.timedelta
    behind_lower: bool


class Refusal(msgspec.Struct, frozen=True):
    """Decision to reset a flow that cannot be opened."""

    key: pending.FlowKey
    reason: RefusalReason
    overload: Overload | None = None


class Wait(msgspec.Struct, frozen=True):
    """Decision to keep an opening packet until it can be placed."""

    reason: WaitReason


class Drop(msgspec.Struct, frozen=True):
    """Decision to drop a packet; the caller retransmits it."""

    reason: DropReason


Decision = Forward | Placement | Refusal | Wait | Drop


class UpstreamSuspected(msgspec.Struct, frozen=True):
    """An upstream did not answer an opening packet in time."""

    upstream_id: model.UpstreamId
    key: pending.FlowKey
    silence: datetime.timedelta


class SuspicionCleared(msgspec.Struct, frozen=True):
    """A suspected upstream answered a flow again."""

    upstream_id: model.UpstreamId
    key: pending.FlowKey


class HandshakeCompleted(msgspec.Struct, frozen=True):
    """The first packet after the opening packet of a flow arrived."""

    upstream_id: model.UpstreamId
    duration: datetime.timedelta


class ImportantFlowWaits(msgspec.Struct, frozen=True):
    """A flow waits although less important ones were just admitted."""

    key: pending.FlowKey
    service: str
    priority: int


class CapacityChanged(msgspec.Struct, frozen=True):
    """The measured rate of an upstream changed by more than a factor of two.

    Parameters
    ----------
    upstream_id : UpstreamId
        The upstream.
    rate_before, rate : float
        Requests a second before and now.
    limit : float
        Requests in progress that it takes well.
    """

    upstream_id: model.UpstreamId
    rate_before: float
    rate: float
    limit: float


class EvidenceChanged(msgspec.Struct, frozen=True):
    """Hosts begin or cease to avoid an upstream together.

    Parameters
    ----------
    change : Change
        What the evidence says, and why.
    """

    change: evidence.Change


Observation = (
    UpstreamSuspected
    | SuspicionCleared
    | HandshakeCompleted
    | ImportantFlowWaits
    | CapacityChanged
    | EvidenceChanged
)
