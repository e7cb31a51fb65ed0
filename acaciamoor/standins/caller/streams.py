"""A stream of the caller, with data and keepalives."""

import asyncio
import dataclasses
import datetime

import msgspec

from acaciamoor.standins.caller import counters as service_counters
from acaciamoor.standins.caller import service_socket
import acaciamoor.standins.contract as contract
import acaciamoor.wire as wire

REPLY_TIMEOUT = datetime.timedelta(milliseconds=300)
OPEN_ATTEMPTS = 20
# Longer than the detection of a dead balancer plus a settle time. A stream
# without any reply for this long counts as broken.
SILENCE_LIMIT = datetime.timedelta(seconds=6)
# Refusals for any other reason are retried.
FINAL_REASONS = frozenset(['unknown-stream', 'upstream-lost'])
_ANSWER_DECODER = msgspec.json.Decoder(contract.AnswerPayload)


class Stream:
    """Sends data and keepalives in turn on a stream until it is closed.

    Parameters
    ----------
    socket : ServiceSocket
        Socket for the service.
    counters : ServiceCounters
        Counters that the results are added to.
    flow : int
        Flow identifier of the stream.
    interval : datetime.timedelta
        Time between datagrams.
    """

    def __init__(
        self,
        socket: service_socket.ServiceSocket,
        counters: service_counters.ServiceCounters,
        flow: int,
        interval: datetime.timedelta,
    ) -> None:
        self._socket = socket
        self._counters = counters
        self._flow = flow
        self._interval = interval
        self._replies = socket.subscribe(flow, 0)
        self._upstream = ''
        self._sequence = 0

    async def run(self, closing: asyncio.Event) -> None:
        """Open the stream, exchange datagrams and close it on `closing`."""
        try:
            if await self._open(closing):
                self._counters.streams_opened += 1
                failure_reason = await self._exchange_until_closing(closing)
                if failure_reason:
                    self._counters.streams_broken[failure_reason] += 1
        finally:
            self._socket.unsubscribe(self._flow, 0)

    async def _open(self, closing: asyncio.Event) -> bool:
        for attempt in range(OPEN_ATTEMPTS):
            if closing.is_set():
                return False
            reply = await self._exchange(wire.EnvelopeKind.OPEN, attempt)
            if reply is not None and reply.kind is wire.EnvelopeKind.OPEN:
                self._upstream = _ANSWER_DECODER.decode(reply.payload).upstream
                return True
        self._counters.streams_refused += 1
        return False

    async def _exchange_until_closing(self, closing: asyncio.Event) -> str:
        loop = asyncio.get_running_loop()
        last_reply_at = loop.time()
        kinds = (wire.EnvelopeKind.DATA, wire.EnvelopeKind.KEEPALIVE)
        while not closing.is_set():
            reply = await self._exchange(kinds[self._sequence % 2], 0)
            failure_reason = self._failure_reason(reply)
            if failure_reason:
                return failure_reason
            if reply is None or reply.kind is wire.EnvelopeKind.REFUSAL:
                self._counters.stream_retries += 1
                if loop.time() - last_reply_at > SILENCE_LIMIT.total_seconds():
                    return 'silence'
            else:
                last_reply_at = loop.time()
                self._counters.stream_replies += 1
            await asyncio.sleep(self._interval.total_seconds())
        await self._exchange(wire.EnvelopeKind.CLOSE, 0)
        return ''

    def _failure_reason(self, reply: wire.Envelope | None) -> str:
        if reply is None:
            return ''
        if reply.kind is wire.EnvelopeKind.REFUSAL:
            return reply.reason if reply.reason in FINAL_REASONS else ''
        answer = _ANSWER_DECODER.decode(reply.payload)
        if answer.service != self._counters.service:
            self._counters.wrong_service += 1
        return '' if answer.upstream == self._upstream else 'upstream changed'

    async def _exchange(
        self, kind: wire.EnvelopeKind, attempt: int
    ) -> wire.Envelope | None:
        self._sequence += 1
        token = f'{self._flow:x}-{self._sequence}'
        envelope = wire.Envelope(
            kind,
            self._counters.service,
            self._flow,
            attempt=attempt,
            payload=msgspec.json.encode(contract.RequestPayload(token)),
        )
        self._socket.send(envelope)
        try:
            async with asyncio.timeout(REPLY_TIMEOUT.total_seconds()):
                return await self._receive_reply(kind, token)
        except TimeoutError:
            return None

    async def _receive_reply(
        self, kind: wire.EnvelopeKind, token: str
    ) -> wire.Envelope:
        # Skips pushed datagrams and late replies that arrive before the reply.
        while True:
            reply = await self._replies.get()
            if reply.kind is wire.EnvelopeKind.REFUSAL:
                return reply
            answer = _ANSWER_DECODER.decode(reply.payload)
            if reply.kind is kind and answer.token == token:
                return reply
            # A reply to an earlier OPEN also confirms that the stream is open.
            if reply.kind is kind is wire.EnvelopeKind.OPEN:
                return reply
            if self._upstream and answer.upstream != self._upstream:
                return dataclasses.replace(reply, kind=kind)
