"""One request with retransmissions."""

import asyncio
import dataclasses
import datetime

import msgspec

from acaciamoor.standins.caller import link as links
from acaciamoor.standins.caller import tally as tallies
import acaciamoor.standins.contract as contract
import acaciamoor.wire as wire

RETRANSMIT_INTERVAL = datetime.timedelta(milliseconds=400)
_RESULT = msgspec.json.Decoder(contract.WorkResult)


@dataclasses.dataclass(frozen=True, slots=True)
class RequestPlan:
    """What a request asks for.

    Parameters
    ----------
    flow, request : int
        Identifiers.
    idempotent : bool
        Whether running it twice is harmless.
    size_class : SizeClass
        Announced length.
    order : WorkOrder
        Work for the upstream.
    timeout : datetime.timedelta
        Time until the caller gives up.
    """

    flow: int
    request: int
    idempotent: bool
    size_class: wire.SizeClass
    order: contract.WorkOrder
    timeout: datetime.timedelta


class Request:
    """Sends a request until it is answered, refused or timed out.

    Parameters
    ----------
    link : Link
        Socket to the service.
    tally : ServiceTally
        Counts what the request sees.
    plan : RequestPlan
        What is asked for.
    """

    def __init__(
        self,
        link: links.Link,
        tally: tallies.ServiceTally,
        plan: RequestPlan,
    ) -> None:
        self._link = link
        self._tally = tally
        self._plan = plan
        self._started = 0.0
        self._payload_by_part: dict[int, bytes] = {}

    async def run(self) -> None:
        """Send the request and count its outcome."""
        plan = self._plan
        replies = self._link.expect(plan.flow, plan.request)
        self._started = asyncio.get_running_loop().time()
        self._tally.requests += 1
        sender = asyncio.create_task(self._transmit())
        try:
            async with asyncio.timeout(plan.timeout.total_seconds()):
                while not self._is_settled_by(await replies.get()):
                    pass
        except TimeoutError:
            self._tally.unanswered += 1
        finally:
            sender.cancel()
            self._link.forget(plan.flow, plan.request)

    async def _transmit(self) -> None:
        attempt = 0
        while True:
            self._send(attempt)
            attempt += 1
            await asyncio.sleep(RETRANSMIT_INTERVAL.total_seconds())
            self._tally.retransmissions += 1

    def _send(self, attempt: int) -> None:
        plan = self._plan
        age = datetime.timedelta(seconds=self._elapsed())
        parts = contract.split_payload(msgspec.json.encode(plan.order))
        for index, part in enumerate(parts):
            self._link.send(
                wire.Envelope(
                    wire.EnvelopeKind.REQUEST,
                    self._tally.service,
                    plan.flow,
                    plan.request,
                    attempt=attempt,
                    idempotent=plan.idempotent,
                    age=age,
                    timeout=max(plan.timeout - age, datetime.timedelta(0)),
                    size_class=plan.size_class,
                    part=index,
                    parts=len(parts),
                    payload=part,
                )
            )

    def _elapsed(self) -> float:
        return asyncio.get_running_loop().time() - self._started

    def _is_settled_by(self, reply: wire.Envelope) -> bool:
        key = (self._plan.flow, self._plan.request)
        if reply.kind is wire.EnvelopeKind.REFUSAL:
            self._tally.outcomes_by_key[key] = reply.outcome
            counts = (
                self._tally.refused_by_reason
                if reply.outcome is wire.Outcome.NOT_RUN
                else self._tally.unknown_by_reason
            )
            counts[reply.reason] += 1
            return True
        self._payload_by_part[reply.part] = reply.payload
        if len(self._payload_by_part) < reply.parts:
            return False
        self._check_answer()
        self._tally.outcomes_by_key[key] = reply.outcome
        self._tally.complete += 1
        self._tally.latencies_ms.append(self._elapsed() * 1000.0)
        return True

    def _check_answer(self) -> None:
        payload = b''.join(
            part for _, part in sorted(self._payload_by_part.items())
        )
        try:
            result = _RESULT.decode(payload)
        except msgspec.DecodeError:
            self._tally.crossed += 1
            return
        if result.token != self._plan.order.token:
            self._tally.crossed += 1
        if result.service != self._tally.service:
            self._tally.wrong_service += 1
