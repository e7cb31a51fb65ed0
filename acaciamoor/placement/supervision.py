"""Takes upstreams out of use and back, by the judgement of their health."""

import collections.abc
import datetime
import math

from acaciamoor import clock as clocks
from acaciamoor import model
from acaciamoor.placement import dispatch
from acaciamoor.placement import health
from acaciamoor.placement import messages
from acaciamoor.placement import pending as pendings
from acaciamoor.requests import work as works

Effects = list[messages.Effect]


class Supervisor:
    """Applies the health of upstreams to the pool and the requests.

    Parameters
    ----------
    clock : clocks.Clock
        Source of monotonic time.
    core : dispatch.Dispatcher
        Queue, slots and requests in progress.
    """

    def __init__(self, clock: clocks.Clock, core: dispatch.Dispatcher) -> None:
        self._clock = clock
        self._core = core
        self._monitor = health.HealthMonitor()

    def set_upstreams(
        self, upstreams: collections.abc.Iterable[model.Upstream]
    ) -> None:
        """Watch these upstreams."""
        self._monitor.set_upstreams(item.upstream_id for item in upstreams)

    def on_answer(
        self, item: pendings.Pending, elapsed: datetime.timedelta
    ) -> Effects:
        """Take an answer; announced long work says nothing about speed."""
        if item.lane is pendings.Lane.LONG:
            return []
        upstream_id = item.upstream.upstream_id
        judgement = self._monitor.on_answer(
            upstream_id, elapsed.total_seconds(), self._clock.monotonic()
        )
        return self._apply(upstream_id, judgement)

    def on_timeout(self, item: pendings.Pending) -> Effects:
        """Take a time-out; a request with a short deadline proves nothing."""
        if not self._core.is_long_running(item):
            return []
        upstream_id = item.upstream.upstream_id
        return self._apply(upstream_id, self._monitor.on_timeout(upstream_id))

    def on_probe(self, result: messages.ProbeResult) -> Effects:
        """Take the result of a health probe."""
        judgement = self._monitor.on_probe(
            result.upstream_id, result.healthy, self._clock.monotonic()
        )
        return self._apply(result.upstream_id, judgement)

    def readmit(self) -> Effects:
        """Take the upstreams back into use that may be tried again."""
        now = self._clock.monotonic()
        effects: Effects = []
        for upstream_id in self._monitor.readmissible(now):
            self._core.pool.restart(upstream_id, now)
            effects.append(messages.HealthChanged(upstream_id, healthy=True))
        return effects

    def _apply(
        self,
        upstream_id: model.UpstreamId,
        judgement: health.Judgement | None,
    ) -> Effects:
        if judgement is None or not self._may_eject(upstream_id):
            return []
        self._monitor.eject(upstream_id, self._clock.monotonic())
        self._core.pool.eject(upstream_id)
        self._core.stop_waiting_for_unusable()
        dead = judgement is health.Judgement.DEAD
        effects: Effects = [
            messages.HealthChanged(upstream_id, healthy=False, dead=dead)
        ]
        if dead:
            effects += self._lose_bound(upstream_id)
        return effects

    def _may_eject(self, upstream_id: model.UpstreamId) -> bool:
        pool = self._core.pool
        if not pool.takes_new_work(upstream_id):
            return False
        active = [
            slots
            for slots in pool.slots_by_id.values()
            if slots.listed and slots.upstream.takes_new_work
        ]
        floor = math.ceil(self._core.policy.ejection_floor * len(active))
        return len(pool.in_use) - 1 >= max(1, floor)

    def _lose_bound(self, upstream_id: model.UpstreamId) -> Effects:
        lost = [
            item
            for item in self._core.book.pending_by_key.values()
            if item.upstream and item.upstream.upstream_id == upstream_id
        ]
        effects: Effects = []
        for item in lost:
            effects.append(
                self._core.book.lose(item, works.Reason.UPSTREAM_LOST)
            )
            self._core.abandon_slot(item)
        return effects
