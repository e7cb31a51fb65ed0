"""The way of a datagram into the queue."""

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


class Intake:
    """Admits datagrams of requests.

    Parameters
    ----------
    clock : clocks.Clock
        Source of monotonic time.
    core : dispatch.Dispatcher
        Queue, slots and requests in progress.
    ledger : ledgers.RequestLedger
        Records of all requests.
    budget : retry.RetryBudget
        Earns a part of a retry for each request.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        core: dispatch.Dispatcher,
        ledger: ledgers.RequestLedger,
        budget: retry.RetryBudget,
    ) -> None:
        self._clock = clock
        self._core = core
        self._ledger = ledger
        self._budget = budget

    def submit(self, work: works.Work, origin: works.Origin) -> Effects:
        """Take a datagram, whichever part or attempt it is."""
        if self._core.tenure.is_stale and origin is _Origin.CALLER:
            origin = _Origin.STALE
        admission = self._ledger.admit(work, origin)
        if admission.verdict is _Verdict.RUN:
            self._budget.earn()
            item = self._core.book.open(work, admission, origin)
            return self._core.enqueue(item)
        if admission.verdict is _Verdict.IN_PROGRESS:
            return self.add_part(work)
        if admission.verdict is _Verdict.ASK_PEER:
            return [messages.AskPeer(work)]
        # One reply for each attempt, however many parts it has.
        return _replies(work, admission) if work.part == 0 else []

    def add_part(self, work: works.Work) -> Effects:
        """Take a part of a request in progress."""
        item = self._core.book.pending_by_key.get(work.key)
        if item is None:
            return []
        item.update_caller(work)
        if work.part in item.parts_by_index:
            return []
        item.parts_by_index[work.part] = work.payload
        if item.upstream is None:
            return []
        return [messages.SendPart(item.work, item.upstream, work.payload)]

    def on_pause(self) -> Effects:
        """End all waiting requests, since another host may have run them."""
        self._ledger.set_coverage(self._clock.monotonic())
        waiting = self._core.queue.items()
        for item in waiting:
            self._core.queue.discard(item)
        return [
            self._core.book.lose(item, _Reason.PLACER_PAUSED)
            for item in waiting
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
