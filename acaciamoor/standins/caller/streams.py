"""One open stream with keepalives."""

import asyncio
import dataclasses
import datetime

import msgspec

from acaciamoor.standins.caller import link as links
from acaciamoor.standins.caller import tally as tallies
import acaciamoor.standins.contract as contract
import acaciamoor.wire as wire

REPLY_TIMEOUT = datetime.timedelta(milliseconds=300)
OPEN_ATTEMPTS = 20
# Longer than the detection of a dead balancer and a settle time; a stream
# without any reply for this long is broken for its user.
SILENCE_LIMIT = datetime.timedelta(seconds=6)
# A refusal for another reason asks the caller to try again.
FINAL_REASONS = frozenset(['unknown-stream', 'upstream-lost'])
_RESULT = msgspec.json.Decoder(contract.WorkResult)


class Stream:
    """A stream that sends data and keepalives until it is told to close.

    Parameters
    ----------
    link : Link
        Socket to the service.
    tally : ServiceTally
        Counts what the stream sees.
    flow : int
        Identifier of the flow.
    interval : datetime.timedelta
        Time between datagrams.
    """

    def __init__(
        self,
        link: links.Link,
        tally: tallies.ServiceTally,
        flow: int,
        interval: datetime.timedelta,
    ) -> None:
        self._link = link
        self._tally = tally
        self._flow = flow
        self._interval = interval
        self._replies = link.expect(flow, 0)
        self._upstream = ''
        self._sequence = 0

    async def run(self, closing: asyncio.Event) -> None:
        """Open the stream, use it, and close it when `closing` is set."""
        try:
            if await self._open(closing):
                self._tally.streams_opened += 1
                broken = await self._use(closing)
                if broken:
                    self._tally.streams_broken[broken] += 1
        finally:
            self._link.forget(self._flow, 0)

    async def _open(self, closing: asyncio.Event) -> bool:
        for attempt in range(OPEN_ATTEMPTS):
            if closing.is_set():
                return False
            reply = await self._exchange(wire.EnvelopeKind.OPEN, attempt)
            if reply is not None and reply.kind is wire.EnvelopeKind.OPEN:
                self._upstream = _RESULT.decode(reply.payload).upstream
                return True
        self._tally.streams_refused += 1
        return False

    async def _use(self, closing: asyncio.Event) -> str:
        loop = asyncio.get_running_loop()
        heard = loop.time()
        kinds = (wire.EnvelopeKind.DATA, wire.EnvelopeKind.KEEPALIVE)
        while not closing.is_set():
            reply = await self._exchange(kinds[self._sequence % 2], 0)
            problem = self._judge(reply)
            if problem:
                return problem
            if reply is None or reply.kind is wire.EnvelopeKind.REFUSAL:
                self._tally.stream_retries += 1
                if loop.time() - heard > SILENCE_LIMIT.total_seconds():
                    return 'silence'
            else:
                heard = loop.time()
                self._tally.stream_replies += 1
            await asyncio.sleep(self._interval.total_seconds())
        await self._exchange(wire.EnvelopeKind.CLOSE, 0)
        return ''

    def _judge(self, reply: wire.Envelope | None) -> str:
        if reply is None:
            return ''
        if reply.kind is wire.EnvelopeKind.REFUSAL:
            return reply.reason if reply.reason in FINAL_REASONS else ''
        result = _RESULT.decode(reply.payload)
        if result.service != self._tally.service:
            self._tally.wrong_service += 1
        return '' if result.upstream == self._upstream else 'upstream changed'

    async def _exchange(
        self, kind: wire.EnvelopeKind, attempt: int
    ) -> wire.Envelope | None:
        self._sequence += 1
        token = f'{self._flow:x}-{self._sequence}'
        envelope = wire.Envelope(
            kind,
            self._tally.service,
            self._flow,
            attempt=attempt,
            payload=msgspec.json.encode(contract.WorkOrder(token)),
        )
        self._link.send(envelope)
        try:
            async with asyncio.timeout(REPLY_TIMEOUT.total_seconds()):
                return await self._matching(kind, token)
        except TimeoutError:
            return None

    async def _matching(
        self, kind: wire.EnvelopeKind, token: str
    ) -> wire.Envelope:
        # Pushes and late replies are read on the way to the awaited reply.
        while True:
            reply = await self._replies.get()
            if reply.kind is wire.EnvelopeKind.REFUSAL:
                return reply
            result = _RESULT.decode(reply.payload)
            if reply.kind is kind and result.token == token:
                return reply
            # An answer to an earlier OPEN shows as well that it is open.
            if reply.kind is kind is wire.EnvelopeKind.OPEN:
                return reply
            if self._upstream and result.upstream != self._upstream:
                return dataclasses.replace(reply, kind=kind)
