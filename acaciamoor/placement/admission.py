"""Admission of requests to the queue, and the order of the lanes."""

import datetime
import math

from acaciamoor import model
from acaciamoor.placement import active_request
from acaciamoor.placement import estimates
from acaciamoor.placement import lease as leases
from acaciamoor.placement import pool as pools
from acaciamoor.placement import queue as queues
from acaciamoor.requests import request_part as request_parts

# Largest share of the time to the deadline that the expected wait may take.
# The rest covers estimation errors, so that few queued requests expire.
MAX_WAIT_SHARE = 0.5
# Short requests are refused above this expected wait for a slot, however
# distant their deadline. Under overload, a longer queue does not raise goodput
# but delays all short requests.
MAX_SHORT_WAIT = datetime.timedelta(milliseconds=100)
# Largest share of the queue that declared long requests may fill.
MAX_LONG_QUEUE_SHARE = 0.25

_Lane = active_request.Lane
_ZERO = datetime.timedelta(0)


class AdmissionControl:
    """Limits the queue and the slots of long requests.

    Refusing requests that would miss their deadline keeps the queue short
    under overload, so that the accepted ones still meet theirs.

    Parameters
    ----------
    queue : queues.RequestQueue
        Requests that wait for a slot.
    pool : pools.UpstreamPool
        Upstreams and their slots.
    service_times : estimates.ServiceTimes
        Measured running times, for the expected wait.
    long_requests : estimates.LongRequestCounter
        Slots that long requests hold.
    lease : leases.PlacerLease
        Lease and settle time of the placer.
    """

    def __init__(
        self,
        queue: queues.RequestQueue,
        pool: pools.UpstreamPool,
        service_times: estimates.ServiceTimes,
        long_requests: estimates.LongRequestCounter,
        lease: leases.PlacerLease,
    ) -> None:
        self._queue = queue
        self._pool = pool
        self._service_times = service_times
        self._long_requests = long_requests
        self._lease = lease

    def refusal_reason(
        self,
        request: active_request.ActiveRequest,
        policy: model.Policy,
        now: datetime.timedelta,
        promised: int = 0,
        returning: bool = False,
    ) -> request_parts.Reason | None:
        """Return why a new request is refused; None if it may be queued.

        Parameters
        ----------
        request : ActiveRequest
            The request.
        policy : Policy
            Limits of the service.
        now : datetime.timedelta
            Current time.
        promised : int
            Requests of returning callers that are expected now.
        returning : bool
            Whether the caller was refused before and told to return now.
        """
        if self._is_full(request.lane, policy):
            return request_parts.Reason.QUEUE_FULL
        slots = self._pool.total_slots
        if not slots:
            return request_parts.Reason.NO_UPSTREAM
        time_left = request.first_part.deadline - now
        queue_wait = datetime.timedelta(
            seconds=self._queue_wait_seconds(
                request, policy, slots, now, promised
            )
        )
        wait = (
            max(request.not_before, self._earliest_bind(now))
            - now
            + queue_wait
        )
        max_short_wait = self._max_short_wait(now)
        if returning:
            max_short_wait += MAX_SHORT_WAIT
        if request.lane is _Lane.SHORT and queue_wait > max_short_wait:
            return request_parts.Reason.QUEUE_FULL
        if wait > time_left * MAX_WAIT_SHARE or self.would_miss_deadline(
            request, now + wait
        ):
            return request_parts.Reason.DEADLINE
        return None

    def drain_times(
        self,
        request: active_request.ActiveRequest,
        policy: model.Policy,
        now: datetime.timedelta,
    ) -> tuple[datetime.timedelta, datetime.timedelta]:
        """Return the wait for a slot, and the mean time between two starts.

        Both are zero while no upstream takes work.
        """
        slots = self._pool.total_slots
        if not slots:
            return _ZERO, _ZERO
        wait = self._queue_wait_seconds(request, policy, slots, now)
        interval = self._start_interval_seconds(request.lane, policy, slots)
        earliest = self._earliest_bind(now) - now
        return (
            earliest + datetime.timedelta(seconds=wait),
            datetime.timedelta(seconds=interval),
        )

    def would_miss_deadline(
        self, request: active_request.ActiveRequest, start: datetime.timedelta
    ) -> bool:
        """Return whether a request started at `start` would end too late.

        The typical running time counts only while other requests are queued.
        Otherwise one high estimate could cause every request to be refused,
        and without running requests the estimate would never be corrected.
        """
        time_left = (request.first_part.deadline - start).total_seconds()
        return time_left <= (
            self._service_times.typical_seconds() if len(self._queue) else 0.0
        )

    def lanes_to_serve(
        self, policy: model.Policy, now: datetime.timedelta
    ) -> tuple[active_request.Lane, ...]:
        """Return the lanes that may be served, highest priority first.

        Short requests have priority, except while no declared long request
        holds a slot. Otherwise a long burst of short requests would starve the
        long ones. No long request is served while long requests hold their
        whole share of the slots.
        """
        total = self._long_requests.count(
            now, self._service_times.long_threshold()
        )
        if total >= self._max_long_slots(policy, self._pool.total_slots):
            return (_Lane.SHORT,)
        if not self._long_requests.declared:
            return (_Lane.LONG, _Lane.SHORT)
        return (_Lane.SHORT, _Lane.LONG)

    def _is_full(
        self, lane: active_request.Lane, policy: model.Policy
    ) -> bool:
        if len(self._queue) >= policy.queue_limit:
            return True
        return lane is _Lane.LONG and (
            self._queue.count(lane)
            >= policy.queue_limit * MAX_LONG_QUEUE_SHARE
        )

    def _max_short_wait(self, now: datetime.timedelta) -> datetime.timedelta:
        # A backlog from the settle time, when nothing is bound, does not
        # indicate overload. Clearing it takes about another settle time.
        settling = now < self._lease.settled_at + 2 * leases.SETTLE_TIME
        if settling or not self._lease.is_held:
            return MAX_SHORT_WAIT + leases.SETTLE_TIME
        return MAX_SHORT_WAIT

    def _earliest_bind(self, now: datetime.timedelta) -> datetime.timedelta:
        return max(now, self._lease.settled_at)

    def _queue_wait_seconds(
        self,
        request: active_request.ActiveRequest,
        policy: model.Policy,
        slots: int,
        now: datetime.timedelta,
        promised: int = 0,
    ) -> float:
        ahead = self._queue.count(request.lane)
        if not ahead and self._pool.has_free_slot(now):
            # Callers who were told to return now need not do so.
            wait = 0.0
        else:
            wait = (ahead + promised + 1) * self._start_interval_seconds(
                request.lane, policy, slots
            )
        return max(wait, self._pinned_wait_seconds(request))

    def _start_interval_seconds(
        self,
        lane: active_request.Lane,
        policy: model.Policy,
        slots: int,
    ) -> float:
        """Return the mean time between two starts of queued requests."""
        if lane is _Lane.LONG:
            # While short requests wait, long ones get a single slot.
            short_waits = self._queue.count(_Lane.SHORT) > 0
            servers = 1 if short_waits else self._max_long_slots(policy, slots)
        else:
            servers = max(1, slots - self._long_requests.declared)
        return self._service_times.mean_seconds(lane) / servers

    def _pinned_wait_seconds(
        self, request: active_request.ActiveRequest
    ) -> float:
        if request.pinned_id is None:
            return 0.0
        upstream = self._pool.slots_by_id[request.pinned_id].upstream
        ahead = self._queue.count_pinned(request.pinned_id)
        return (
            ahead
            * self._service_times.mean_seconds(request.lane)
            / upstream.slots
        )

    @staticmethod
    def _max_long_slots(policy: model.Policy, slots: int) -> int:
        # At least 1, so that long requests can run with a single slot.
        return max(1, math.floor(policy.long_share * slots))
