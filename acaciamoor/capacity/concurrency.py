"""Number of requests in progress up to which an upstream answers well.

Load pattern: an upstream has a knee. Beyond some number of busy slots, fewer
than it has, each request takes so much longer that it answers less in total.
Its own fluctuations then push it over the knee, and its open flows keep it
there.
"""

import datetime
import math

# Most levels into which the slots of an upstream are divided.
_MAX_LEVELS = 8
# Answers, and seconds at a level, after which its earlier evidence has lost
# two thirds of its weight. Time at other levels takes no weight: when all
# evidence faded in 10 s, a knee was forgotten as soon as it was respected, and
# the upstream was filled again.
_AVERAGED_ANSWERS = 150.0
_AVERAGED_SECONDS = 10.0
# Levels without a visit for this time are unknown again. A knee that has gone
# shows earlier: the fluctuations reach the levels just above the limit.
_RETENTION = datetime.timedelta(seconds=60)
# Answers that a level needs. Their noise is considered in the comparison.
_MIN_ANSWERS = 20.0
# Service times below this one, in seconds, are what is left of sums that decay
# while all answers take no measurable time. Quotients of such sums underflow.
MIN_SERVICE_TIME = 1e-6
# A level is beyond the knee if a request takes so many times as long there as
# at a lower level, twice that with two slots. Without any knee it takes up to
# 1.4 times as long in the replays, as many requests are in progress while a
# long one runs, and with few slots a single long one changes the level. At 1.7
# for all, some upstreams with two slots passed for ones with a knee.
_MAX_SLOWDOWN = 1.35
# After the upstream has slowed, so many answers at the speed of before, or the
# time for them, tell whether the evidence of lower levels still holds. The
# ratio is between no slowdown and the fivefold one of slow upstreams.
_CONFIRMING_ANSWERS = 6.0
_CONFIRMED_RATIO = 2.2
# A level is worth trying if the one below it uses the slots that much better
# than those below that.
_MIN_GROWTH = 1.1
# The comparison must be clear by this number of standard errors, and the
# variance of the answers by their mean is that of the run times of
# `opening_model`.
_STANDARD_ERRORS = 2.0
_ANSWER_VARIANCE = 1.25


def busy_slots(in_progress: float, slots: int) -> float:
    """Return the mean number of busy slots at a mean number in progress.

    The mean of the smaller of two numbers is below the smaller of their
    means. The exponent fits a queue with random arrivals for one and two
    slots (M/M/c), and approaches the smaller mean for many.

    Examples
    --------
    >>> round(busy_slots(0.2, 2), 2), round(busy_slots(8.0, 2), 2)
    (0.2, 1.99)
    """
    if in_progress <= 0.0:
        return 0.0
    exponent = 1.0 + 2.0 * math.log2(slots)
    try:
        power = (in_progress / slots) ** exponent
    except OverflowError:
        return float(slots)
    return in_progress / (1.0 + power) ** (1.0 / exponent)


class _Level:
    """What is known of an upstream at some number of requests in progress."""

    __slots__ = ('answers', 'busy_seconds', 'doubted', 'seconds', 'visited_at')

    def __init__(self) -> None:
        self.answers = 0.0
        self.busy_seconds = 0.0
        self.seconds = 0.0
        self.visited_at = datetime.timedelta(0)
        # Evidence from before the upstream slowed, until it is confirmed.
        self.doubted: _Level | None = None

    def doubt(self) -> None:
        """Set the evidence aside, until new evidence confirms it."""
        if self.doubted is not None or not self.answers:
            return
        self.doubted = _Level()
        self.doubted.add(self.answers, self.seconds, self.busy_seconds)
        self.answers = self.seconds = self.busy_seconds = 0.0

    def add(
        self, finished: float, seconds: float, busy_seconds: float
    ) -> None:
        """Add an interval, after earlier ones have lost some weight."""
        factor = math.exp(
            -finished / _AVERAGED_ANSWERS - seconds / _AVERAGED_SECONDS
        )
        self.answers = self.answers * factor + finished
        self.seconds = self.seconds * factor + seconds
        self.busy_seconds = self.busy_seconds * factor + busy_seconds

    def clear(self) -> None:
        """Forget all evidence."""
        self.answers = self.seconds = self.busy_seconds = 0.0
        self.doubted = None

    def settle(self, confirmed: bool) -> None:
        """Take the evidence that was set aside back, or drop it."""
        before = self.doubted
        self.doubted = None
        if confirmed and before is not None:
            self.answers += before.answers
            self.seconds += before.seconds
            self.busy_seconds += before.busy_seconds

    def is_known(self, now: datetime.timedelta) -> bool:
        """Return whether there is enough evidence."""
        # Answers in no measurable time show no knee.
        return (
            self.answers >= _MIN_ANSWERS
            and self.busy_seconds >= self.answers * MIN_SERVICE_TIME
            and now - self.visited_at <= _RETENTION
        )


class ConcurrencyProfile:
    """Service time of one upstream by its requests in progress.

    Parameters
    ----------
    slots : int
        Requests that the upstream runs at once.
    """

    __slots__ = (
        '_best',
        '_changed',
        '_confirming',
        '_expected',
        '_levels',
        '_slots',
        '_slowdowns',
    )

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._levels = [_Level() for _ in range(min(slots, _MAX_LEVELS))]
        # Found from the levels when they are needed; see `_find_knee`.
        self._changed = False
        # Answers at doubted levels, and those at the speed of before.
        self._confirming = 0.0
        self._expected = 0.0
        self._best: tuple[float, float] | None = None
        self._slowdowns = [1.0] * len(self._levels)

    def add(
        self,
        in_progress: float,
        finished: float,
        seconds: float,
        busy_seconds: float,
        now: datetime.timedelta,
    ) -> None:
        """Add an interval.

        Parameters
        ----------
        in_progress : float
            Mean number of requests in progress.
        finished : float
            Requests that were answered.
        seconds : float
            Length of the interval, in seconds.
        busy_seconds : float
            Sum of the times for which slots were busy, in seconds.
        now : datetime.timedelta
            Current time.
        """
        level = self._levels[self._number(in_progress)]
        if now - level.visited_at > _RETENTION:
            # A single visit would let all the old evidence count again.
            level.clear()
        level.add(finished, seconds, busy_seconds)
        before = level.doubted
        if before is not None and before.busy_seconds > 0.0:
            self._confirming += finished
            self._expected += (
                busy_seconds * before.answers / before.busy_seconds
            )
            if self._expected >= _CONFIRMING_ANSWERS:
                self._settle()
        level.visited_at = now
        self._changed = True

    def is_slow(
        self, in_progress: float, service_time: float, now: datetime.timedelta
    ) -> bool:
        """Return whether an upstream beyond its knee is slow besides.

        Parameters
        ----------
        in_progress : float
            Mean number of requests in progress.
        service_time : float
            Measured service time, without the usual slowdown there.
        now : datetime.timedelta
            Current time.
        """
        if self.slowdown(in_progress, now) <= 1.0 or self._best is None:
            return False
        # The slowdown of a level that was not known is still to be measured.
        if not self._levels[self._number(in_progress)].is_known(now):
            return False
        knee, rate = self._best
        return service_time * rate > _CONFIRMED_RATIO * knee

    def doubt_lower(self, in_progress: float) -> None:
        """Doubt what is known of lower levels, as the upstream has slowed.

        They may hold the speed of before, beside which a slow upstream looks
        like one beyond a knee.
        """
        # Beside a known knee a level below it shows by itself that it is slow.
        if self._best is not None:
            return
        for level in self._levels[: self._number(in_progress)]:
            level.doubt()
        self._confirming = 0.0
        self._expected = 0.0
        self._changed = True

    def best(self, now: datetime.timedelta) -> tuple[float, float] | None:
        """Return the best number in progress and the answers a second.

        None if no knee is known.
        """
        if self._changed:
            self._find_knee(now)
        return self._best

    def slowdown(self, in_progress: float, now: datetime.timedelta) -> float:
        """Return how much longer a request takes beyond the knee.

        The factor is 1 up to the knee, and if none is known.
        """
        if self._changed:
            self._find_knee(now)
        if self._best is None:
            return 1.0
        return self._slowdowns[self._number(in_progress)]

    def _settle(self) -> None:
        confirmed = self._confirming * _CONFIRMED_RATIO >= self._expected
        for level in self._levels:
            level.settle(confirmed)

    def _number(self, in_progress: float) -> int:
        count = len(self._levels)
        number = math.ceil(in_progress * count / self._slots) - 1
        return max(0, min(count - 1, number))

    def _find_knee(self, now: datetime.timedelta) -> None:
        """Find the knee in what is known of the levels.

        By Little's law the answers a second times the least service time are
        the slots that work as if there were no knee. Their most is the knee.
        """
        self._changed = False
        self._best = None
        least = math.inf
        least_answers = 0.0
        knee = slowdown = 1.0
        # Levels up to this number are known to be below the knee.
        below = 0
        most = _MAX_SLOWDOWN * (1.0 + 2.0 / self._slots)
        found = False
        growing = True
        for number, level in enumerate(self._levels):
            if level.is_known(now):
                service_time = level.busy_seconds / level.answers
                if service_time < least:
                    least, least_answers = service_time, level.answers
                ratio = service_time / least
                usable = level.busy_seconds / level.seconds / ratio
                slowdown = 1.0
                if ratio > most and _is_clear(
                    ratio / most, least_answers, level.answers
                ):
                    slowdown = ratio
                    found = True
                elif not found:
                    below = number + 1
                    growing = usable > _MIN_GROWTH * knee
                knee = max(knee, usable)
            self._slowdowns[number] = slowdown
        # Slow levels below a fast one are noise.
        if slowdown == 1.0:
            return
        if growing and not self._levels[below].is_known(now):
            # The next level is tried before it is taken for slow.
            knee = max(knee, (below + 1) * self._slots / len(self._levels))
        knee = min(knee, float(self._slots))
        self._best = knee, knee / least


def _is_clear(ratio: float, answers: float, other_answers: float) -> bool:
    """Return whether a ratio of service times above 1 is more than noise."""
    error = math.sqrt(_ANSWER_VARIANCE * (1.0 / answers + 1.0 / other_answers))
    return math.log(ratio) > _STANDARD_ERRORS * error
