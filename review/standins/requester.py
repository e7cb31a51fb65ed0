"""Requesters of a zone, and the router in front of its forwarders."""

import asyncio
import random
import time

from standins import wire

SYN_COPIES_S = (0.0, 0.2, 0.6)
OPENING_LIMIT_S = 1.4
POLL_S = 0.5
MISSES = 2


class Router:
    """Forwards packets of a zone's requesters to its forwarders.

    Parameters
    ----------
    forwarders : list
        The zone's forwarders.
    """

    def __init__(self, forwarders: list) -> None:
        self._forwarders = forwarders
        self._misses = {item.name: MISSES for item in forwarders}
        self._task = None

    def start(self) -> None:
        """Start to poll the readiness of the forwarders."""
        self._task = asyncio.create_task(self._poll())

    def close(self) -> None:
        """Stop polling."""
        if self._task is not None:
            self._task.cancel()

    def choose(self, flow: tuple):
        """Return the forwarder for a flow."""
        ready = [
            item
            for item in self._forwarders
            if self._misses[item.name] < MISSES
        ]
        if 2 * len(ready) < len(self._forwarders):
            ready = self._forwarders
        return ready[hash(flow) % len(ready)]

    async def _poll(self) -> None:
        while True:
            await asyncio.gather(
                *(self._check(item) for item in self._forwarders)
            )
            await asyncio.sleep(POLL_S)

    async def _check(self, forwarder) -> None:
        if await forwarder.is_ready():
            self._misses[forwarder.name] = 0
        else:
            self._misses[forwarder.name] += 1


class Flow:
    """A flow with a single request."""

    def __init__(self, key: tuple, request: str, seq: int) -> None:
        self.key = key
        self.request = request
        self.seq = seq
        self.opened_at = time.monotonic()
        self.sent: list[tuple[float, str]] = []
        self.peer_seq = None
        self.echo = 0
        self.outcome = ''


class Requesters:
    """Requesters of a zone, each of which opens a flow for a request.

    Parameters
    ----------
    ip : str
        Address of the requesters.
    port : int
        Port at which they get packets.
    router : Router
        Router of the zone.
    record : callable
        Receives a line for each flow.
    """

    def __init__(self, ip: str, port: int, router: Router, record) -> None:
        self._ip = ip
        self._number = wire.to_int(ip)
        self._router = router
        self._record = record
        self._random = random.Random(ip)
        self._next_port = 20_000
        self._loop = asyncio.get_running_loop()
        self.flows: dict[tuple, Flow] = {}
        self.counts: dict[str, int] = {}
        self.problems: list[str] = []
        self._socket = wire.udp_socket(ip, port)
        self._loop.add_reader(self._socket, self._read)

    def close(self) -> None:
        """Close the socket."""
        self._loop.remove_reader(self._socket)
        self._socket.close()

    def open(self, route: tuple[str, int], request: str) -> Flow:
        """Open a flow to a route and send a request on it."""
        self._next_port = 20_000 + (self._next_port - 19_999) % 40_000
        key = (self._number, self._next_port, wire.to_int(route[0]), route[1])
        flow = Flow(key, request, self._random.getrandbits(30))
        self.flows[key] = flow
        for copy, delay in enumerate(SYN_COPIES_S):
            self._loop.call_later(delay, self._send_syn, flow, copy)
        self._loop.call_later(OPENING_LIMIT_S, self._give_up, flow)
        return flow

    def _send_syn(self, flow: Flow, copy: int) -> None:
        if flow.peer_seq is None and not flow.outcome:
            self._send(flow, wire.SYN, flow.seq, copy)

    def _give_up(self, flow: Flow) -> None:
        if not flow.outcome:
            answer = 'never opened' if flow.peer_seq is None else 'no answer'
            self._end(flow, answer)

    def _end(self, flow: Flow, outcome: str) -> None:
        flow.outcome = outcome
        kind = outcome.partition(' ')[0]
        self.counts[kind] = self.counts.get(kind, 0) + 1
        took_ms = (time.monotonic() - flow.opened_at) * 1000
        via = ','.join(name for _, name in flow.sent[:1])
        self._record(f'flow {flow.request} via {via}: {outcome} {took_ms:.0f}')
        self._loop.call_later(5.0, self.flows.pop, flow.key, None)

    def _send(self, flow, flags, seq, ack, data=b'') -> None:
        src, sport, dst, dport = flow.key
        packet = wire.Packet(
            src, sport, dport, dst, seq, ack, flags, flow.echo, data
        )
        forwarder = self._router.choose(flow.key)
        flow.sent.append((time.monotonic(), forwarder.name))
        self._socket.sendto(packet.encode(), forwarder.datagram_address)

    def _read(self) -> None:
        while True:
            try:
                data = self._socket.recv(4096)
            except BlockingIOError:
                return
            packet = wire.decode(data)
            key = (packet.dst, packet.dport, packet.src, packet.sport)
            flow = self.flows.get(key)
            if flow is not None and not flow.outcome:
                self._handle(flow, packet)

    def _handle(self, flow: Flow, packet: wire.Packet) -> None:
        if packet.flags & wire.RST:
            self._end(flow, 'reset')
            return
        if packet.total != packet.compute_sum():
            self.problems.append(f'a packet of {flow.request} was changed')
            return
        if packet.flags & wire.SYN:
            if flow.peer_seq is None:
                flow.peer_seq = packet.seq
                flow.echo = packet.echo
                self._send(
                    flow,
                    wire.ACK,
                    flow.seq + 1,
                    packet.seq + 1,
                    flow.request.encode(),
                )
            return
        if flow.peer_seq is None or packet.seq != flow.peer_seq + 1:
            return
        flow.echo = packet.echo
        body = packet.data.decode()
        if body.rpartition(' ')[2] != flow.request:
            self.problems.append(f'{flow.request} got {body!r}')
        end = packet.seq + len(packet.data)
        self._send(flow, wire.ACK | wire.FIN, flow.seq + 1, end)
        self._end(flow, body.rpartition(' ')[0])
