"""Allocation of the addresses of a site on the loopback interface."""

import collections
import contextlib
import dataclasses
import secrets
import socket
import typing

from acaciamoor import model

_IP = '127.0.0.1'
# Ports below those that the system gives to connections and to sockets that
# ask for any port: these may take a port between its release and the start of
# the process that it is for.
_PORTS = range(10240, 32768)
# Number of ports, given out last, that are not given out again.
_MAX_RECENT_PORTS = 8192
DATA_CENTRE = model.DataCentre('kgn-a')


class PortAllocator:
    """Allocates distinct free ports of the loopback interface.

    All allocated ports stay bound until `release`. No allocator of a process
    gives out a port that another one gave out recently, since the port may
    have been released for a server that has not started yet.
    """

    _recent_ports: typing.ClassVar[collections.deque[int]] = collections.deque(
        maxlen=_MAX_RECENT_PORTS
    )

    def __init__(self) -> None:
        self._sockets = contextlib.ExitStack()

    def allocate_address(self) -> model.Address:
        """Return an address whose port is free for both UDP and TCP."""
        while True:
            port = secrets.choice(_PORTS)
            if port in self._recent_ports:
                continue
            datagram = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            stream = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            self._sockets.callback(datagram.close)
            self._sockets.callback(stream.close)
            with contextlib.suppress(OSError):
                datagram.bind((_IP, port))
                stream.bind((_IP, port))
                self._recent_ports.append(port)
                return model.Address(_IP, port)

    def release(self) -> None:
        """Close the sockets, so that processes can bind the ports."""
        self._sockets.close()


def find_free_address() -> model.Address:
    """Return an address that no process uses, nor will get by chance."""
    ports = PortAllocator()
    address = ports.allocate_address()
    ports.release()
    return address


@dataclasses.dataclass(frozen=True, slots=True)
class BalancerAddresses:
    """Addresses that one balancer listens on."""

    listen: model.Address
    peer: model.Address
    health: model.Address
    metrics: model.Address


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """Services, balancers and their addresses.

    Parameters
    ----------
    platform, operator : Address
        Addresses of the platform and of the operator API.
    services_by_name : dict
        Services by name. Their identifiers are provisional, since the
        operator API assigns the final ones.
    balancers_by_host : dict
        Addresses of the balancers.
    """

    platform: model.Address
    operator: model.Address
    services_by_name: dict[str, model.Service]
    balancers_by_host: dict[model.HostId, BalancerAddresses]

    @property
    def platform_url(self) -> str:
        """Base URL of the platform."""
        return f'http://{self.platform}'


def new_site(balancers: int, upstreams_by_service: dict[str, int]) -> Site:
    """Allocate a site on free loopback ports.

    Parameters
    ----------
    balancers : int
        Number of balancers.
    upstreams_by_service : dict
        Number of upstreams of each service.
    """
    ports = PortAllocator()
    site = Site(
        platform=ports.allocate_address(),
        operator=ports.allocate_address(),
        services_by_name={
            name: _new_service(ports, number, name, upstreams)
            for number, (name, upstreams) in enumerate(
                upstreams_by_service.items(), start=1
            )
        },
        balancers_by_host={
            model.HostId(f'{DATA_CENTRE}-{number}'): BalancerAddresses(
                ports.allocate_address(),
                ports.allocate_address(),
                ports.allocate_address(),
                ports.allocate_address(),
            )
            for number in range(1, 1 + balancers)
        },
    )
    ports.release()
    return site


def _new_service(
    ports: PortAllocator, number: int, name: str, upstreams: int
) -> model.Service:
    prefix = name.rpartition('-')[2]
    members = [
        model.Upstream(
            upstream_id=model.UpstreamId(f'{prefix}-{index}'),
            data_centre=DATA_CENTRE,
            address=ports.allocate_address(),
            control=ports.allocate_address(),
        )
        for index in range(1, 1 + upstreams)
    ]
    return model.Service(
        service_id=model.ServiceId(number),
        name=name,
        address=ports.allocate_address(),
        upstreams_by_id={item.upstream_id: item for item in members},
    )
