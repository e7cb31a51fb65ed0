"""Queueing, binding and the release of slots."""

import datetime
import heapq

from acaciamoor import clock as clocks
from acaciamoor import model
from acaciamoor.placement import admission as admissions
from acaciamoor.placement import affinity
from acaciamoor.placement import book as books
from acaciamoor.placement import estimates
from acaciamoor.placement import messages
from acaciamoor.placement import pending as pendings
from acaciamoor.placement import pool as pools
from acaciamoor.placement import queue as queues
from acaciamoor.placement import tenure as tenures
from acaciamoor.requests import ledger as ledgers
from acaciamoor.requests import work as works

# Upstreams stop a request at its deadline or when it is cancelled. Its slot
# is taken as free after this time, which covers the way to the upstream.
CANCEL_GRACE = datetime.timedelta(milliseconds=100)

Effects = list[messages.Effect]


class Dispatcher:
    """Moves requests from the queue into slots and out of them.

    Parameters
    ----------
    clock : clocks.Clock
        Source of monotonic time.
    policy : model.Policy
        Limits of the service.
    ledger : ledgers.RequestLedger
        Records of all requests.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        policy: model.Policy,
        ledger: ledgers.RequestLedger,
    ) -> None:
        self.policy = policy
        self.ledger = ledger
        self.tenure = tenures.Tenure(clock)
        self.queue = queues.WorkQueue()
        self.pool = pools.UpstreamPool(policy.slow_start)
        self.times = estimates.ServiceTimes()
        self.flows = affinity.FlowAffinity()
        self.book = books.RequestBook(clock, ledger, self.tenure)
        self.bound = 0
        self._clock = clock
        self._long_work = estimates.LongWork()
        self._admission = admissions.AdmissionControl(
            self.queue, self.pool, self.times, self._long_work, self.tenure
        )
        self._abandoned: list[
            tuple[datetime.timedelta, model.UpstreamId, pools.Token]
        ] = []

    def enqueue(self, item: pendings.Pending) -> Effects:
        """Queue a new request, or refuse it if it cannot be in time."""
        now = self._clock.monotonic()
        home = self.flows.home(item.work.flow, now)
        if home is not None and self.pool.takes_new_work(home):
            item.home = home
        reason = self._admission.refusal(item, self.policy, now)
        if reason is not None:
            return [self.book.refuse(item, reason)]
        self.queue.push(item, now)
        return self.bind_ready()

    def bind_ready(self) -> Effects:
        """Bind waiting requests while there are free slots."""
        now = self._clock.monotonic()
        effects: Effects = []
        if not self.tenure.may_bind(now):
            return effects
        self.queue.release(now)
        while len(self.queue):
            taken = self._take(now)
            if taken is None:
                break
            effects.extend(self._place(*taken, now))
        return effects

    def leave_slot(self, item: pendings.Pending) -> None:
        """Free the slot of a request that the upstream has ended."""
        self._long_work.ended(item)
        self.bound -= 1
        self.pool.release(item.upstream.upstream_id, item.token)

    def take_back(self, item: pendings.Pending) -> None:
        """Take a request back that its upstream refused before running."""
        upstream_id = item.upstream.upstream_id
        self.leave_slot(item)
        self.pool.shed(upstream_id, self._clock.monotonic())
        self.ledger.requeue(item.work.key)
        if item.opened_flow:
            self.flows.close(item.work.flow)
        item.shed_by |= {upstream_id}
        item.home = item.upstream = item.bound_at = None

    def has_alternative(self, item: pendings.Pending) -> bool:
        """Return whether an upstream that did not shed takes new work."""
        return any(
            slots.upstream.upstream_id not in item.shed_by
            for slots in self.pool.in_use
        )

    def abandon_slot(self, item: pendings.Pending) -> None:
        """Free the slot of a request that the upstream is told to stop."""
        self._long_work.ended(item)
        self.bound -= 1
        due = self._clock.monotonic() + CANCEL_GRACE
        heapq.heappush(
            self._abandoned, (due, item.upstream.upstream_id, item.token)
        )

    def release_abandoned(self) -> None:
        """Free the slots of requests whose grace time has passed."""
        now = self._clock.monotonic()
        while self._abandoned and self._abandoned[0][0] <= now:
            _, upstream_id, token = heapq.heappop(self._abandoned)
            self.pool.release(upstream_id, token)

    def is_long_running(self, item: pendings.Pending) -> bool:
        """Return whether a request has run far longer than is typical."""
        elapsed = self._clock.monotonic() - item.bound_at
        return elapsed.total_seconds() > self.times.long_after()

    def stop_waiting_for_unusable(self) -> None:
        """Let requests whose home takes no new work go to any upstream."""
        for upstream_id in self.queue.homes():
            if not self.pool.takes_new_work(upstream_id):
                self.queue.clear_home(upstream_id)

    def _take(
        self, now: datetime.timedelta
    ) -> tuple[pendings.Pending, pools.Slots] | None:
        free = self.pool.free(now)
        if not free:
            return None
        lanes = self._admission.lanes(self.policy, now)
        for slots in free:
            item = self.queue.take(slots.upstream.upstream_id, lanes)
            if item is not None:
                return item, slots
        return None

    def _place(
        self,
        item: pendings.Pending,
        slots: pools.Slots,
        now: datetime.timedelta,
    ) -> Effects:
        if self._admission.is_late(item, now):
            return [self.book.refuse(item, works.Reason.DEADLINE)]
        if not item.tenured and not item.work.idempotent:
            return [self.book.lose(item, works.Reason.PLACER_CHANGED)]
        home = self.flows.home(item.work.flow, now)
        upstream_id = slots.upstream.upstream_id
        if self._must_wait_for(home, upstream_id, item):
            self.queue.set_home(item, home)
            return []
        return [self._bind(item, slots.upstream, now)]

    def _must_wait_for(
        self,
        home: model.UpstreamId | None,
        upstream_id: model.UpstreamId,
        item: pendings.Pending,
    ) -> bool:
        # The flow's first request may have been bound while this one waited.
        return (
            home is not None
            and home != upstream_id
            and home not in item.shed_by
            and self.pool.takes_new_work(home)
        )

    def _bind(
        self,
        item: pendings.Pending,
        upstream: model.Upstream,
        now: datetime.timedelta,
    ) -> messages.Bind:
        upstream_id = upstream.upstream_id
        self.ledger.bind(item.work.key, upstream_id, item.work.attempt)
        self.pool.occupy(upstream_id, item.token, now)
        home = self.flows.home(item.work.flow, now)
        if home is None or not self.pool.takes_new_work(home):
            self.flows.put(item.work.flow, upstream_id, now)
            item.opened_flow = True
        item.upstream, item.bound_at = upstream, now
        self.bound += 1
        self._long_work.started(item)
        return messages.Bind(
            item.work, upstream, tuple(item.parts_by_index.values())
        )
