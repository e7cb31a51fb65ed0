"""Ejection and readmission of upstreams according to their health."""

import collections.abc
import datetime
import math

from acaciamoor import clock as clocks
from acaciamoor import model
from acaciamoor.placement import active_request
from acaciamoor.placement import dispatch
from acaciamoor.placement import health
from acaciamoor.placement import messages
from acaciamoor.requests import request_part as request_parts

Effects = list[messages.Effect]


class EjectionController:
    """Applies health decisions to the pool, the queue and bound requests.

    Parameters
    ----------
    clock : clocks.Clock
        Source of monotonic time.
    dispatcher : dispatch.Dispatcher
        Queue, slots and active requests.
    """

    def __init__(
        self, clock: clocks.Clock, dispatcher: dispatch.Dispatcher
    ) -> None:
        self._clock = clock
        self._dispatcher = dispatcher
        self._monitor = health.HealthMonitor()

    def set_upstreams(
        self, upstreams: collections.abc.Iterable[model.Upstream]
    ) -> None:
        """Replace the list of upstreams whose health is tracked."""
        self._monitor.set_upstreams(
            upstream.upstream_id for upstream in upstreams
        )

    def on_answer(
        self,
        request: active_request.ActiveRequest,
        elapsed: datetime.timedelta,
    ) -> Effects:
        """Handle an answer; declared long requests are no measure of speed."""
        if request.lane is active_request.Lane.LONG:
            return []
        upstream_id = request.upstream.upstream_id
        reason = self._monitor.on_answer(
            upstream_id, elapsed.total_seconds(), self._clock.monotonic()
        )
        return self._apply(upstream_id, reason)

    def on_timeout(self, request: active_request.ActiveRequest) -> Effects:
        """Handle a timeout; one after a short running time is ignored."""
        if not self._dispatcher.is_long_running(request):
            return []
        upstream_id = request.upstream.upstream_id
        return self._apply(upstream_id, self._monitor.on_timeout(upstream_id))

    def on_probe(self, result: messages.ProbeResult) -> Effects:
        """Handle the result of a health probe."""
        reason = self._monitor.on_probe(
            result.upstream_id, result.healthy, self._clock.monotonic()
        )
        return self._apply(result.upstream_id, reason)

    def readmit(self) -> Effects:
        """Readmit the upstreams whose ejection is over."""
        now = self._clock.monotonic()
        effects: Effects = []
        for upstream_id in self._monitor.pop_readmissible(now):
            self._dispatcher.pool.readmit(upstream_id, now)
            effects.append(messages.HealthChanged(upstream_id, healthy=True))
        return effects

    def _apply(
        self,
        upstream_id: model.UpstreamId,
        reason: health.EjectionReason | None,
    ) -> Effects:
        if reason is None or not self._may_eject(upstream_id):
            return []
        self._monitor.record_ejection(upstream_id, self._clock.monotonic())
        self._dispatcher.pool.eject(upstream_id)
        self._dispatcher.unpin_unavailable()
        dead = reason is health.EjectionReason.DEAD
        effects: Effects = [
            messages.HealthChanged(upstream_id, healthy=False, dead=dead)
        ]
        if dead:
            effects += self._end_bound_as_unknown(upstream_id)
        return effects

    def _may_eject(self, upstream_id: model.UpstreamId) -> bool:
        pool = self._dispatcher.pool
        if not pool.takes_new_work(upstream_id):
            return False
        active = [
            slots
            for slots in pool.slots_by_id.values()
            if slots.listed and slots.upstream.takes_new_work
        ]
        floor = math.ceil(self._dispatcher.policy.ejection_floor * len(active))
        return len(pool.available) - 1 >= max(1, floor)

    def _end_bound_as_unknown(self, upstream_id: model.UpstreamId) -> Effects:
        bound = [
            request
            for request in self._dispatcher.requests.requests_by_key.values()
            if request.upstream and request.upstream.upstream_id == upstream_id
        ]
        effects: Effects = []
        for request in bound:
            effects.append(
                self._dispatcher.requests.end_as_unknown(
                    request, request_parts.Reason.UPSTREAM_LOST
                )
            )
            self._dispatcher.release_slot_after_grace(request)
        return effects
