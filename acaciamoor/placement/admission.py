"""Whether a request may wait, and which lane is served next."""

import datetime
import math

from acaciamoor import model
from acaciamoor.placement import estimates
from acaciamoor.placement import pending as pendings
from acaciamoor.placement import pool as pools
from acaciamoor.placement import queue as queues
from acaciamoor.placement import tenure as tenures
from acaciamoor.requests import work as works

# Share of the time to the deadline that the expected wait may take. The rest
# covers the error of the estimate, so that few requests are refused late.
WAIT_SHARE = 0.5
# Expected wait for a slot at which short work is refused, even if its
# deadline is far. A longer queue would not raise the goodput at a peak of
# demand, and all short work would be late.
LONGEST_SHORT_WAIT = datetime.timedelta(milliseconds=100)
# Share of the queue that announced long work may fill.
LONG_QUEUE_SHARE = 0.25

_Lane = pendings.Lane
_ZERO = datetime.timedelta(0)


class AdmissionControl:
    """Limits on waiting and on the slots of long work.

    Refusing work that would miss its deadline keeps the queue short at a
    peak of demand, so that the work that is accepted is still in time.
    """

    def __init__(
        self,
        queue: queues.WorkQueue,
        pool: pools.UpstreamPool,
        times: estimates.ServiceTimes,
        long_work: estimates.LongWork,
        tenure: tenures.Tenure,
    ) -> None:
        self._queue = queue
        self._pool = pool
        self._times = times
        self._long_work = long_work
        self._tenure = tenure

    def refusal(
        self,
        item: pendings.Pending,
        policy: model.Policy,
        now: datetime.timedelta,
    ) -> works.Reason | None:
        """Return why a request that has just arrived may not wait."""
        if self._is_full(item.lane, policy):
            return works.Reason.QUEUE_FULL
        slots = self._pool.total_slots
        if not slots:
            return works.Reason.NO_UPSTREAM
        left = item.work.deadline - now
        queueing = datetime.timedelta(
            seconds=self._queueing_seconds(item, policy, slots, now)
        )
        wait = max(item.not_before, self._settled_at(now)) - now + queueing
        if item.lane is _Lane.SHORT and queueing > self._longest_wait(now):
            return works.Reason.QUEUE_FULL
        if wait > left * WAIT_SHARE or self.is_late(item, now + wait):
            return works.Reason.DEADLINE
        return None

    def is_late(
        self, item: pendings.Pending, start: datetime.timedelta
    ) -> bool:
        """Return whether work started at `start` would miss its deadline.

        The typical time counts only while other work waits for the slot.
        Otherwise a time that was learned once could refuse all work, and
        nothing would be learned any more.
        """
        left = (item.work.deadline - start).total_seconds()
        return left <= (self._times.typical() if len(self._queue) else 0.0)

    def lanes(
        self, policy: model.Policy, now: datetime.timedelta
    ) -> tuple[pendings.Lane, ...]:
        """Return the lanes that may be served, in order of preference.

        Short work goes first. One slot is left to announced long work, so
        that a long peak of short work does not shut it out.
        """
        total = self._long_work.total(now, self._times.long_after())
        if total >= self._long_cap(policy, self._pool.total_slots):
            return (_Lane.SHORT,)
        if not self._long_work.announced:
            return (_Lane.LONG, _Lane.SHORT)
        return (_Lane.SHORT, _Lane.LONG)

    def _is_full(self, lane: pendings.Lane, policy: model.Policy) -> bool:
        if len(self._queue) >= policy.queue_limit:
            return True
        return lane is _Lane.LONG and (
            self._queue.count(lane) >= policy.queue_limit * LONG_QUEUE_SHARE
        )

    def _longest_wait(self, now: datetime.timedelta) -> datetime.timedelta:
        # What arrives while nothing is bound is no sign of a peak of demand,
        # and it takes about as long again to work it off.
        settling = now < self._tenure.settled_at + 2 * tenures.SETTLE
        if settling or not self._tenure.holds:
            return LONGEST_SHORT_WAIT + tenures.SETTLE
        return LONGEST_SHORT_WAIT

    def _settled_at(self, now: datetime.timedelta) -> datetime.timedelta:
        return max(now, self._tenure.settled_at)

    def _queueing_seconds(
        self,
        item: pendings.Pending,
        policy: model.Policy,
        slots: int,
        now: datetime.timedelta,
    ) -> float:
        ahead = self._queue.count(item.lane)
        if item.lane is _Lane.LONG:
            # While short work waits, long work gets a single slot.
            short_waits = self._queue.count(_Lane.SHORT) > 0
            servers = 1 if short_waits else self._long_cap(policy, slots)
        else:
            servers = max(1, slots - self._long_work.announced)
        if not ahead and self._pool.has_free(now):
            wait = 0.0
        else:
            wait = (ahead + 1) * self._times.mean(item.lane) / servers
        return max(wait, self._home_seconds(item))

    def _home_seconds(self, item: pendings.Pending) -> float:
        if item.home is None:
            return 0.0
        home = self._pool.slots_by_id[item.home].upstream
        ahead = self._queue.count_home(item.home)
        return ahead * self._times.mean(item.lane) / home.slots

    @staticmethod
    def _long_cap(policy: model.Policy, slots: int) -> int:
        # Long work must be able to run at a service with a single slot.
        return max(1, math.floor(policy.long_share * slots))
