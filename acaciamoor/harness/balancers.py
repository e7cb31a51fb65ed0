"""Complete balancer cores on a virtual network."""

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


def caller_datagram(
    service: model.Service,
    kind: wire.EnvelopeKind,
    flow: int,
    caller: model.Address = CALLER,
    **fields: object,
) -> bytes:
    """Return a caller's datagram as the fabric forwards it to a balancer."""
    header = wire.ProxyHeader(caller, service.address)
    if kind is wire.EnvelopeKind.REQUEST:
        fields.setdefault('timeout', 5 * SECOND)
    envelope = wire.Envelope(kind, service.service_id, flow, **fields)
    return wire.encode_proxy_header(header) + wire.encode(envelope)


class BalancerNetwork:
    """Balancer cores with simulated upstreams and recorded traffic.

    Balancers are the hosts ``kgn-a-1`` to ``kgn-a-N`` of the network, and
    upstreams are its hosts ``up-<port>``. Upstreams answer after `run_time`
    if `is_answering` is set. While `is_recording` is set, the envelopes that
    upstreams receive are added to `received_by_port`, and the answers and
    refusals sent to callers to `to_callers`. Watches and the listings of a
    starting balancer are delivered while `is_platform_up` is set.

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
        self.is_answering = True
        self.is_recording = True
        self.is_platform_up = True
        self.run_time = datetime.timedelta(0)
        self.received_by_port: dict[int, list[wire.Envelope]] = {}
        self.to_callers: list[wire.Envelope] = []
        self.exited_hosts: set[str] = set()
        self.watching_hosts: set[str] = set()
        self._evacuation = cores.EvacuationRead(0, evacuated=False)
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
        """Start a core and deliver the initial host and service listings."""
        core = cores.BalancerCore(
            cores.CoreSettings(model.HostId(host), DATA_CENTRE, 2 * SECOND),
            self.network.clock,
            random.Random(f'{self.network.random.random()}-{host}'),
            KEYRING,
        )
        self.cores_by_host[host] = core
        self.network.add_host(
            host, lambda sender, event: self.dispatch(host, event)
        )
        if self.is_platform_up:
            self.dispatch(host, self._hosts_listed_event())
            self.dispatch(host, self._evacuation)
            self.dispatch(
                host, cores.ServicesListed(self.version, tuple(self.services))
            )
        self._schedule_ticks(host)

    def run(self, seconds: float) -> None:
        """Advance the virtual time and process all events due."""
        end = self.network.clock.monotonic() + seconds * SECOND
        self.network.run_until(end)

    def dispatch(self, host: str, event: object) -> None:
        """Pass an event to a core and apply the resulting effects."""
        for effect in self.cores_by_host[host].handle(event):
            self._apply_effect(host, effect)

    def send(self, host: str, data: bytes) -> None:
        """Deliver a caller's datagram to a balancer without delay."""
        self.dispatch(host, cores.CallerDatagrams([data]))

    def update_service(self, service: model.Service) -> None:
        """Store a new version of a service and deliver it to all watches."""
        new_version = service.at_version(self.version + 1)
        self.services = tuple(
            new_version if item.service_id == new_version.service_id else item
            for item in self.services
        )
        change = configuration.ServiceVersion(
            new_version.service_id, new_version.version, new_version
        )
        for host in self.watching_hosts:
            self.dispatch(host, cores.ServiceChanged(change))

    def set_evacuated(self, evacuated: bool) -> None:
        """Evacuate the data centre or take it back; tell all watches."""
        if evacuated == self._evacuation.evacuated:
            return
        self._evacuation = cores.EvacuationRead(
            self._evacuation.version + 1, evacuated
        )
        for host in self.watching_hosts:
            self.dispatch(host, self._evacuation)

    def kill(self, host: str) -> None:
        """Stop a balancer without notice."""
        self.network.remove_host(host)
        self.watching_hosts.discard(host)

    def ports_reached(self, flow: int) -> list[int]:
        """Return the ports of the upstreams that received packets of a flow.

        A port is repeated for each packet; cancellations are ignored.
        """
        return [
            port
            for port, envelopes in sorted(self.received_by_port.items())
            for envelope in envelopes
            if envelope.flow == flow
            and envelope.kind is not wire.EnvelopeKind.CANCEL
        ]

    def _hosts_listed_event(self) -> cores.HostsListed:
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

    def _schedule_ticks(self, host: str) -> None:
        core = self.cores_by_host[host]

        def tick() -> None:
            if (
                self.cores_by_host[host] is not core
                or host in self.exited_hosts
            ):
                return
            self.dispatch(host, cores.Tick())
            for channel in cores.Channel:
                self.dispatch(host, cores.ChannelEmpty(channel))
            self.network.call_later(TICK, tick, host=host)

        self.network.call_later(TICK, tick, host=host)
        self._schedule_watch_confirmations(host, core)

    def _schedule_watch_confirmations(
        self, host: str, core: cores.BalancerCore
    ) -> None:
        def confirm() -> None:
            if self.cores_by_host[host] is not core:
                return
            if host in self.watching_hosts and self.is_platform_up:
                self.dispatch(host, cores.WatchAlive(self.version))
            self.network.call_later(SECOND / 2, confirm, host=host)

        self.network.call_later(SECOND / 2, confirm, host=host)

    def _apply_effect(self, host: str, effect: object) -> None:
        match effect:
            case cores.ToPeer(address, data):
                peer = self._hosts_by_peer_port[address[1]]
                event = cores.PeerDatagram(self._peers_by_host[host], data)
                self.network.send(host, peer, event)
            case cores.ToUpstream(address, data):
                self.network.send(host, f'up-{address[1]}', (host, data))
            case cores.ToCaller(_, data):
                if self.is_recording:
                    self.to_callers.append(wire.decode(data))
            case cores.SetWatch(held):
                (
                    self.watching_hosts.add
                    if held
                    else self.watching_hosts.discard
                )(host)
                if held and self.is_platform_up:
                    self.dispatch(host, self._evacuation)
                    self.dispatch(host, cores.WatchAlive(self.version))
            case cores.Exit():
                self.exited_hosts.add(host)

    def _add_upstream(self, address: model.Address) -> None:
        received = self.received_by_port.setdefault(address.port, [])

        def receive(host: str, message: tuple[str, bytes]) -> None:
            sender, data = message
            _, offset = wire.parse_proxy_header(data)
            envelope = wire.decode(data[offset:])
            if self.is_recording:
                received.append(envelope)
            if not self.is_answering:
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
