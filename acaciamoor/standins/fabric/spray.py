"""Random choice of a balancer for every datagram."""

import asyncio
import collections.abc
import dataclasses
import random

from acaciamoor import model
from acaciamoor import wire


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """Faults of the fabric.

    Parameters
    ----------
    loss : float
        Probability that a datagram is lost.
    cut : frozenset of HostId
        Balancers whose datagrams are all lost, without the fabric knowing.
    """

    loss: float = 0.0
    cut: frozenset[model.HostId] = frozenset()


class Fabric:
    """Sprays datagrams over the balancers that look healthy.

    Parameters
    ----------
    balancers_by_host : Mapping
        Data address of every balancer.
    seed : int
        Seed of the random choices.
    faults : Faults
        Faults to inject.
    """

    def __init__(
        self,
        balancers_by_host: collections.abc.Mapping[
            model.HostId, model.Address
        ],
        seed: int,
        faults: Faults,
    ) -> None:
        self._addresses_by_host = {
            host: address.as_tuple()
            for host, address in balancers_by_host.items()
        }
        self._random = random.Random(seed)
        self._usable = sorted(self._addresses_by_host)
        self.faults = faults

    def set_usable(
        self, hosts: collections.abc.Iterable[model.HostId]
    ) -> None:
        """Spray over `hosts` only; over all if none is given."""
        self._usable = sorted(hosts) or sorted(self._addresses_by_host)

    def choose(self) -> tuple[str, int] | None:
        """Return the target of the next datagram, or None if it is lost."""
        host = self._random.choice(self._usable)
        lost = self.faults.loss and self._random.random() < self.faults.loss
        if lost or host in self.faults.cut:
            return None
        return self._addresses_by_host[host]


class ServiceProtocol(asyncio.DatagramProtocol):
    """Receives the datagrams for the address of one service.

    Parameters
    ----------
    fabric : Fabric
        Chooses the balancers.
    service_address : Address
        Address that callers send to.
    """

    def __init__(self, fabric: Fabric, service_address: model.Address) -> None:
        self._fabric = fabric
        self._service_address = service_address
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport for sending."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass one datagram of a caller to a balancer."""
        target = self._fabric.choose()
        if target is None:
            return
        header = wire.encode_proxy_header(
            wire.ProxyHeader(model.Address(*addr[:2]), self._service_address)
        )
        self._transport.sendto(header + data, target)
