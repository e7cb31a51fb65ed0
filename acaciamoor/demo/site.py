"""Addresses of a site on loopback."""

import contextlib
import dataclasses
import socket

from acaciamoor import model

_IP = '127.0.0.1'
DATA_CENTRE = model.DataCentre('kgn-a')


class Ports:
    """Free ports of the loopback interface.

    All ports are held until `release`, so that no two are equal.
    """

    def __init__(self) -> None:
        self._held = contextlib.ExitStack()

    def address(self) -> model.Address:
        """Return an address that is free for UDP and TCP."""
        while True:
            datagram = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            stream = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            self._held.callback(datagram.close)
            self._held.callback(stream.close)
            datagram.bind((_IP, 0))
            port = datagram.getsockname()[1]
            with contextlib.suppress(OSError):
                stream.bind((_IP, port))
                return model.Address(_IP, port)

    def release(self) -> None:
        """Let processes bind the ports."""
        self._held.close()


@dataclasses.dataclass(frozen=True, slots=True)
class BalancerAddresses:
    """Addresses of one balancer."""

    listen: model.Address
    peer: model.Address
    health: model.Address
    metrics: model.Address


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """All addresses of a site.

    Parameters
    ----------
    platform, operator : Address
        Platform and operators' API.
    services_by_name : dict
        Services; their numbers are given by the operators' API.
    balancers_by_host : dict
        Balancers.
    """

    platform: model.Address
    operator: model.Address
    services_by_name: dict[str, model.Service]
    balancers_by_host: dict[model.HostId, BalancerAddresses]

    @property
    def platform_url(self) -> str:
        """URL of the platform."""
        return f'http://{self.platform}'


def new_site(balancers: int, upstreams_by_service: dict[str, int]) -> Site:
    """Return a site on free ports.

    Parameters
    ----------
    balancers : int
        Number of balancers.
    upstreams_by_service : dict
        Number of upstreams of each service.
    """
    ports = Ports()
    site = Site(
        platform=ports.address(),
        operator=ports.address(),
        services_by_name={
            name: _service(ports, number, name, upstreams)
            for number, (name, upstreams) in enumerate(
                upstreams_by_service.items(), start=1
            )
        },
        balancers_by_host={
            model.HostId(f'{DATA_CENTRE}-{number}'): BalancerAddresses(
                ports.address(),
                ports.address(),
                ports.address(),
                ports.address(),
            )
            for number in range(1, 1 + balancers)
        },
    )
    ports.release()
    return site


def _service(
    ports: Ports, number: int, name: str, upstreams: int
) -> model.Service:
    prefix = name.rpartition('-')[2]
    members = [
        model.Upstream(
            upstream_id=model.UpstreamId(f'{prefix}-{index}'),
            data_centre=DATA_CENTRE,
            address=ports.address(),
            control=ports.address(),
        )
        for index in range(1, 1 + upstreams)
    ]
    return model.Service(
        service_id=model.ServiceId(number),
        name=name,
        address=ports.address(),
        upstreams_by_id={item.upstream_id: item for item in members},
    )
