"""Requesters of a zone, as the users' page describes them."""

import asyncio
import random
import time

from lib2 import wire
from lib2.backend import read_header

_SYN_COPIES_S = (0.2, 0.6)
_OPEN_LIMIT_S = 1.4
_RETRY_S = 0.2
_MAX_RETRY_S = 1.6


class _Flow:
    def __init__(self) -> None:
        self.seq = random.getrandbits(32)
        self.first_seq = self.seq
        self.expected = None
        self.echo = 0
        self.buffer = b''
        self.reset = False
        self.ended = False
        self.event = asyncio.Event()


class Attempt:
    """A try of a request, on a flow of its own."""

    def __init__(self, number: str, route: tuple[str, int], zone: str):
        self.id = number
        self.route = route
        self.zone = zone
        self.sent_at = time.monotonic()
        self.key = None
        self.served = False
        self.opened = False
        self.outcome = ''
        self.refused = False


class Requesters:
    """Requesters at one address; all packets pass the routers."""

    def __init__(self, site, zone: str, ip: str) -> None:
        self._site = site
        self.zone = zone
        self.ip = ip
        self._next_port = 20_000
        self._flows = {}

    def take(self, packet: wire.Packet, right: bool) -> None:
        """Handle a packet for a requester."""
        own_reset = packet.flags == wire.RST and not packet.data
        if not right and not own_reset:
            self._site.break_rule('MIXED', 'a packet that nobody wrote so')
            return
        flow = self._flows.get(packet.dport)
        if flow is None:
            return
        if packet.flags & wire.RST:
            far = (packet.seq - (flow.expected or 0)) & 0xFFFFFFFF
            near = min(far, (1 << 32) - far) <= 76_800
            if flow.expected is None or near or right:
                flow.reset = True
                flow.event.set()
            return
        if packet.flags & wire.SYN:
            if flow.expected is None:
                flow.expected = wire.add(packet.seq, 1)
                flow.echo = packet.echo
                flow.event.set()
            return
        if flow.expected is None:
            return
        flow.echo = packet.echo
        length = len(packet.data) + bool(packet.flags & wire.FIN)
        if length and packet.seq == flow.expected:
            flow.expected = wire.add(flow.expected, length)
            flow.buffer += packet.data
            flow.ended = flow.ended or bool(packet.flags & wire.FIN)
        flow.acked = packet.ack
        if length:
            self._send(flow, wire.ACK)
        flow.event.set()

    def _send(self, flow, flags, data=b'', ack=None, seq=None) -> None:
        src, sport, dst, dport = flow.key
        if ack is None:
            ack = flow.expected or 0
        packet = wire.Packet(
            src,
            sport,
            dst,
            dport,
            flags,
            flow.seq if seq is None else seq,
            ack,
            flow.echo,
            data,
        )
        self._site.route(self.zone, packet)

    async def ask(self, number: str, route, limit_s: float) -> Attempt:
        """Open a flow, send a request and return how it ended."""
        attempt = Attempt(number, route, self.zone)
        self._next_port += 1
        if self._next_port > 60_000:
            self._next_port = 20_001
        port = self._next_port
        flow = _Flow()
        flow.acked = None
        flow.key = attempt.key = (self.ip, port, *route)
        self._flows[port] = flow
        try:
            async with asyncio.timeout(limit_s):
                attempt.outcome = await self._run(flow, attempt)
        except TimeoutError:
            attempt.outcome = 'time limit'
        finally:
            asyncio.get_running_loop().call_later(
                3.0, self._flows.pop, port, None
            )
        return attempt

    async def _run(self, flow, attempt) -> str:
        if not await self._open(flow):
            attempt.refused = flow.reset
            return 'reset' if flow.reset else 'not opened'
        attempt.opened = True
        flow.seq = wire.add(flow.seq, 1)
        request = (
            f'GET /x HTTP/1.1\r\nHost: x\r\nAttempt-Id: {attempt.id}\r\n\r\n'
        ).encode()
        start, end = flow.seq, wire.add(flow.seq, len(request))
        flow.seq = end
        delay = _RETRY_S
        while b'\r\n\r\n' not in flow.buffer:
            if flow.reset:
                return 'reset'
            if flow.acked != end:
                self._send(flow, wire.ACK, request, seq=start)
            flow.event.clear()
            resend_at = time.monotonic() + delay
            while time.monotonic() < resend_at and not (
                flow.reset or b'\r\n\r\n' in flow.buffer
            ):
                flow.event.clear()
                try:
                    async with asyncio.timeout(
                        max(0.001, resend_at - time.monotonic())
                    ):
                        await flow.event.wait()
                except TimeoutError:
                    break
            delay = min(2 * delay, _MAX_RETRY_S)
        self._send(flow, wire.ACK | wire.FIN)
        flow.seq = wire.add(flow.seq, 1)
        return self._check(flow, attempt)

    def _check(self, flow, attempt) -> str:
        head, _, body = flow.buffer.decode().partition('\r\n\r\n')
        status = head.split(' ', 2)[1]
        signature = read_header(head, 'Backend-Signature')
        if status == '200' and (
            signature != attempt.id
            or len(body) != int(read_header(head, 'Content-Length'))
            or not body.startswith(attempt.id)
        ):
            self._site.break_rule('MIXED', f'{attempt.id}: {flow.buffer!r}')
        attempt.served = status == '200'
        return f'{status} {read_header(head, "Backend-Id")}'

    async def _open(self, flow) -> bool:
        started_at = time.monotonic()
        for copy, until in enumerate((*_SYN_COPIES_S, _OPEN_LIMIT_S)):
            self._send(flow, wire.SYN, ack=copy)
            left = started_at + until - time.monotonic()
            try:
                async with asyncio.timeout(max(0.001, left)):
                    await flow.event.wait()
                flow.event.clear()
                return not flow.reset
            except TimeoutError:
                continue
        return False
