"""Events that the balancer core handles.

Datagrams are named tuples, because one is created for every packet and this
takes a third of the time of creating a frozen data class.
"""

import dataclasses
import datetime
import enum
import typing

from acaciamoor import configuration
from acaciamoor import model
from acaciamoor import wire

SocketAddress = tuple[str, int]


class Channel(enum.Enum):
    """Socket on which a datagram arrived."""

    CALLER = 'caller'
    UPSTREAM = 'upstream'
    PEER = 'peer'


class CallerDatagrams(typing.NamedTuple):
    """Datagrams from the fabric that were read in one batch."""

    batch: tuple[bytes, ...] | list[bytes]


class UpstreamDatagram(typing.NamedTuple):
    """A datagram from an upstream."""

    sender: SocketAddress
    data: bytes


class PeerDatagram(typing.NamedTuple):
    """A signed message from another balancer."""

    sender: SocketAddress
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Wake:
    """The process is about to read datagrams or to run its timers."""


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """The timer fired: every 10 ms, or every 50 ms without requests."""


@dataclasses.dataclass(frozen=True, slots=True)
class ChannelEmpty:
    """The receive buffer of a socket has been read to the end."""

    channel: Channel


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """An entry of the platform's host list."""

    host_id: model.HostId
    data_centre: model.DataCentre
    peer_address: model.Address
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class HostsListed:
    """The platform's host list, which may be outdated."""

    hosts: tuple[Host, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ServicesListed:
    """A complete listing of the services at a collection version."""

    version: int
    services: tuple[model.Service, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceChanged:
    """A change that the watch of the platform delivered."""

    change: configuration.ServiceVersion


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationRead:
    """Whether the platform holds an evacuation of this data centre."""

    version: int
    evacuated: bool


@dataclasses.dataclass(frozen=True, slots=True)
class WatchAlive:
    """The watch has delivered everything up to a version."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamPolled:
    """Result of polling the health and load endpoints of an upstream.

    Parameters
    ----------
    service_id : ServiceId
        The service.
    upstream_id : UpstreamId
        The upstream.
    healthy : bool
        Whether the health endpoint reported that the upstream is healthy.
    running : int or None
        Number of slots in use; None if the load endpoint did not answer.
    age : datetime.timedelta
        Upper bound of the age of the load report.
    """

    service_id: model.ServiceId
    upstream_id: model.UpstreamId
    healthy: bool
    running: int | None = None
    age: datetime.timedelta = datetime.timedelta(0)


@dataclasses.dataclass(frozen=True, slots=True)
class KeysChanged:
    """The key file has new keys for messages between balancers."""

    keyring: wire.Keyring


@dataclasses.dataclass(frozen=True, slots=True)
class LeaveRequested:
    """The process received a signal to shut down gracefully."""


Event = (
    CallerDatagrams
    | UpstreamDatagram
    | PeerDatagram
    | Wake
    | Tick
    | ChannelEmpty
    | HostsListed
    | ServicesListed
    | ServiceChanged
    | EvacuationRead
    | WatchAlive
    | UpstreamPolled
    | KeysChanged
    | LeaveRequested
)
