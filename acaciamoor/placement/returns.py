"""When refused callers should come back, and in which order.

A refusal that says only "not run" makes callers come back when they like,
most of them together and too early. Here each refused caller is told a moment
that follows those told to earlier ones at the rate at which slots become
free. The refusals thus form a queue that callers wait in, without a request
that holds memory here, and older callers are served first.
"""

import collections
import datetime
import random

# Earliest return: the caller's next request needs about this long anyway.
MIN_DELAY = datetime.timedelta(milliseconds=10)
# Time around the moment that a caller was told in which its request is taken
# for the return: callers are late by the time to them and back.
TOLERANCE = datetime.timedelta(milliseconds=100)
# Delay while no upstream takes work, so that nothing is known of a rate.
UNKNOWN_RATE_DELAY = datetime.timedelta(seconds=1)
# Share of the slots that are promised to refused callers. The rest is left to
# callers that come for the first time.
_PROMISED_SHARE = 0.8
# Largest share of the time to its deadline after which a caller may return.
# The rest leaves time to wait for a slot and to run.
_MAX_DELAY_SHARE = 0.7
# Callers that are remembered; the oldest one is forgotten first.
_MAX_CALLERS = 65536
_ZERO = datetime.timedelta(0)


class ReturnSchedule:
    """Moments that refused callers were told to come back at.

    Parameters
    ----------
    rng : random.Random
        Source of jitter.

    Examples
    --------
    >>> ms = datetime.timedelta(milliseconds=1)
    >>> schedule = ReturnSchedule(random.Random(1))
    >>> first, second = (
    ...     schedule.reserve(flow, 0 * ms, 999 * ms, 100 * ms, 20 * ms)
    ...     for flow in (1, 2)
    ... )
    >>> 100 * ms <= first < second <= 150 * ms
    True
    >>> schedule.take(1, first), schedule.take(1, first)
    (True, False)
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._due_by_flow: collections.OrderedDict[int, datetime.timedelta] = (
            collections.OrderedDict()
        )
        # Moments that were promised, in ascending order.
        self._promised: collections.deque[datetime.timedelta] = (
            collections.deque()
        )

    def reserve(
        self,
        flow: int,
        now: datetime.timedelta,
        deadline: datetime.timedelta,
        wait: datetime.timedelta,
        interval: datetime.timedelta,
    ) -> datetime.timedelta:
        """Return after which time a refused caller should come back.

        Nothing is promised to a caller whose deadline would be close by then:
        it would come in vain, and its place is free for the next one.

        Parameters
        ----------
        flow : int
            Flow of the refused request.
        now : datetime.timedelta
            Current time.
        deadline : datetime.timedelta
            Time at which the caller gives up.
        wait : datetime.timedelta
            Expected time until what is queued now has started.
        interval : datetime.timedelta
            Mean time between two starts; zero if it is not known.
        """
        interval = interval / _PROMISED_SHARE
        if interval <= _ZERO:
            delay = UNKNOWN_RATE_DELAY * (0.5 + self._rng.random())
            self._remember(flow, now + delay)
            return delay
        self._forget_missed(now)
        due = now + max(wait, MIN_DELAY)
        if self._promised:
            due = max(due, self._promised[-1] + interval)
        if due - now > (deadline - now) * _MAX_DELAY_SHARE:
            return due - now
        self._promised.append(due)
        # Callers differ in their distance; jitter keeps their order roughly.
        due += interval * self._rng.random()
        self._remember(flow, due)
        return due - now

    def take(self, flow: int, now: datetime.timedelta) -> bool:
        """Return whether a request is a return that is due, and forget it."""
        due = self._due_by_flow.get(flow)
        if due is None or now < due - TOLERANCE:
            return False
        del self._due_by_flow[flow]
        return now <= due + TOLERANCE

    def count_due(self, now: datetime.timedelta) -> int:
        """Return the number of returns that are due about now."""
        self._forget_missed(now)
        count = 0
        for due in self._promised:
            if due > now + TOLERANCE:
                break
            count += 1
        return count

    def _remember(self, flow: int, due: datetime.timedelta) -> None:
        self._due_by_flow[flow] = due
        self._due_by_flow.move_to_end(flow)
        if len(self._due_by_flow) > _MAX_CALLERS:
            self._due_by_flow.popitem(last=False)

    def _forget_missed(self, now: datetime.timedelta) -> None:
        while self._promised and self._promised[0] < now:
            self._promised.popleft()
