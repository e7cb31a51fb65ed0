"""Backends that register in the store and serve flows."""

import asyncio
import random
import time

from standins import wire


class Backend:
    """Backend of a service.

    Parameters
    ----------
    name : str
        Its id; the hex digits behind the hyphen are its number.
    service, zone, ip : str
        What it runs, and where.
    work_s : float
        Time that a request takes.
    on_syn : callable
        Receives the backend, the packet, the forwarder's address and the
        time of each opening packet.
    """

    def __init__(
        self, name, service, zone, ip, work_s, store, heartbeat_s, on_syn
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.state = 'ready'
        self._number = int(name.rpartition('-')[2], 16)
        self._work_s = work_s
        self._store = store
        self._heartbeat_s = heartbeat_s
        self._on_syn = on_syn
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._random = random.Random(name)
        self.reaches_store = True
        self._flows: dict[tuple, dict] = {}
        self.runs: dict[str, int] = {}
        self.problems: list[str] = []
        self._socket = wire.udp_socket(ip, 0)
        self.address = self._socket.getsockname()
        self._reports = None
        self._closed = False
        self._loop = asyncio.get_running_loop()

    def start(self) -> None:
        """Start to read packets and to report."""
        self._loop.add_reader(self._socket, self._read)
        self._reports = asyncio.create_task(self._report())

    def close(self) -> None:
        """Stop."""
        if self._closed:
            return
        self._closed = True
        if self._reports is not None:
            self._reports.cancel()
        self._loop.remove_reader(self._socket)
        self._socket.close()

    def exit(self) -> list[str]:
        """End; return the requests in progress, which get no answer."""
        self.close()
        return [
            flow['data'].decode()
            for flow in self._flows.values()
            if flow['data'] and flow['answer'] is None
        ]

    async def report_now(self) -> None:
        """Write the entry to the store."""
        if not self.reaches_store:
            return
        self._sequence += 1
        await self._store.report(
            self.name,
            {
                'Service': self.service,
                'Address': '{}:{}'.format(*self.address),
                'Zone': self.zone,
                'Version': 'v1',
                'Slots': 2,
                'State': self.state,
                'ColdLeftMs': 0,
                'Sequence': self._sequence,
                'born': self._born,
            },
        )

    async def _report(self) -> None:
        while True:
            await self.report_now()
            await asyncio.sleep(self._heartbeat_s)

    def _read(self) -> None:
        while True:
            try:
                datagram, sender = self._socket.recvfrom(4096)
            except BlockingIOError:
                return
            number = int.from_bytes(datagram[: wire.WIRE_ID_BYTES], 'big')
            if number not in (0, self._number):
                continue
            self._handle(wire.decode(datagram[wire.WIRE_ID_BYTES :]), sender)

    def _handle(self, packet: wire.Packet, sender) -> None:
        if packet.total != packet.compute_sum():
            self.problems.append(f'{self.name}: a packet was changed')
            return
        flow = self._flows.get(packet.flow)
        if packet.flags & wire.SYN:
            self._on_syn(self, packet, sender, time.monotonic())
            if flow is None:
                flow = self._flows[packet.flow] = {
                    'seq': self._random.getrandbits(31),
                    'next': packet.seq + 1,
                    'data': b'',
                    'answer': None,
                    'open': False,
                }
            flow['echo'] = packet.echo
            self._send(packet, flow, wire.SYN | wire.ACK, flow['seq'], b'')
            return
        if flow is None or packet.ack <= flow['seq']:
            if not packet.flags & (wire.RST | wire.FIN):
                self._reset(packet)
            return
        flow['open'] = True
        flow['echo'] = packet.echo
        if packet.flags & (wire.FIN | wire.RST):
            del self._flows[packet.flow]
            return
        if packet.data and flow['answer'] is None and not flow['data']:
            flow['data'] = packet.data
            request = packet.data.decode()
            self.runs[request] = self.runs.get(request, 0) + 1
            self._loop.call_later(self._work_s, self._answer, packet, flow)
        elif packet.data and flow['answer'] is not None:
            self._send(packet, flow, wire.ACK, flow['seq'] + 1, flow['answer'])

    def _answer(self, packet: wire.Packet, flow: dict) -> None:
        flow['answer'] = b'200 ' + self.name.encode() + b' ' + packet.data
        self._send(packet, flow, wire.ACK, flow['seq'] + 1, flow['answer'])

    def _send(self, packet, flow, flags, seq, data) -> None:
        answer = wire.Packet(
            packet.dst,
            packet.dport,
            packet.sport,
            packet.src,
            seq,
            packet.seq + 1,
            flags,
            flow['echo'],
            data,
        )
        self._transmit(answer)

    def _reset(self, packet: wire.Packet) -> None:
        self._transmit(
            wire.Packet(
                packet.dst,
                packet.dport,
                packet.sport,
                packet.src,
                packet.ack,
                packet.seq,
                wire.RST,
                packet.echo,
            )
        )

    def _transmit(self, packet: wire.Packet) -> None:
        if self._closed:
            return
        self._socket.sendto(
            packet.encode(), (wire.to_ip(packet.dst), self.requester_port)
        )

    requester_port = 0
