"""A backend of a service, as the users' page describes it."""

import asyncio
import json
import random
import socket
import time

from lib2 import wire

_QUEUE = 8
_SLOTS = 2
_WORK_S = 0.025
_RETRY_S = 0.2
_MAX_RETRY_S = 1.6
_MAX_RETRIES = 8


class _Flow:
    def __init__(self, seq: int, expected: int, echo: int) -> None:
        self.seq = seq
        self.expected = expected
        self.echo = echo
        self.opened = False
        self.buffer = b''
        # Sent and not acknowledged: first and last sequence number, packet.
        self.unacked = []
        self.retries = 0
        self.timer = None
        self.fin_sent = False


class Backend:
    """Backend with an entry in the store."""

    def __init__(self, site, name: str, service: str, zone: str, ip: str):
        self._site = site
        self.name = name
        self.number = int(name.rpartition('-')[2], 16)
        self.service = service
        self.zone = zone
        self.state = 'ready'
        self._sequence = 0
        self._flows = {}
        self._running = 0
        self._queue = []
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((ip, 0))
        self._socket.setblocking(False)
        self.address = '{}:{}'.format(*self._socket.getsockname())
        self._closed = False
        asyncio.get_running_loop().add_reader(self._socket, self._read)

    def make_entry(self) -> bytes:
        """Return the entry that the backend writes about itself."""
        return json.dumps(
            {
                'Service': self.service,
                'Address': self.address,
                'Zone': self.zone,
                'Version': 'v1',
                'Slots': _SLOTS,
                'State': self.state,
                'ColdLeftMs': 0,
                'Sequence': self._sequence,
                'born': self._site.born_ms,
            }
        ).encode()

    async def register(self) -> float:
        """Write the entry; return the time of the ack."""
        self._sequence += 1
        return await self._site.store.put(
            'servers', self.name, self.make_entry()
        )

    async def drain(self) -> float:
        """Report that the backend leaves; return the time of the ack."""
        self.state = 'draining'
        at = await self.register()
        self._site.record(f'{self.name} is draining: acknowledged')
        return at

    async def leave(self) -> None:
        """End, with all flows, and remove the entry."""
        self.close()
        self._site.record(f'{self.name} has ended')
        await self._site.store.remove('servers', self.name)

    def close(self) -> None:
        """End without a word."""
        if not self._closed:
            self._closed = True
            asyncio.get_running_loop().remove_reader(self._socket)
            self._socket.close()

    def _send(self, key, flow, flags, seq, data=b'') -> None:
        if self._closed:
            return
        src, sport, dst, dport = key
        packet = wire.Packet(
            dst, dport, src, sport, flags, seq, flow.expected, flow.echo, data
        )
        self._socket.sendto(packet.encode(), (src, self._site.port))

    def _reset(self, packet: wire.Packet) -> None:
        answer = wire.Packet(
            packet.dst,
            packet.dport,
            packet.src,
            packet.sport,
            wire.RST | wire.ACK,
            packet.ack,
            wire.add(packet.seq, len(packet.data)),
            packet.echo,
        )
        self._socket.sendto(answer.encode(), (packet.src, self._site.port))

    def _read(self) -> None:
        while not self._closed:
            try:
                datagram = self._socket.recv(2048)
            except BlockingIOError:
                return
            except OSError:
                continue
            self._handle(datagram)

    def _handle(self, datagram: bytes) -> None:
        number, body = wire.split_prefix(datagram)
        if number not in (0, self.number):
            return
        packet, right = wire.decode(body)
        if not right:
            self._site.break_rule(
                'UNASKED', f'{self.name} got a packet that nobody wrote so'
            )
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self._flows.get(key)
        if packet.flags & (wire.SYN | wire.ACK) == wire.SYN:
            if flow is None:
                flow = _Flow(
                    random.getrandbits(32),
                    wire.add(packet.seq, 1),
                    packet.echo,
                )
                self._flows[key] = flow
                flow.arrived_at = time.monotonic()
            if not flow.opened:
                flow.echo = packet.echo
                self._send(key, flow, wire.SYN | wire.ACK, flow.seq)
            return
        if flow is None:
            if not packet.flags & wire.RST:
                self._reset(packet)
            return
        if packet.flags & wire.RST:
            self._forget(key)
            return
        self._take(key, flow, packet)

    def _take(self, key, flow, packet) -> None:
        if not flow.opened:
            if packet.ack != wire.add(flow.seq, 1):
                return
            flow.opened = True
            flow.seq = packet.ack
            self._site.on_open(self, key, flow.arrived_at)
        flow.echo = packet.echo
        before = len(flow.unacked)
        flow.unacked = [
            item
            for item in flow.unacked
            if 0 < ((item[1] - packet.ack) & 0xFFFFFFFF) < 1 << 31
        ]
        if len(flow.unacked) < before:
            flow.retries = 0
        length = len(packet.data) + bool(packet.flags & wire.FIN)
        if length and packet.seq == flow.expected:
            flow.expected = wire.add(flow.expected, length)
            flow.buffer += packet.data
        if length:
            self._send(key, flow, wire.ACK, flow.seq)
        while b'\r\n\r\n' in flow.buffer:
            head, _, flow.buffer = flow.buffer.partition(b'\r\n\r\n')
            self._accept(key, flow, head.decode())
        if packet.flags & wire.FIN and not flow.fin_sent:
            flow.fin_sent = True
            self._send_reliably(key, flow, wire.ACK | wire.FIN)

    def _accept(self, key, flow, head: str) -> None:
        if self._running >= _SLOTS:
            if len(self._queue) >= _QUEUE:
                self._answer(key, flow, head, run=False)
            else:
                self._queue.append((key, flow, head))
            return
        self._running += 1
        self._site.on_run(self, head, key)
        asyncio.get_running_loop().call_later(
            _WORK_S, self._finish, key, flow, head
        )

    def _finish(self, key, flow, head) -> None:
        if self._closed:
            return
        self._running -= 1
        self._answer(key, flow, head, run=True)
        if self._queue:
            self._accept(*self._queue.pop(0))

    def _answer(self, key, flow, head, run) -> None:
        attempt = read_header(head, 'Attempt-Id')
        body = f'{attempt} by {self.name}'
        answer = (
            f'HTTP/1.1 {200 if run else 503} -\r\n'
            f'{"Backend-Signature" if run else "Not-Executed"}: {attempt}\r\n'
            f'Backend-Id: {self.name}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n{body}'
        )
        flags = wire.ACK
        if self.state == 'draining' and not flow.fin_sent:
            flags |= wire.FIN
            flow.fin_sent = True
        self._send_reliably(key, flow, flags, answer.encode())

    def _send_reliably(self, key, flow, flags, data=b'') -> None:
        length = len(data) + bool(flags & wire.FIN)
        end = wire.add(flow.seq, length)
        flow.unacked.append((flow.seq, end, flags, data))
        self._send(key, flow, flags, flow.seq, data)
        flow.seq = end
        if flow.timer is None:
            self._arm(key, flow)

    def _arm(self, key, flow) -> None:
        delay = min(_RETRY_S * 2**flow.retries, _MAX_RETRY_S)
        flow.timer = asyncio.get_running_loop().call_later(
            delay, self._retry, key, flow
        )

    def _retry(self, key, flow) -> None:
        flow.timer = None
        if self._closed or not flow.unacked or key not in self._flows:
            return
        flow.retries += 1
        if flow.retries > _MAX_RETRIES:
            self._forget(key)
            return
        first, _, flags, data = flow.unacked[0]
        self._send(key, flow, flags, first, data)
        self._arm(key, flow)

    def _forget(self, key) -> None:
        self._flows.pop(key, None)


def read_header(head: str, name: str) -> str:
    """Return the value of a header; empty if it is missing."""
    for line in head.split('\r\n'):
        key, _, value = line.partition(':')
        if key.lower() == name.lower():
            return value.strip()
    return ''
