"""Handling of request datagrams, up to the queue."""

from acaciamoor import clock as clocks
from acaciamoor.placement import dispatch
from acaciamoor.placement import messages
from acaciamoor.placement import retry
from acaciamoor.requests import ledger as ledgers
from acaciamoor.requests import verdict as verdicts
from acaciamoor.requests import work as works
from acaciamoor.wire import envelope as wire

Effects = list[messages.Effect]

_Origin = works.Origin
_Reason = works.Reason
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

    def submit(self, work: works.Work, origin: works.Origin) -> Effects:
        """Handle a datagram, whichever part or attempt it is."""
        if (
            self._dispatcher.lease.datagrams_may_be_stale
            and origin is _Origin.CALLER
        ):
            origin = _Origin.STALE
        admission = self._ledger.admit(work, origin)
        if admission.verdict is _Verdict.RUN:
            self._budget.deposit()
            request = self._dispatcher.requests.add(work, admission, origin)
            return self._dispatcher.enqueue(request)
        if admission.verdict is _Verdict.IN_PROGRESS:
            return self.add_part(work)
        if admission.verdict is _Verdict.ASK_PEER:
            return [messages.AskPeer(work)]
        # Part 0 alone triggers a reply, so that each attempt gets one.
        return _replies(work, admission) if work.part == 0 else []

    def add_part(self, work: works.Work) -> Effects:
        """Store a part of an active request; forward it if that is bound."""
        request = self._dispatcher.requests.requests_by_key.get(work.key)
        if request is None:
            return []
        request.update_caller(work)
        if work.part in request.parts_by_index:
            return []
        request.parts_by_index[work.part] = work.payload
        if request.upstream is None:
            return []
        return [
            messages.SendPart(request.work, request.upstream, work.payload)
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


def _replies(work: works.Work, admission: verdicts.Admission) -> Effects:
    if admission.verdict is _Verdict.REPEAT_ANSWER:
        return [
            messages.Reply(work, wire.Outcome.COMPLETE, payload=payload)
            for payload in admission.answer
        ]
    outcome = wire.Outcome.OUTCOME_UNKNOWN
    if admission.verdict is _Verdict.NOT_RUN:
        outcome = wire.Outcome.NOT_RUN
    return [messages.Reply(work, outcome, admission.reason)]
