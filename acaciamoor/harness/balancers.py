"""Whole balancer cores on a virtual network."""

import datetime
import random

from acaciamoor.balancer import core as cores
import acaciamoor.configuration as configuration
import acaciamoor.harness as harness
import acaciamoor.model as model
import acaciamoor.wire as wire

DATA_CENTRE = model.DataCentre('kgn-a')
SECOND = datetime.timedelta(seconds=1)
TICK = datetime.timedelta(milliseconds=10)
CALLER = model.Address('127.0.0.1', 40000)
KEYRING = wire.Keyring({1: b'k' * 16}, active_key_id=1)


def peer_address(number: int) -> model.Address:
    """Return the peer address of host `number`."""
    return model.Address('127.0.0.1', 20000 + number)


def datagram(
    service: model.Service,
    kind: wire.EnvelopeKind,
    flow: int,
    caller: model.Address = CALLER,
    **fields: object,
) -> bytes:
    """Return what the fabric hands to a balancer."""
    header = wire.ProxyHeader(caller, service.address)
    if kind is wire.EnvelopeKind.REQUEST:
        fields.setdefault('timeout', 5 * SECOND)
    envelope = wire.Envelope(kind, service.service_id, flow, **fields)
    return wire.encode_proxy_header(header) + wire.encode(envelope)


class BalancerNetwork:
    """Balancer cores with recorded callers and scripted upstreams.

    Hosts are named ``kgn-a-1`` to ``kgn-a-N``. Upstreams are the hosts
    ``up-<port>`` of the network; what they receive is in `received_by_port`,
    and they answer after `run_time` if `answering` is set. Refusals and
    answers to callers are in `to_callers`. Neither is kept if `recording` is
    not set.

    Parameters
    ----------
    hosts : int
        Number of balancers.
    seed : int
        Seed of all random choices.
    services : tuple of Service
        Services with upstreams in `DATA_CENTRE`.
    """

    def __init__(
        self,
        hosts: int,
        seed: int,
        services: tuple[model.Service, ...],
    ) -> None:
        self.network = harness.VirtualNetwork(seed)
        self.services = services
        self.answering = True
        self.recording = True
        self.run_time = datetime.timedelta(0)
        self.received_by_port: dict[int, list[wire.Envelope]] = {}
        self.to_callers: list[wire.Envelope] = []
        self.exited: set[str] = set()
        self.watching: set[str] = set()
        self.cores_by_host: dict[str, cores.BalancerCore] = {}
        self._hosts_by_peer_port: dict[int, str] = {}
        self._peers_by_host: dict[str, tuple[str, int]] = {}
        for number in range(1, 1 + hosts):
            host = f'kgn-a-{number}'
            address = peer_address(number)
            self._hosts_by_peer_port[address.port] = host
            self._peers_by_host[host] = address.as_tuple()
        for host in self._hosts_by_peer_port.values():
            self.start(host)
        for service in self.services:
            for upstream in service.upstreams_by_id.values():
                self._add_upstream(upstream.address)

    @property
    def version(self) -> int:
        """Collection version of the services."""
        return max(service.version for service in self.services)

    def start(self, host: str) -> None:
        """Start a core, which reads the platform once."""
        core = cores.BalancerCore(
            cores.CoreSettings(model.HostId(host), DATA_CENTRE, 2 * SECOND),
            self.network.clock,
            random.Random(f'{self.network.random.random()}-{host}'),
            KEYRING,
        )
        self.cores_by_host[host] = core
        self.network.add_host(
            host, lambda sender, event: self.post(host, event)
        )
        self.post(host, self._host_list())
        self.post(
            host, cores.ServicesListed(self.version, tuple(self.services))
        )
        self._tick(host)

    def run(self, seconds: float) -> None:
        """Let virtual time pass."""
        end = self.network.clock.monotonic() + seconds * SECOND
        self.network.run_until(end)

    def post(self, host: str, event: object) -> None:
        """Hand an event to a core and carry out its effects."""
        for effect in self.cores_by_host[host].handle(event):
            self._carry_out(host, effect)

    def send(self, host: str, data: bytes) -> None:
        """Hand a caller's datagram to a balancer now."""
        self.post(host, cores.CallerDatagrams([data]))

    def change(self, service: model.Service) -> None:
        """Let the watch deliver a new version of a service."""
        changed = service.at_version(self.version + 1)
        self.services = tuple(
            changed if item.service_id == changed.service_id else item
            for item in self.services
        )
        change = configuration.ServiceVersion(
            changed.service_id, changed.version, changed
        )
        for host in self.watching:
            self.post(host, cores.ServiceChanged(change))

    def kill(self, host: str) -> None:
        """Kill a balancer."""
        self.network.remove_host(host)
        self.watching.discard(host)

    def ports_reached(self, flow: int) -> list[int]:
        """Return the ports of upstreams that got packets of a flow.

        One for each packet; cancellations do not count.
        """
        return [
            port
            for port, envelopes in sorted(self.received_by_port.items())
            for envelope in envelopes
            if envelope.flow == flow
            and envelope.kind is not wire.EnvelopeKind.CANCEL
        ]

    def _host_list(self) -> cores.HostsListed:
        return cores.HostsListed(
            tuple(
                cores.Host(
                    model.HostId(host),
                    DATA_CENTRE,
                    model.Address('127.0.0.1', port),
                )
                for port, host in self._hosts_by_peer_port.items()
            )
        )

    def _tick(self, host: str) -> None:
        core = self.cores_by_host[host]

        def tick() -> None:
            if self.cores_by_host[host] is not core or host in self.exited:
                return
            self.post(host, cores.Tick())
            for channel in cores.Channel:
                self.post(host, cores.ChannelEmpty(channel))
            self.network.call_later(TICK, tick, host=host)

        self.network.call_later(TICK, tick, host=host)
        self._confirm(host, core)

    def _confirm(self, host: str, core: cores.BalancerCore) -> None:
        def confirm() -> None:
            if self.cores_by_host[host] is not core:
                return
            if host in self.watching:
                self.post(host, cores.WatchAlive(self.version))
            self.network.call_later(SECOND / 2, confirm, host=host)

        self.network.call_later(SECOND / 2, confirm, host=host)

    def _carry_out(self, host: str, effect: object) -> None:
        match effect:
            case cores.ToPeer(address, data):
                peer = self._hosts_by_peer_port[address[1]]
                event = cores.PeerDatagram(self._peers_by_host[host], data)
                self.network.send(host, peer, event)
            case cores.ToUpstream(address, data):
                self.network.send(host, f'up-{address[1]}', (host, data))
            case cores.ToCaller(_, data):
                if self.recording:
                    self.to_callers.append(wire.decode(data))
            case cores.SetWatch(held):
                (self.watching.add if held else self.watching.discard)(host)
                if held:
                    self.post(host, cores.WatchAlive(self.version))
            case cores.Exit():
                self.exited.add(host)

    def _add_upstream(self, address: model.Address) -> None:
        received = self.received_by_port.setdefault(address.port, [])

        def receive(host: str, message: tuple[str, bytes]) -> None:
            sender, data = message
            _, offset = wire.parse_proxy_header(data)
            envelope = wire.decode(data[offset:])
            if self.recording:
                received.append(envelope)
            if not self.answering:
                return
            kind = envelope.kind
            if kind is wire.EnvelopeKind.REQUEST:
                kind = wire.EnvelopeKind.ANSWER
            answer = wire.Envelope(
                kind,
                envelope.service,
                envelope.flow,
                envelope.request,
                attempt=envelope.attempt,
                payload=str(address.port).encode(),
            )
            event = cores.UpstreamDatagram(
                address.as_tuple(), data[:offset] + wire.encode(answer)
            )
            name = f'up-{address.port}'
            self.network.call_later(
                self.run_time,
                lambda: self.network.send(name, sender, event),
                host=name,
            )

        self.network.add_host(f'up-{address.port}', receive)
