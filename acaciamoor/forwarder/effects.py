"""What a host does with a packet."""

import dataclasses
import enum
import typing

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
    NO_UPSTREAM = 'no_upstream'


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


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Tell a caller at once that its flow cannot be opened."""

    key: pending.FlowKey
    reason: RefusalReason


@dataclasses.dataclass(frozen=True, slots=True)
class Dropped:
    """Do nothing; the caller repeats the packet."""

    reason: DropReason


Decision = Forward | Refusal | Dropped
