"""A request of the caller, with retransmissions."""

import asyncio
import dataclasses
import datetime

import msgspec

from acaciamoor.standins.caller import counters as service_counters
from acaciamoor.standins.caller import service_socket
import acaciamoor.standins.contract as contract
import acaciamoor.wire as wire

RETRANSMIT_INTERVAL = datetime.timedelta(milliseconds=400)
_ANSWER_DECODER = msgspec.json.Decoder(contract.AnswerPayload)


@dataclasses.dataclass(frozen=True, slots=True)
class RequestParameters:
    """Content and timeout of a request.

    Parameters
    ----------
    flow, request : int
        Identifiers of the flow and of the request within it.
    idempotent : bool
        Whether the request may run more than once.
    size_class : SizeClass
        Size class declared to the balancer.
    payload : RequestPayload
        Instructions for the upstream.
    timeout : datetime.timedelta
        Time after which the caller gives up.
    """

    flow: int
    request: int
    idempotent: bool
    size_class: wire.SizeClass
    payload: contract.RequestPayload
    timeout: datetime.timedelta


class Request:
    """Retransmits a request until it is answered, refused or timed out.

    Parameters
    ----------
    socket : ServiceSocket
        Socket for the service.
    counters : ServiceCounters
        Counters that the result is added to.
    parameters : RequestParameters
        Content and timeout of the request.
    """

    def __init__(
        self,
        socket: service_socket.ServiceSocket,
        counters: service_counters.ServiceCounters,
        parameters: RequestParameters,
    ) -> None:
        self._socket = socket
        self._counters = counters
        self._parameters = parameters
        self._started_at = 0.0
        self._payload_by_part: dict[int, bytes] = {}

    async def run(self) -> None:
        """Send the request and record its outcome."""
        parameters = self._parameters
        replies = self._socket.subscribe(parameters.flow, parameters.request)
        self._started_at = asyncio.get_running_loop().time()
        self._counters.requests += 1
        sender = asyncio.create_task(self._retransmit_until_cancelled())
        try:
            async with asyncio.timeout(parameters.timeout.total_seconds()):
                while not self._process_reply(await replies.get()):
                    pass
        except TimeoutError:
            self._counters.unanswered += 1
        finally:
            sender.cancel()
            self._socket.unsubscribe(parameters.flow, parameters.request)

    async def _retransmit_until_cancelled(self) -> None:
        attempt = 0
        while True:
            self._send_attempt(attempt)
            attempt += 1
            await asyncio.sleep(RETRANSMIT_INTERVAL.total_seconds())
            self._counters.retransmissions += 1

    def _send_attempt(self, attempt: int) -> None:
        parameters = self._parameters
        age = datetime.timedelta(seconds=self._elapsed_s())
        parts = contract.split_payload(msgspec.json.encode(parameters.payload))
        for index, part in enumerate(parts):
            self._socket.send(
                wire.Envelope(
                    wire.EnvelopeKind.REQUEST,
                    self._counters.service,
                    parameters.flow,
                    parameters.request,
                    attempt=attempt,
                    idempotent=parameters.idempotent,
                    age=age,
                    timeout=max(
                        parameters.timeout - age, datetime.timedelta(0)
                    ),
                    size_class=parameters.size_class,
                    part=index,
                    parts=len(parts),
                    payload=part,
                )
            )

    def _elapsed_s(self) -> float:
        return asyncio.get_running_loop().time() - self._started_at

    def _process_reply(self, reply: wire.Envelope) -> bool:
        key = (self._parameters.flow, self._parameters.request)
        if reply.kind is wire.EnvelopeKind.REFUSAL:
            self._counters.outcomes_by_key[key] = reply.outcome
            counts = (
                self._counters.not_run_by_reason
                if reply.outcome is wire.Outcome.NOT_RUN
                else self._counters.unknown_by_reason
            )
            counts[reply.reason] += 1
            return True
        self._payload_by_part[reply.part] = reply.payload
        if len(self._payload_by_part) < reply.parts:
            return False
        self._check_answer()
        self._counters.outcomes_by_key[key] = reply.outcome
        self._counters.complete += 1
        self._counters.latencies_ms.append(self._elapsed_s() * 1000.0)
        return True

    def _check_answer(self) -> None:
        payload = b''.join(
            part for _, part in sorted(self._payload_by_part.items())
        )
        try:
            answer = _ANSWER_DECODER.decode(payload)
        except msgspec.DecodeError:
            self._counters.crossed_answers += 1
            return
        if answer.token != self._parameters.payload.token:
            self._counters.crossed_answers += 1
        if answer.service != self._counters.service:
            self._counters.wrong_service += 1
