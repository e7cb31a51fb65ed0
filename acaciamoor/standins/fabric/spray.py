"""Random choice of a balancer for every datagram."""

import asyncio
import collections.abc
import dataclasses
import random

from acaciamoor import model
from acaciamoor import wire


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """Faults to inject into the fabric.

    Parameters
    ----------
    loss : float
        Probability that a datagram is dropped.
    cut : frozenset of HostId
        Balancers to which all datagrams are dropped, while the fabric still
        selects them.
    """

    loss: float = 0.0
    cut: frozenset[model.HostId] = frozenset()


class Fabric:
    """Selects a random usable balancer for every datagram.

    Parameters
    ----------
    addresses_by_host : Mapping
        Data address of each balancer.
    seed : int
        Seed of the random choices.
    faults : Faults
        Faults to inject.
    """

    def __init__(
        self,
        addresses_by_host: collections.abc.Mapping[
            model.HostId, model.Address
        ],
        seed: int,
        faults: Faults,
    ) -> None:
        self._addresses_by_host = {
            host: address.as_tuple()
            for host, address in addresses_by_host.items()
        }
        self._random = random.Random(seed)
        self._usable = sorted(self._addresses_by_host)
        self.faults = faults

    def set_usable(
        self, hosts: collections.abc.Iterable[model.HostId]
    ) -> None:
        """Select only from `hosts`, or from all balancers if it is empty."""
        self._usable = sorted(hosts) or sorted(self._addresses_by_host)

    def choose_target(self) -> tuple[str, int] | None:
        """Return the target of the next datagram, or None to drop it."""
        host = self._random.choice(self._usable)
        is_lost = self.faults.loss and self._random.random() < self.faults.loss
        if is_lost or host in self.faults.cut:
            return None
        return self._addresses_by_host[host]


class ServiceProtocol(asyncio.DatagramProtocol):
    """Forwards datagrams sent to the address of one service.

    Parameters
    ----------
    fabric : Fabric
        Selects the balancers.
    service_address : Address
        Address that callers send to.
    """

    def __init__(self, fabric: Fabric, service_address: model.Address) -> None:
        self._fabric = fabric
        self._service_address = service_address
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport on which datagrams are forwarded."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Forward a caller's datagram to a balancer, with a PROXY header."""
        target = self._fabric.choose_target()
        if target is None:
            return
        header = wire.encode_proxy_header(
            wire.ProxyHeader(model.Address(*addr[:2]), self._service_address)
        )
        self._transport.sendto(header + data, target)
