"""Data path of the upstream stand-in."""

import asyncio
import dataclasses
import datetime
import logging
import random

import msgspec

from acaciamoor import clock as clocks
from acaciamoor.standins import contract
from acaciamoor.standins.upstream import behaviour as behaviours
import acaciamoor.wire as wire

LOG = logging.getLogger(__name__)
_ORDER = msgspec.json.Decoder(contract.WorkOrder)
RequestKey = tuple[int, int]


@dataclasses.dataclass(slots=True)
class _Return:
    """Where answers go: the last balancer, with the caller's header."""

    balancer: tuple[str, int]
    header: bytes


@dataclasses.dataclass(slots=True)
class _Job:
    """A request that is being received or run."""

    envelope: wire.Envelope
    back: _Return
    payload_by_part: dict[int, bytes] = dataclasses.field(default_factory=dict)
    task: asyncio.Task | None = None


class UpstreamServer(asyncio.DatagramProtocol):
    """Runs requests in slots and keeps streams.

    Parameters
    ----------
    behaviour : Behaviour
        Limits and faults.
    clock : Clock
        Source of time.
    """

    def __init__(
        self, behaviour: behaviours.Behaviour, clock: clocks.Clock
    ) -> None:
        self.behaviour = behaviour
        self.draining = False
        self.runs: list[contract.RunRecord] = []
        self.wrong_service = 0
        self.malformed = 0
        self.shed = 0
        self.cancelled = 0
        self._clock = clock
        self._started = clock.monotonic()
        self._random = random.Random(behaviour.seed)
        self._returns_by_stream: dict[int, _Return] = {}
        self._jobs_by_key: dict[RequestKey, _Job] = {}
        self._transport: asyncio.DatagramTransport | None = None

    @property
    def busy(self) -> int:
        """Number of slots in use."""
        return sum(job.task is not None for job in self._jobs_by_key.values())

    @property
    def connections(self) -> int:
        """Number of open streams."""
        return len(self._returns_by_stream)

    def records(self) -> contract.UpstreamRecords:
        """Return everything that the checks after a run need."""
        return contract.UpstreamRecords(
            upstream=self.behaviour.name,
            service=self.behaviour.service,
            runs=self.runs,
            wrong_service=self.wrong_service,
            streams=list(self._returns_by_stream),
            shed=self.shed,
            cancelled=self.cancelled,
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport for answers."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle one datagram from a balancer."""
        try:
            _, offset = wire.parse_proxy_header(data)
            envelope = wire.decode(data[offset:])
        except wire.MalformedError:
            self.malformed += 1
            return
        if envelope.service != self.behaviour.service:
            self.wrong_service += 1
            LOG.error('datagram of service %d arrived', envelope.service)
            return
        back = _Return(addr, data[:offset])
        handler = _HANDLERS_BY_KIND.get(envelope.kind)
        if handler is not None:
            handler(self, envelope, back)

    def push(self) -> None:
        """Send one datagram to every open stream."""
        for flow, back in self._returns_by_stream.items():
            envelope = wire.Envelope(
                wire.EnvelopeKind.DATA, self.behaviour.service, flow
            )
            self._send(envelope, back, self._result('push'))

    def _on_open(self, envelope: wire.Envelope, back: _Return) -> None:
        known = envelope.flow in self._returns_by_stream
        if not known and self.connections >= self.behaviour.connections:
            self._refuse(envelope, back, 'connections')
            return
        self._returns_by_stream[envelope.flow] = back
        self._echo(envelope, back)

    def _on_stream(self, envelope: wire.Envelope, back: _Return) -> None:
        if envelope.flow not in self._returns_by_stream:
            self._refuse(envelope, back, 'unknown-stream')
            return
        self._returns_by_stream[envelope.flow] = back
        self._echo(envelope, back)

    def _on_close(self, envelope: wire.Envelope, back: _Return) -> None:
        self._returns_by_stream.pop(envelope.flow, None)
        self._echo(envelope, back)

    def _on_request(self, envelope: wire.Envelope, back: _Return) -> None:
        key = (envelope.flow, envelope.request)
        job = self._jobs_by_key.get(key)
        if job is not None and job.task is not None:
            # A second copy counts as a second run, as it would at a server
            # that does not compare requests; the checks then find it.
            self._record(envelope)
            return
        if job is None:
            reason = self._reason_to_refuse(envelope)
            if reason:
                self.shed += 1
                self._refuse(envelope, back, reason)
                return
            job = self._jobs_by_key[key] = _Job(envelope, back)
        job.payload_by_part[envelope.part] = envelope.payload
        if len(job.payload_by_part) == envelope.parts:
            self._start(key, job)

    def _reason_to_refuse(self, envelope: wire.Envelope) -> str:
        if envelope.timeout <= datetime.timedelta(0):
            return 'deadline'
        full = self.busy >= self.behaviour.slots
        if full or self._random.random() < self.behaviour.shed_share:
            return 'shed'
        return ''

    def _start(self, key: RequestKey, job: _Job) -> None:
        self._record(job.envelope)
        job.task = asyncio.get_running_loop().create_task(self._run(key, job))

    async def _run(self, key: RequestKey, job: _Job) -> None:
        payload = b''.join(
            part for _, part in sorted(job.payload_by_part.items())
        )
        try:
            order = _ORDER.decode(payload)
        except msgspec.DecodeError:
            order = contract.WorkOrder(token='')
        try:
            async with asyncio.timeout(job.envelope.timeout.total_seconds()):
                await asyncio.sleep(self._run_time(order).total_seconds())
        except TimeoutError:
            self._refuse(
                job.envelope,
                job.back,
                'deadline',
                wire.Outcome.OUTCOME_UNKNOWN,
            )
        else:
            result = self._result(order.token, order.answer_bytes)
            answer = dataclasses.replace(
                job.envelope, kind=wire.EnvelopeKind.ANSWER
            )
            self._send(answer, job.back, result)
        finally:
            self._jobs_by_key.pop(key, None)

    def _run_time(self, order: contract.WorkOrder) -> datetime.timedelta:
        run_time = order.run_ms * datetime.timedelta(milliseconds=1)
        age = self._clock.monotonic() - self._started
        if age < self.behaviour.cold_start:
            run_time *= self.behaviour.cold_factor
        return run_time

    def _on_cancel(self, envelope: wire.Envelope, _: _Return) -> None:
        job = self._jobs_by_key.pop((envelope.flow, envelope.request), None)
        if job is not None:
            self.cancelled += 1
            if job.task is not None:
                job.task.cancel()

    def _record(self, envelope: wire.Envelope) -> None:
        self.runs.append(
            contract.RunRecord(
                service=envelope.service,
                flow=envelope.flow,
                request=envelope.request,
                attempt=envelope.attempt,
                idempotent=envelope.idempotent,
            )
        )

    def _echo(self, envelope: wire.Envelope, back: _Return) -> None:
        try:
            token = _ORDER.decode(envelope.payload).token
        except msgspec.DecodeError:
            token = ''
        self._send(envelope, back, self._result(token))

    def _refuse(
        self,
        envelope: wire.Envelope,
        back: _Return,
        reason: str,
        outcome: wire.Outcome = wire.Outcome.NOT_RUN,
    ) -> None:
        refusal = dataclasses.replace(
            envelope,
            kind=wire.EnvelopeKind.REFUSAL,
            outcome=outcome,
            reason=reason,
        )
        self._send(refusal, back, b'')

    def _result(self, token: str, least_bytes: int = 0) -> bytes:
        result = contract.WorkResult(
            token, self.behaviour.name, self.behaviour.service
        )
        size = len(msgspec.json.encode(result))
        padding = 'x' * max(0, least_bytes - size)
        return msgspec.json.encode(
            msgspec.structs.replace(result, padding=padding)
        )

    def _send(
        self, envelope: wire.Envelope, back: _Return, payload: bytes
    ) -> None:
        parts = contract.split_payload(payload)
        for index, part in enumerate(parts):
            data = wire.encode(
                dataclasses.replace(
                    envelope, part=index, parts=len(parts), payload=part
                )
            )
            self._transport.sendto(back.header + data, back.balancer)


_HANDLERS_BY_KIND = {
    wire.EnvelopeKind.OPEN: UpstreamServer._on_open,
    wire.EnvelopeKind.DATA: UpstreamServer._on_stream,
    wire.EnvelopeKind.KEEPALIVE: UpstreamServer._on_stream,
    wire.EnvelopeKind.CLOSE: UpstreamServer._on_close,
    wire.EnvelopeKind.REQUEST: UpstreamServer._on_request,
    wire.EnvelopeKind.CANCEL: UpstreamServer._on_cancel,
}
