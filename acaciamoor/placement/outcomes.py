"""Handling of answers, sheds, cancellations and deadlines."""

import datetime
import random

from acaciamoor import clock as clocks
from acaciamoor.placement import active_request
from acaciamoor.placement import dispatch
from acaciamoor.placement import ejection
from acaciamoor.placement import messages
from acaciamoor.placement import retry
from acaciamoor.requests import request_part as request_parts
from acaciamoor.wire import envelope as wire

Effects = list[messages.Effect]

# A retry is delayed by a random time in this range, so that requests that
# were shed together are not retried together.
_MIN_RETRY_DELAY = datetime.timedelta(milliseconds=1)
_MAX_RETRY_DELAY = datetime.timedelta(milliseconds=10)
_Reason = request_parts.Reason


class OutcomeHandler:
    """Ends or retries requests as events concerning them arrive.

    Parameters
    ----------
    clock : clocks.Clock
        Source of monotonic time.
    rng : random.Random
        Source of the jitter of retries.
    dispatcher : dispatch.Dispatcher
        Queue, slots and active requests.
    budget : retry.RetryBudget
        Limit on retries.
    ejection_controller : ejection.EjectionController
        Informed of answers and timeouts.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        dispatcher: dispatch.Dispatcher,
        budget: retry.RetryBudget,
        ejection_controller: ejection.EjectionController,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._dispatcher = dispatcher
        self._budget = budget
        self._ejection_controller = ejection_controller

    def on_answer(self, answer: messages.Answer) -> Effects:
        """Pass on one part of an answer; the last one ends the request."""
        request = self._find_bound(answer)
        if request is None or answer.part in request.answer_by_part:
            return []
        request.answer_by_part[answer.part] = answer.payload
        effects: Effects = [
            messages.Reply(
                request.first_part,
                wire.Outcome.COMPLETE,
                payload=answer.payload,
            )
        ]
        if len(request.answer_by_part) == answer.parts:
            effects += self._complete(request)
        return effects

    def on_shed(self, shed: messages.Shed) -> Effects:
        """Retry a request that its upstream shed, or refuse it."""
        request = self._find_bound(shed)
        if request is None or request.answer_by_part:
            return []
        self._dispatcher.unbind_shed_request(request)
        if not self._dispatcher.has_alternative(request):
            return [self._dispatcher.refuse(request, _Reason.SHED)]
        if not self._budget.try_withdraw():
            return [self._dispatcher.refuse(request, _Reason.RETRY_BUDGET)]
        now = self._clock.monotonic()
        spread = _MAX_RETRY_DELAY - _MIN_RETRY_DELAY
        request.not_before = (
            now + _MIN_RETRY_DELAY + self._rng.random() * spread
        )
        self._dispatcher.queue.push(request, now)
        return []

    def cancel(self, key: request_parts.RequestKey) -> Effects:
        """End a request that its caller cancelled, without a reply."""
        request = self._dispatcher.requests.requests_by_key.get(key)
        if request is None:
            return []
        if request.waiting:
            self._dispatcher.queue.discard(request)
            self._dispatcher.requests.refuse(request, _Reason.CANCELLED)
            return []
        self._dispatcher.requests.end_as_unknown(request, _Reason.CANCELLED)
        self._dispatcher.release_slot_after_grace(request)
        return [messages.CancelUpstream(request.first_part, request.upstream)]

    def on_deadlines(self) -> Effects:
        """End the requests whose deadline has passed, queued or bound."""
        effects: Effects = []
        if self._dispatcher.lease.datagrams_may_be_stale:
            # After a pause, the socket may still buffer answers that arrived
            # before the deadline.
            return effects
        for request in self._dispatcher.requests.pop_overdue(
            self._clock.monotonic()
        ):
            if request.waiting:
                self._dispatcher.queue.discard(request)
                effects.append(
                    self._dispatcher.refuse(request, _Reason.DEADLINE)
                )
            else:
                effects += self._time_out(request)
        return effects

    def _find_bound(
        self, message: messages.Answer | messages.Shed
    ) -> active_request.ActiveRequest | None:
        key = request_parts.RequestKey(message.flow, message.request)
        if self._dispatcher.ledger.is_bound_to(
            key, message.upstream_id, message.attempt
        ):
            return self._dispatcher.requests.requests_by_key.get(key)
        # The attempt is not bound any more, but it may still hold a slot. An
        # upstream that answers or sheds it has finished with it.
        attempt_id = (message.flow, message.request, message.attempt)
        self._dispatcher.pool.release_slot(message.upstream_id, attempt_id)
        return None

    def _complete(self, request: active_request.ActiveRequest) -> Effects:
        now = self._clock.monotonic()
        elapsed = now - request.bound_at
        self._dispatcher.last_answered_at = now
        self._dispatcher.release_slot(request)
        self._dispatcher.pool.reset_backoff(request.upstream.upstream_id)
        self._dispatcher.service_times.add_answered(
            request.lane, elapsed.total_seconds()
        )
        self._dispatcher.requests.complete(request)
        return self._ejection_controller.on_answer(request, elapsed)

    def _time_out(self, request: active_request.ActiveRequest) -> Effects:
        elapsed = self._clock.monotonic() - request.bound_at
        self._dispatcher.service_times.add_timed_out(
            request.lane, elapsed.total_seconds()
        )
        reply = self._dispatcher.requests.end_as_unknown(
            request, _Reason.TIMEOUT
        )
        self._dispatcher.release_slot_after_grace(request)
        return [
            reply,
            messages.CancelUpstream(request.first_part, request.upstream),
            *self._ejection_controller.on_timeout(request),
        ]
