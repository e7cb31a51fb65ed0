"""What becomes of bound requests."""

import datetime
import random

from acaciamoor import clock as clocks
from acaciamoor.placement import dispatch
from acaciamoor.placement import messages
from acaciamoor.placement import pending as pendings
from acaciamoor.placement import retry
from acaciamoor.placement import supervision
from acaciamoor.requests import work as works
from acaciamoor.wire import envelope as wire

Effects = list[messages.Effect]

# A retry waits for a random time in this range, so that requests that were
# shed together do not return together.
_SHORTEST_JITTER = datetime.timedelta(milliseconds=1)
_LONGEST_JITTER = datetime.timedelta(milliseconds=10)
_Reason = works.Reason


class Outcomes:
    """Ends requests by an answer, a refusal, a deadline or a cancellation.

    Parameters
    ----------
    clock : clocks.Clock
        Source of monotonic time.
    rng : random.Random
        Source of jitter.
    core : dispatch.Dispatcher
        Queue, slots and requests in progress.
    budget : retry.RetryBudget
        Limit on retries.
    supervisor : supervision.Supervisor
        Learns from answers and time-outs.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        core: dispatch.Dispatcher,
        budget: retry.RetryBudget,
        supervisor: supervision.Supervisor,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._core = core
        self._budget = budget
        self._supervisor = supervisor

    def on_answer(self, answer: messages.Answer) -> Effects:
        """Take one part of an answer."""
        item = self._current(answer)
        if item is None or answer.part in item.answer_by_part:
            return []
        item.answer_by_part[answer.part] = answer.payload
        effects: Effects = [
            messages.Reply(
                item.work, wire.Outcome.COMPLETE, payload=answer.payload
            )
        ]
        if len(item.answer_by_part) == answer.parts:
            effects += self._complete(item)
        return effects

    def on_shed(self, shed: messages.Shed) -> Effects:
        """Take an upstream's refusal before running a request."""
        item = self._current(shed)
        if item is None or item.answer_by_part:
            return []
        self._core.take_back(item)
        if not self._core.has_alternative(item):
            return [self._core.book.refuse(item, _Reason.SHED)]
        if not self._budget.spend():
            return [self._core.book.refuse(item, _Reason.RETRY_BUDGET)]
        now = self._clock.monotonic()
        spread = _LONGEST_JITTER - _SHORTEST_JITTER
        item.not_before = now + _SHORTEST_JITTER + self._rng.random() * spread
        self._core.queue.push(item, now)
        return []

    def cancel(self, key: works.RequestKey) -> Effects:
        """Drop a request whose caller has gone."""
        item = self._core.book.pending_by_key.get(key)
        if item is None:
            return []
        if item.waiting:
            self._core.queue.discard(item)
            self._core.book.refuse(item, _Reason.CANCELLED)
            return []
        self._core.book.lose(item, _Reason.CANCELLED)
        self._core.abandon_slot(item)
        return [messages.CancelUpstream(item.work, item.upstream)]

    def on_deadlines(self) -> Effects:
        """End the requests whose deadline has passed."""
        effects: Effects = []
        if self._core.tenure.is_stale:
            # After a pause, answers that are in time may wait in the socket.
            return effects
        for item in self._core.book.due(self._clock.monotonic()):
            if item.waiting:
                self._core.queue.discard(item)
                effects.append(self._core.book.refuse(item, _Reason.DEADLINE))
            else:
                effects += self._time_out(item)
        return effects

    def _current(
        self, message: messages.Answer | messages.Shed
    ) -> pendings.Pending | None:
        key = works.RequestKey(message.flow, message.request)
        if self._core.ledger.is_current(
            key, message.upstream_id, message.attempt
        ):
            return self._core.book.pending_by_key.get(key)
        # An upstream that answers a cancelled request has freed its slot.
        token = (message.flow, message.request, message.attempt)
        self._core.pool.release(message.upstream_id, token)
        return None

    def _complete(self, item: pendings.Pending) -> Effects:
        elapsed = self._clock.monotonic() - item.bound_at
        self._core.leave_slot(item)
        self._core.pool.answered(item.upstream.upstream_id)
        self._core.times.answered(item.lane, elapsed.total_seconds())
        self._core.book.complete(item)
        return self._supervisor.on_answer(item, elapsed)

    def _time_out(self, item: pendings.Pending) -> Effects:
        elapsed = self._clock.monotonic() - item.bound_at
        self._core.times.timed_out(item.lane, elapsed.total_seconds())
        lost = self._core.book.lose(item, _Reason.TIMEOUT)
        self._core.abandon_slot(item)
        return [
            lost,
            messages.CancelUpstream(item.work, item.upstream),
            *self._supervisor.on_timeout(item),
        ]
