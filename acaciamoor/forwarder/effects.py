"""What a host does with a packet."""

import datetime
import enum
import typing

import msgspec

from acaciamoor import model
from acaciamoor.openings import pending


class DropReason(enum.Enum):
    """Why a packet goes nowhere."""

    DAMAGED = 'damaged'
    NOT_FROM_CALLER = 'not_from_caller'
    NO_CONFIGURATION = 'no_configuration'
    NO_ROUTE = 'no_route'
    UNKNOWN_TOKEN = 'unknown_token'  # noqa: S105
    NO_UPSTREAM = 'no_upstream'
    OUTDATED = 'outdated'


class RefusalReason(enum.Enum):
    """Why a flow is refused."""

    NO_ROUTE = 'no_route'


class Forward(typing.NamedTuple):
    """Send a packet to an upstream.

    Parameters
    ----------
    data : bytes
        The packet as it arrived.
    upstream_id : UpstreamId
        Who gets it.
    address : tuple
        Where it is sent, as the socket library takes it.
    number : int
        Identity of the upstream on the wire.
    token : int
        Routing token to write into the packet.
    """

    data: bytes
    upstream_id: model.UpstreamId
    address: tuple[str, int]
    number: int
    token: int


class Placed(msgspec.Struct, frozen=True):
    """Send an opening packet to the upstream that was chosen for it.

    Parameters
    ----------
    key : FlowKey
        The flow.
    forward : Forward
        What to send.
    service : str
        Service of the flow.
    attempt : int
        1 for the first upstream of the flow.
    repeated : bool
        Whether the host repeats the packet on its own.
    candidates, suspects : int
        Upstreams that took new flows, and how many of them did not answer
        lately.
    """

    key: pending.FlowKey
    forward: Forward
    service: str
    attempt: int
    repeated: bool
    candidates: int
    suspects: int


class Refusal(msgspec.Struct, frozen=True):
    """Tell a caller at once that its flow cannot be opened."""

    key: pending.FlowKey
    reason: RefusalReason


class Dropped(msgspec.Struct, frozen=True):
    """Do nothing; the caller repeats the packet."""

    reason: DropReason


Decision = Forward | Placed | Refusal | Dropped


class Suspected(msgspec.Struct, frozen=True):
    """An upstream did not answer an opening and is avoided."""

    upstream_id: model.UpstreamId
    key: pending.FlowKey
    silence: datetime.timedelta


class Cleared(msgspec.Struct, frozen=True):
    """A suspected upstream has answered."""

    upstream_id: model.UpstreamId
    key: pending.FlowKey


class Opened(msgspec.Struct, frozen=True):
    """The first packet after an opening has passed."""

    upstream_id: model.UpstreamId
    after: datetime.timedelta


Notice = Suspected | Cleared | Opened
