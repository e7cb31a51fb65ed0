"""Inputs of the balancer core.

Datagrams are named tuples, because one is made for every packet and their
creation takes a third of the time of a frozen data class.
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
    """Datagrams from the fabric, read at one wake-up."""

    batch: tuple[bytes, ...] | list[bytes]


class UpstreamDatagram(typing.NamedTuple):
    """A datagram from an upstream."""

    sender: SocketAddress
    data: bytes


class PeerDatagram(typing.NamedTuple):
    """A sealed message from another balancer."""

    sender: SocketAddress
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Wake:
    """The process is about to read datagrams or to run its timers."""


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Timer, every 10 ms."""


@dataclasses.dataclass(frozen=True, slots=True)
class ChannelEmpty:
    """Everything that waited in a socket has been read."""

    channel: Channel


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """An entry in the platform's list of hosts."""

    host_id: model.HostId
    data_centre: model.DataCentre
    peer_address: model.Address
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class HostsListed:
    """The platform's lagging list of hosts."""

    hosts: tuple[Host, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ServicesListed:
    """A complete listing of the services at a collection version."""

    version: int
    services: tuple[model.Service, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceChanged:
    """A change that the platform's watch delivered."""

    change: configuration.ServiceVersion


@dataclasses.dataclass(frozen=True, slots=True)
class WatchAlive:
    """The watch has delivered everything up to a version."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamObserved:
    """Result of asking an upstream's health and load endpoints.

    Parameters
    ----------
    service_id : ServiceId
        The service.
    upstream_id : UpstreamId
        The upstream.
    healthy : bool
        Whether the health endpoint answered that the upstream is well.
    running : int or None
        Slots in use; None if the load endpoint did not answer.
    age : datetime.timedelta
        Time since the answer was received.
    """

    service_id: model.ServiceId
    upstream_id: model.UpstreamId
    healthy: bool
    running: int | None = None
    age: datetime.timedelta = datetime.timedelta(0)


@dataclasses.dataclass(frozen=True, slots=True)
class KeysChanged:
    """Other keys for messages between balancers."""

    keyring: wire.Keyring


@dataclasses.dataclass(frozen=True, slots=True)
class LeaveRequested:
    """The process was told to end."""


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
    | WatchAlive
    | UpstreamObserved
    | KeysChanged
    | LeaveRequested
)
