"""Routing decisions and the messages that balancers exchange on flows."""

import dataclasses
import enum

from acaciamoor import model
from acaciamoor import views

# Sender, key identifier, message authentication code, names of up to 32
# characters, and the Cap'n Proto framing around them.
MESSAGE_OVERHEAD_BYTES = 256
# An unsigned 64-bit number in MessagePack.
FLOW_BYTES = 9
# A `ViewNeed` in MessagePack: two arrays, a 32-bit and three 64-bit numbers.
NEED_BYTES = 34


class HopPurpose(enum.IntEnum):
    """Why a packet is forwarded to another balancer."""

    # Store the record on both owners, then forward to the upstream.
    RECORD = 0
    # Query the hosts of the chain for the record.
    RESOLVE = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Hop:
    """Forwarding state of a packet between the hosts of its chain.

    Parameters
    ----------
    purpose : HopPurpose
        Operation that the receiver performs.
    position : int
        Number of hosts passed so far, or a reserved value of `ChainRouter`;
        bounds the number of hops.
    upstream_id : UpstreamId or None
        For `HopPurpose.RECORD`, the upstream to record; None lets the
        receiver select it.
    visited : tuple of HostId
        For `HopPurpose.RESOLVE`, the hosts that held no record. The
        receiver continues with its own chain: if its members differ from the
        sender's, a position in the sender's chain is meaningless to it.
    """

    purpose: HopPurpose
    position: int
    upstream_id: model.UpstreamId | None = None
    visited: tuple[model.HostId, ...] = ()


class RefusalReason(enum.Enum):
    """Why a packet is refused; the value is sent in the envelope."""

    UNKNOWN_SERVICE = 'unknown-service'
    UPSTREAM_LOST = 'upstream-lost'
    NO_UPSTREAM = 'no-upstream'
    NO_QUORUM = 'no-quorum'
    NOT_FRESH = 'not-fresh'


@dataclasses.dataclass(frozen=True, slots=True)
class ToUpstream:
    """Forward the packet to an upstream of its service."""

    upstream: model.Upstream


@dataclasses.dataclass(frozen=True, slots=True)
class ToPeer:
    """Forward the packet to another balancer."""

    host_id: model.HostId
    hop: Hop


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Tell the caller that the packet is refused."""

    reason: RefusalReason


@dataclasses.dataclass(frozen=True, slots=True)
class PutRecords:
    """Send records of one service and upstream to one host.

    Parameters
    ----------
    host_id : HostId
        Receiver.
    service_id : ServiceId
        Service of the flows.
    upstream_id : UpstreamId
        Upstream of all of the flows.
    flows : tuple of int
        Flow identifiers.
    pinned : bool
        Whether the receiver keeps the records without owning them, because
        the view that makes the flows ambiguous is about to be dropped.
    """

    host_id: model.HostId
    service_id: model.ServiceId
    upstream_id: model.UpstreamId
    flows: tuple[int, ...]
    pinned: bool = False

    @property
    def encoded_bytes(self) -> int:
        """Upper bound of the encoded size, in bytes."""
        return MESSAGE_OVERHEAD_BYTES + FLOW_BYTES * len(self.flows)


@dataclasses.dataclass(frozen=True, slots=True)
class ViewNeed:
    """Version of the oldest view of a service that the sender needs."""

    service_id: model.ServiceId
    version: views.ViewVersion


@dataclasses.dataclass(frozen=True, slots=True)
class ViewNeeds:
    """Announce to all live hosts which views the sender needs.

    A service without an entry has a single view at the sender.
    """

    needs: tuple[ViewNeed, ...]

    @property
    def encoded_bytes(self) -> int:
        """Upper bound of the encoded size, in bytes."""
        return MESSAGE_OVERHEAD_BYTES + NEED_BYTES * len(self.needs)


Decision = ToUpstream | ToPeer | Refuse
Message = PutRecords | ViewNeeds
