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
_PAYLOAD_DECODER = msgspec.json.Decoder(contract.RequestPayload)
RequestKey = tuple[int, int]


@dataclasses.dataclass(slots=True)
class _ReplyRoute:
    """Return path of a flow through the balancer that it last came from.

    The PROXY header tells the balancer the address of the caller.
    """

    balancer: tuple[str, int]
    proxy_header: bytes


@dataclasses.dataclass(slots=True)
class _PendingRequest:
    """A request whose parts are being received or which is running."""

    envelope: wire.Envelope
    reply_route: _ReplyRoute
    payload_by_part: dict[int, bytes] = dataclasses.field(default_factory=dict)
    task: asyncio.Task | None = None


class UpstreamServer(asyncio.DatagramProtocol):
    """Runs requests within its slots and answers on open streams.

    Parameters
    ----------
    behaviour : Behaviour
        Limits and injected faults.
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
        self._started_at = clock.monotonic()
        self._random = random.Random(behaviour.seed)
        self._reply_routes_by_stream: dict[int, _ReplyRoute] = {}
        self._pending_by_key: dict[RequestKey, _PendingRequest] = {}
        self._transport: asyncio.DatagramTransport | None = None

    @property
    def busy(self) -> int:
        """Number of requests that are running."""
        return sum(
            pending.task is not None
            for pending in self._pending_by_key.values()
        )

    @property
    def connections(self) -> int:
        """Number of open streams."""
        return len(self._reply_routes_by_stream)

    def records(self) -> contract.UpstreamRecords:
        """Return what the upstream received, for comparison with callers."""
        return contract.UpstreamRecords(
            upstream=self.behaviour.name,
            service=self.behaviour.service,
            runs=self.runs,
            wrong_service=self.wrong_service,
            streams=list(self._reply_routes_by_stream),
            shed=self.shed,
            cancelled=self.cancelled,
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport on which answers are sent."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Dispatch one datagram from a balancer by its kind."""
        try:
            _, offset = wire.parse_proxy_header(data)
            envelope = wire.decode(data[offset:])
        except wire.MalformedError:
            self.malformed += 1
            return
        if envelope.service != self.behaviour.service:
            self.wrong_service += 1
            LOG.error(
                'received a datagram for service %d, which is not served here',
                envelope.service,
            )
            return
        reply_route = _ReplyRoute(addr, data[:offset])
        handler = _HANDLERS_BY_KIND.get(envelope.kind)
        if handler is not None:
            handler(self, envelope, reply_route)

    def push_to_streams(self) -> None:
        """Send one datagram to every open stream."""
        for flow, reply_route in self._reply_routes_by_stream.items():
            envelope = wire.Envelope(
                wire.EnvelopeKind.DATA, self.behaviour.service, flow
            )
            self._send_in_parts(
                envelope, reply_route, self._encode_answer('push')
            )

    def _on_open(
        self, envelope: wire.Envelope, reply_route: _ReplyRoute
    ) -> None:
        is_known = envelope.flow in self._reply_routes_by_stream
        if not is_known and self.connections >= self.behaviour.connections:
            self._refuse(envelope, reply_route, 'connections')
            return
        self._reply_routes_by_stream[envelope.flow] = reply_route
        self._echo_token(envelope, reply_route)

    def _on_stream_datagram(
        self, envelope: wire.Envelope, reply_route: _ReplyRoute
    ) -> None:
        if envelope.flow not in self._reply_routes_by_stream:
            self._refuse(envelope, reply_route, 'unknown-stream')
            return
        self._reply_routes_by_stream[envelope.flow] = reply_route
        self._echo_token(envelope, reply_route)

    def _on_close(
        self, envelope: wire.Envelope, reply_route: _ReplyRoute
    ) -> None:
        self._reply_routes_by_stream.pop(envelope.flow, None)
        self._echo_token(envelope, reply_route)

    def _on_request(
        self, envelope: wire.Envelope, reply_route: _ReplyRoute
    ) -> None:
        key = (envelope.flow, envelope.request)
        pending = self._pending_by_key.get(key)
        if pending is not None and pending.task is not None:
            # A duplicate counts as a second execution, as at a server that
            # does not deduplicate requests, so the checks detect it.
            self._record_run(envelope)
            return
        if pending is None:
            reason = self._refusal_reason(envelope)
            if reason:
                self.shed += 1
                self._refuse(envelope, reply_route, reason)
                return
            pending = self._pending_by_key[key] = _PendingRequest(
                envelope, reply_route
            )
        pending.payload_by_part[envelope.part] = envelope.payload
        if len(pending.payload_by_part) == envelope.parts:
            self._start_run(key, pending)

    def _refusal_reason(self, envelope: wire.Envelope) -> str:
        if envelope.timeout <= datetime.timedelta(0):
            return 'deadline'
        is_full = self.busy >= self.behaviour.slots
        if is_full or self._random.random() < self.behaviour.shed_share:
            return 'shed'
        return ''

    def _start_run(self, key: RequestKey, pending: _PendingRequest) -> None:
        self._record_run(pending.envelope)
        pending.task = asyncio.get_running_loop().create_task(
            self._run_request(key, pending)
        )

    async def _run_request(
        self, key: RequestKey, pending: _PendingRequest
    ) -> None:
        encoded_payload = b''.join(
            part for _, part in sorted(pending.payload_by_part.items())
        )
        try:
            payload = _PAYLOAD_DECODER.decode(encoded_payload)
        except msgspec.DecodeError:
            payload = contract.RequestPayload(token='')
        try:
            async with asyncio.timeout(
                pending.envelope.timeout.total_seconds()
            ):
                await asyncio.sleep(self._run_time(payload).total_seconds())
        except TimeoutError:
            self._refuse(
                pending.envelope,
                pending.reply_route,
                'deadline',
                wire.Outcome.OUTCOME_UNKNOWN,
            )
        else:
            encoded_answer = self._encode_answer(
                payload.token, payload.answer_bytes
            )
            answer = dataclasses.replace(
                pending.envelope, kind=wire.EnvelopeKind.ANSWER
            )
            self._send_in_parts(answer, pending.reply_route, encoded_answer)
        finally:
            self._pending_by_key.pop(key, None)

    def _run_time(
        self, payload: contract.RequestPayload
    ) -> datetime.timedelta:
        run_time = payload.run_ms * datetime.timedelta(milliseconds=1)
        uptime = self._clock.monotonic() - self._started_at
        if uptime < self.behaviour.cold_start:
            run_time *= self.behaviour.cold_factor
        return run_time

    def _on_cancel(self, envelope: wire.Envelope, _: _ReplyRoute) -> None:
        pending = self._pending_by_key.pop(
            (envelope.flow, envelope.request), None
        )
        if pending is not None:
            self.cancelled += 1
            if pending.task is not None:
                pending.task.cancel()

    def _record_run(self, envelope: wire.Envelope) -> None:
        self.runs.append(
            contract.RunRecord(
                service=envelope.service,
                flow=envelope.flow,
                request=envelope.request,
                attempt=envelope.attempt,
                idempotent=envelope.idempotent,
            )
        )

    def _echo_token(
        self, envelope: wire.Envelope, reply_route: _ReplyRoute
    ) -> None:
        try:
            token = _PAYLOAD_DECODER.decode(envelope.payload).token
        except msgspec.DecodeError:
            token = ''
        self._send_in_parts(envelope, reply_route, self._encode_answer(token))

    def _refuse(
        self,
        envelope: wire.Envelope,
        reply_route: _ReplyRoute,
        reason: str,
        outcome: wire.Outcome = wire.Outcome.NOT_RUN,
    ) -> None:
        refusal = dataclasses.replace(
            envelope,
            kind=wire.EnvelopeKind.REFUSAL,
            outcome=outcome,
            reason=reason,
        )
        self._send_in_parts(refusal, reply_route, b'')

    def _encode_answer(self, token: str, min_bytes: int = 0) -> bytes:
        answer = contract.AnswerPayload(
            token, self.behaviour.name, self.behaviour.service
        )
        size = len(msgspec.json.encode(answer))
        padding = 'x' * max(0, min_bytes - size)
        return msgspec.json.encode(
            msgspec.structs.replace(answer, padding=padding)
        )

    def _send_in_parts(
        self, envelope: wire.Envelope, reply_route: _ReplyRoute, payload: bytes
    ) -> None:
        parts = contract.split_payload(payload)
        for index, part in enumerate(parts):
            data = wire.encode(
                dataclasses.replace(
                    envelope, part=index, parts=len(parts), payload=part
                )
            )
            self._transport.sendto(
                reply_route.proxy_header + data, reply_route.balancer
            )


_HANDLERS_BY_KIND = {
    wire.EnvelopeKind.OPEN: UpstreamServer._on_open,
    wire.EnvelopeKind.DATA: UpstreamServer._on_stream_datagram,
    wire.EnvelopeKind.KEEPALIVE: UpstreamServer._on_stream_datagram,
    wire.EnvelopeKind.CLOSE: UpstreamServer._on_close,
    wire.EnvelopeKind.REQUEST: UpstreamServer._on_request,
    wire.EnvelopeKind.CANCEL: UpstreamServer._on_cancel,
}
