"""What the placer learns about how long requests run."""

import collections
import datetime
import math

from acaciamoor.placement import pending as pendings

# Share of the newest request in the means, which thus cover about the last
# 100 requests. A straggler of 50x among them moves the mean of short work by
# a half; with a larger share, one straggler would refuse work.
_GAIN = 0.01
# A request that has run longer than this many typical times counts as long.
LONG_FACTOR = 10.0
# Below this a request is never taken for long, whatever was learned.
_SHORTEST_LONG_S = 0.02
_FIRST_SAMPLES = 20


class Mean:
    """Mean that adapts quickly at first and slowly later.

    Examples
    --------
    >>> mean = Mean()
    >>> mean.add(2.0)
    >>> mean.add(4.0)
    >>> mean.value
    3.0
    """

    __slots__ = ('samples', 'value')

    def __init__(self) -> None:
        self.value = 0.0
        self.samples = 0

    def add(self, value: float) -> None:
        """Take one observation."""
        self.samples += 1
        gain = max(_GAIN, 1.0 / self.samples)
        self.value += gain * (value - self.value)


class ServiceTimes:
    """Mean and typical time that an upstream takes for a request."""

    def __init__(self) -> None:
        self._means_by_lane = {lane: Mean() for lane in pendings.Lane}
        self._log = Mean()

    def answered(self, lane: pendings.Lane, seconds: float) -> None:
        """Take the running time of a request that was answered."""
        self._means_by_lane[lane].add(seconds)
        if lane is pendings.Lane.SHORT:
            self._log.add(math.log(max(seconds, 1e-6)))

    def timed_out(self, lane: pendings.Lane, seconds: float) -> None:
        """Take the time for which an unanswered request held its slot."""
        self._means_by_lane[lane].add(seconds)

    def mean(self, lane: pendings.Lane) -> float:
        """Return the mean time in seconds; 0 before the first request."""
        return self._means_by_lane[lane].value

    def typical(self) -> float:
        """Return the geometric mean of short work, in seconds.

        Stragglers move it less than the mean.
        """
        return math.exp(self._log.value) if self._log.samples else 0.0

    def long_after(self) -> float:
        """Return the running time in seconds that makes a request long."""
        if self._log.samples < _FIRST_SAMPLES:
            return math.inf
        return max(_SHORTEST_LONG_S, LONG_FACTOR * self.typical())


class LongWork:
    """Counts the slots that long work holds, announced or learned."""

    def __init__(self) -> None:
        self.announced = 0
        self._learned = 0
        self._unjudged: collections.deque[pendings.Pending] = (
            collections.deque()
        )

    def started(self, item: pendings.Pending) -> None:
        """Take a request that was bound."""
        if item.lane is pendings.Lane.LONG:
            self.announced += 1
        else:
            self._unjudged.append(item)

    def ended(self, item: pendings.Pending) -> None:
        """Take a request that left its slot."""
        if item.lane is pendings.Lane.LONG:
            self.announced -= 1
        elif item.learned_long:
            item.learned_long = False
            self._learned -= 1

    def total(self, now: datetime.timedelta, long_after: float) -> int:
        """Return the long requests that hold a slot at `now`."""
        while self._unjudged:
            item = self._unjudged[0]
            if item.bound_at is not None and not item.ended:
                if (now - item.bound_at).total_seconds() < long_after:
                    break
                # A request that was retried is in the deque twice.
                self._learned += not item.learned_long
                item.learned_long = True
            self._unjudged.popleft()
        return self.announced + self._learned
