"""Queueing of requests, binding to upstreams and release of slots."""

import datetime
import heapq
import random

from acaciamoor import clock as clocks
from acaciamoor import model
from acaciamoor.placement import active_request
from acaciamoor.placement import admission as admissions
from acaciamoor.placement import affinity
from acaciamoor.placement import estimates
from acaciamoor.placement import lease as leases
from acaciamoor.placement import messages
from acaciamoor.placement import pool as pools
from acaciamoor.placement import queue as queues
from acaciamoor.placement import request_table
from acaciamoor.placement import returns
from acaciamoor.requests import ledger as ledgers
from acaciamoor.requests import request_part as request_parts

# An upstream stops a request at its deadline or on cancellation. The slot
# counts as free only after this time, to cover the delay of the cancellation.
CANCEL_GRACE_PERIOD = datetime.timedelta(milliseconds=100)

Effects = list[messages.Effect]


class Dispatcher:
    """Moves requests from the queue to upstream slots and frees the slots.

    Parameters
    ----------
    clock : clocks.Clock
        Source of monotonic time.
    policy : model.Policy
        Limits of the service.
    ledger : ledgers.RequestLedger
        Records of all requests.
    rng : random.Random
        Source of the jitter of returns.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        policy: model.Policy,
        ledger: ledgers.RequestLedger,
        rng: random.Random,
    ) -> None:
        self.policy = policy
        self.ledger = ledger
        self.lease = leases.PlacerLease(clock)
        self.queue = queues.RequestQueue()
        self.pool = pools.UpstreamPool(policy.slow_start)
        self.service_times = estimates.ServiceTimes()
        self.affinity = affinity.FlowAffinity()
        self.requests = request_table.RequestTable(clock, ledger, self.lease)
        self.returns = returns.ReturnSchedule(rng)
        self.last_answered_at: datetime.timedelta | None = None
        self.bound = 0
        self._clock = clock
        self._long_requests = estimates.LongRequestCounter()
        self._admission = admissions.AdmissionControl(
            self.queue,
            self.pool,
            self.service_times,
            self._long_requests,
            self.lease,
        )
        self._delayed_releases: list[
            tuple[datetime.timedelta, model.UpstreamId, pools.AttemptId]
        ] = []

    def enqueue(self, request: active_request.ActiveRequest) -> Effects:
        """Queue a new request, or refuse it if it cannot run in time."""
        now = self._clock.monotonic()
        pinned_id = self.affinity.lookup(request.first_part.flow, now)
        if pinned_id is not None and self.pool.takes_new_work(pinned_id):
            request.pinned_id = pinned_id
        returning = self.returns.take(request.first_part.flow, now)
        promised = 0 if returning else self.returns.count_due(now)
        reason = self._admission.refusal_reason(
            request, self.policy, now, promised, returning
        )
        effects: Effects = []
        if returning:
            effects.append(messages.CallerReturned(request.first_part))
        if reason is not None:
            return [*effects, self.refuse(request, reason)]
        self.queue.push(request, now)
        return effects + self.bind_ready()

    def refuse(
        self,
        request: active_request.ActiveRequest,
        reason: request_parts.Reason,
    ) -> messages.Reply:
        """End a request that has not run; tell its caller when to return."""
        if not self.requests.is_proved_not_run(request):
            # Its caller must not send another one before it knows more.
            return self.requests.end_as_unknown(request, reason)
        now = self._clock.monotonic()
        wait, interval = self._admission.drain_times(request, self.policy, now)
        retry_after = self.returns.reserve(
            request.first_part.flow,
            now,
            request.first_part.deadline,
            wait,
            interval,
        )
        inputs = messages.RefusalInputs(
            len(self.queue),
            self.pool.total_slots,
            wait,
            None
            if self.last_answered_at is None
            else now - self.last_answered_at,
        )
        return self.requests.refuse(request, reason, retry_after, inputs)

    def bind_ready(self) -> Effects:
        """Bind queued requests while there are free slots."""
        now = self._clock.monotonic()
        effects: Effects = []
        if not self.lease.may_bind(now):
            return effects
        self.queue.activate_due(now)
        while len(self.queue):
            candidate = self._next_candidate(now)
            if candidate is None:
                break
            effects.extend(self._bind_or_refuse(*candidate, now))
        return effects

    def release_slot(self, request: active_request.ActiveRequest) -> None:
        """Free the slot of a request that has ended at its upstream."""
        self._long_requests.on_released(request)
        self.bound -= 1
        self.pool.release_slot(
            request.upstream.upstream_id, request.attempt_id
        )

    def unbind_shed_request(
        self, request: active_request.ActiveRequest
    ) -> None:
        """Unbind a request that its upstream shed, to be queued again."""
        upstream_id = request.upstream.upstream_id
        self.release_slot(request)
        self.pool.back_off(upstream_id, self._clock.monotonic())
        self.ledger.mark_queued(request.first_part.key)
        if request.opened_flow:
            self.affinity.remove(request.first_part.flow)
        request.shed_by |= {upstream_id}
        request.pinned_id = request.upstream = request.bound_at = None

    def has_alternative(self, request: active_request.ActiveRequest) -> bool:
        """Return whether an upstream that has not shed it takes new work."""
        return any(
            slots.upstream.upstream_id not in request.shed_by
            for slots in self.pool.available
        )

    def release_slot_after_grace(
        self, request: active_request.ActiveRequest
    ) -> None:
        """Free the slot of a request after the grace period for its end."""
        self._long_requests.on_released(request)
        self.bound -= 1
        due = self._clock.monotonic() + CANCEL_GRACE_PERIOD
        heapq.heappush(
            self._delayed_releases,
            (due, request.upstream.upstream_id, request.attempt_id),
        )

    def release_due_slots(self) -> None:
        """Free the slots whose grace period has passed."""
        now = self._clock.monotonic()
        while self._delayed_releases and self._delayed_releases[0][0] <= now:
            _, upstream_id, attempt_id = heapq.heappop(self._delayed_releases)
            self.pool.release_slot(upstream_id, attempt_id)

    def is_long_running(self, request: active_request.ActiveRequest) -> bool:
        """Return whether a request has run much longer than is typical."""
        elapsed = self._clock.monotonic() - request.bound_at
        return elapsed.total_seconds() > self.service_times.long_threshold()

    def unpin_unavailable(self) -> None:
        """Unpin requests whose pinned upstream takes no new work."""
        for upstream_id in self.queue.pinned_upstreams():
            if not self.pool.takes_new_work(upstream_id):
                self.queue.unpin(upstream_id)

    def _next_candidate(
        self, now: datetime.timedelta
    ) -> tuple[active_request.ActiveRequest, pools.UpstreamSlots] | None:
        free = self.pool.upstreams_with_free_slot(now)
        if not free:
            return None
        lanes = self._admission.lanes_to_serve(self.policy, now)
        for slots in free:
            request = self.queue.pop_next(slots.upstream.upstream_id, lanes)
            if request is not None:
                return request, slots
        return None

    def _bind_or_refuse(
        self,
        request: active_request.ActiveRequest,
        slots: pools.UpstreamSlots,
        now: datetime.timedelta,
    ) -> Effects:
        if self._admission.would_miss_deadline(request, now):
            return [self.refuse(request, request_parts.Reason.DEADLINE)]
        if not request.under_lease and not request.first_part.idempotent:
            return [
                self.requests.end_as_unknown(
                    request, request_parts.Reason.PLACER_CHANGED
                )
            ]
        pinned_id = self.affinity.lookup(request.first_part.flow, now)
        upstream_id = slots.upstream.upstream_id
        if self._must_wait_for_pinned(pinned_id, upstream_id, request):
            self.queue.requeue_pinned(request, pinned_id)
            return []
        return [self._bind(request, slots.upstream, now)]

    def _must_wait_for_pinned(
        self,
        pinned_id: model.UpstreamId | None,
        upstream_id: model.UpstreamId,
        request: active_request.ActiveRequest,
    ) -> bool:
        # The flow may have been pinned while this request was queued.
        return (
            pinned_id is not None
            and pinned_id != upstream_id
            and pinned_id not in request.shed_by
            and self.pool.takes_new_work(pinned_id)
        )

    def _bind(
        self,
        request: active_request.ActiveRequest,
        upstream: model.Upstream,
        now: datetime.timedelta,
    ) -> messages.Bind:
        upstream_id = upstream.upstream_id
        self.ledger.mark_bound(
            request.first_part.key, upstream_id, request.first_part.attempt
        )
        self.pool.occupy_slot(upstream_id, request.attempt_id, now)
        pinned_id = self.affinity.lookup(request.first_part.flow, now)
        if pinned_id is None or not self.pool.takes_new_work(pinned_id):
            self.affinity.pin(request.first_part.flow, upstream_id, now)
            request.opened_flow = True
        request.upstream, request.bound_at = upstream, now
        self.bound += 1
        self._long_requests.on_bound(request)
        return messages.Bind(
            request.first_part,
            upstream,
            tuple(request.parts_by_index.values()),
            now - request.arrived_at,
        )
