"""Handling of request datagrams, up to the queue."""

from acaciamoor import clock as clocks
from acaciamoor.placement import dispatch
from acaciamoor.placement import messages
from acaciamoor.placement import retry
from acaciamoor.requests import ledger as ledgers
from acaciamoor.requests import request_part as request_parts
from acaciamoor.requests import verdict as verdicts
from acaciamoor.wire import envelope as wire

Effects = list[messages.Effect]

_Origin = request_parts.Origin
_Reason = request_parts.Reason
_Verdict = verdicts.Verdict


class RequestHandler:
    """Starts, extends or answers requests as their datagrams arrive.

    Parameters
    ----------
    clock : clocks.Clock
        Source of monotonic time.
    dispatcher : dispatch.Dispatcher
        Queue, slots and active requests.
    ledger : ledgers.RequestLedger
        Records of all requests.
    budget : retry.RetryBudget
        Credited with a fraction of a retry for each new request.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        dispatcher: dispatch.Dispatcher,
        ledger: ledgers.RequestLedger,
        budget: retry.RetryBudget,
    ) -> None:
        self._clock = clock
        self._dispatcher = dispatcher
        self._ledger = ledger
        self._budget = budget

    def submit(
        self,
        request_part: request_parts.RequestPart,
        origin: request_parts.Origin,
    ) -> Effects:
        """Handle a datagram, whichever part or attempt it is."""
        if (
            self._dispatcher.lease.datagrams_may_be_stale
            and origin is _Origin.CALLER
        ):
            origin = _Origin.STALE
        admission = self._ledger.admit(request_part, origin)
        if admission.verdict is _Verdict.RUN:
            self._budget.deposit()
            request = self._dispatcher.requests.add(
                request_part, admission, origin
            )
            return self._dispatcher.enqueue(request)
        if admission.verdict is _Verdict.IN_PROGRESS:
            return self.add_part(request_part)
        if admission.verdict is _Verdict.ASK_PEER:
            return [messages.AskPeer(request_part)]
        # Part 0 alone triggers a reply, so that each attempt gets one.
        return (
            _replies(request_part, admission) if request_part.part == 0 else []
        )

    def add_part(self, request_part: request_parts.RequestPart) -> Effects:
        """Store a part of an active request; forward it if that is bound."""
        request = self._dispatcher.requests.requests_by_key.get(
            request_part.key
        )
        if request is None:
            return []
        request.update_caller(request_part)
        if request_part.part in request.parts_by_index:
            return []
        request.parts_by_index[request_part.part] = request_part.payload
        if request.upstream is None:
            return []
        return [
            messages.SendPart(
                request.first_part, request.upstream, request_part.payload
            )
        ]

    def on_pause(self) -> Effects:
        """End all queued requests, since another host may have run them."""
        self._ledger.set_coverage(self._clock.monotonic())
        waiting = self._dispatcher.queue.waiting_requests()
        for request in waiting:
            self._dispatcher.queue.discard(request)
        return [
            self._dispatcher.requests.end_as_unknown(
                request, _Reason.PLACER_PAUSED
            )
            for request in waiting
        ]


def _replies(
    request_part: request_parts.RequestPart, admission: verdicts.Admission
) -> Effects:
    if admission.verdict is _Verdict.REPEAT_ANSWER:
        return [
            messages.Reply(
                request_part, wire.Outcome.COMPLETE, payload=payload
            )
            for payload in admission.answer
        ]
    outcome = wire.Outcome.OUTCOME_UNKNOWN
    if admission.verdict is _Verdict.NOT_RUN:
        outcome = wire.Outcome.NOT_RUN
    return [messages.Reply(request_part, outcome, admission.reason)]
