"""Estimates of how long requests run, and detection of long ones."""

import collections
import datetime
import math

from acaciamoor.placement import active_request

# Weight of the newest sample, so that a mean covers about the last 100
# requests. One straggler of 50x then raises the mean of short requests by
# half; with a larger weight, a single straggler would cause refusals.
_MIN_GAIN = 0.01
# A request counts as long once it has run for this multiple of the typical
# time.
LONG_FACTOR = 10.0
# A request that has run for less is never long, whatever the typical time.
_MIN_LONG_SECONDS = 0.02
_MIN_SAMPLES_TO_CLASSIFY = 20


class AdaptiveMean:
    """Cumulative mean that turns into an exponential moving average.

    The first samples have equal weight, so that the mean adapts quickly.

    Examples
    --------
    >>> mean = AdaptiveMean()
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
        """Add one sample."""
        self.samples += 1
        gain = max(_MIN_GAIN, 1.0 / self.samples)
        self.value += gain * (value - self.value)


class ServiceTimes:
    """Mean and typical running time of requests at their upstreams."""

    def __init__(self) -> None:
        self._means_by_lane = {
            lane: AdaptiveMean() for lane in active_request.Lane
        }
        self._mean_log_seconds = AdaptiveMean()

    def add_answered(self, lane: active_request.Lane, seconds: float) -> None:
        """Add the running time of an answered request."""
        self._means_by_lane[lane].add(seconds)
        if lane is active_request.Lane.SHORT:
            self._mean_log_seconds.add(math.log(max(seconds, 1e-6)))

    def add_timed_out(self, lane: active_request.Lane, seconds: float) -> None:
        """Add the time for which a timed-out request held its slot."""
        self._means_by_lane[lane].add(seconds)

    def mean_seconds(self, lane: active_request.Lane) -> float:
        """Return the mean running time; 0 before the first sample."""
        return self._means_by_lane[lane].value

    def typical_seconds(self) -> float:
        """Return the geometric mean of short requests; 0 without samples.

        Stragglers affect it less than the arithmetic mean.
        """
        return (
            math.exp(self._mean_log_seconds.value)
            if self._mean_log_seconds.samples
            else 0.0
        )

    def long_threshold(self) -> float:
        """Return the seconds of running time from which a request is long."""
        if self._mean_log_seconds.samples < _MIN_SAMPLES_TO_CLASSIFY:
            return math.inf
        return max(_MIN_LONG_SECONDS, LONG_FACTOR * self.typical_seconds())


class LongRequestCounter:
    """Counts the slots that long requests hold.

    A request is long if its caller declares it so, or if it is detected by
    its running time.

    Attributes
    ----------
    declared : int
        Slots of requests that were declared long.
    """

    def __init__(self) -> None:
        self.declared = 0
        self._detected = 0
        self._unclassified: collections.deque[active_request.ActiveRequest] = (
            collections.deque()
        )

    def on_bound(self, request: active_request.ActiveRequest) -> None:
        """Start to count a request that was bound."""
        if request.lane is active_request.Lane.LONG:
            self.declared += 1
        else:
            self._unclassified.append(request)

    def on_released(self, request: active_request.ActiveRequest) -> None:
        """Stop counting a request that left its slot."""
        if request.lane is active_request.Lane.LONG:
            self.declared -= 1
        elif request.detected_long:
            request.detected_long = False
            self._detected -= 1

    def count(self, now: datetime.timedelta, long_threshold: float) -> int:
        """Return the number of long requests that hold a slot at `now`."""
        while self._unclassified:
            request = self._unclassified[0]
            if request.bound_at is not None and not request.ended:
                if (now - request.bound_at).total_seconds() < long_threshold:
                    break
                # A retried request is in the deque twice; count it once.
                self._detected += not request.detected_long
                request.detected_long = True
            self._unclassified.popleft()
        return self.declared + self._detected
