"""Number of requests in progress at which an upstream answers the most."""

import datetime
import math

# Most intervals into which the slots of an upstream are divided.
_MAX_BINS = 8
# Time constant of the evidence. Beyond it an upstream is tried again at more
# requests in progress.
_AVERAGING_TIME = datetime.timedelta(seconds=10)
_AVERAGING_S = _AVERAGING_TIME.total_seconds()
# Answers that an interval needs: the standard deviation of its rate is 13%.
_MIN_ANSWERS = 60
# Clear of that noise: 1.3 times the requests in progress that give less than
# 1.1 times the answers are not worth their waiting time.
_MORE_BUSY = 1.3
_MORE_ANSWERS = 1.1


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
    ratio = in_progress / slots
    return in_progress / (1.0 + ratio**exponent) ** (1.0 / exponent)


class ConcurrencyProfile:
    """Answers a second of one upstream by its requests in progress.

    Parameters
    ----------
    slots : int
        Requests that the upstream runs at once.
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._count = min(slots, _MAX_BINS)
        # Answers of all intervals of the slots, then seconds, then busy
        # seconds: decay takes half the time for one list instead of three.
        self._values = [0.0] * (3 * self._count)
        # Result of `best`, and whether it holds for the values.
        self._best: tuple[float, float] | None = None
        self._best_is_known = True

    def add(
        self, in_progress: float, finished: float, seconds: float, decay: float
    ) -> None:
        """Add an interval, after earlier ones have lost some weight.

        Parameters
        ----------
        in_progress : float
            Mean number of requests in progress.
        finished : float
            Requests that were answered.
        seconds : float
            Length of the interval, in seconds.
        decay : float
            Time since the last interval, in seconds.
        """
        factor = math.exp(-decay / _AVERAGING_S)
        values = [value * factor for value in self._values]
        count = self._count
        number = math.ceil(in_progress * count / self._slots) - 1
        number = max(0, min(count - 1, number))
        values[number] += finished
        values[number + count] += seconds
        values[number + 2 * count] += seconds * min(in_progress, self._slots)
        self._values = values
        self._best_is_known = False

    def best(self) -> tuple[float, float] | None:
        """Return the best number in progress and the answers a second.

        None if more requests in progress gave more answers, or if too little
        is known.
        """
        if not self._best_is_known:
            self._best = self._find_best()
            self._best_is_known = True
        return self._best

    def _find_best(self) -> tuple[float, float] | None:
        count = self._count
        values = self._values
        points = [
            (busy / seconds, answers / seconds)
            for answers, seconds, busy in zip(
                values[:count],
                values[count : 2 * count],
                values[2 * count :],
                strict=True,
            )
            # Answers in no measurable time show no best number.
            if answers >= _MIN_ANSWERS and busy > 0.0
        ]
        for number, (busy, rate) in enumerate(points):
            above = [
                item
                for item in points[number + 1 :]
                if item[0] >= _MORE_BUSY * busy
            ]
            if above and all(
                item[1] <= _MORE_ANSWERS * rate for item in above
            ):
                return busy, rate
        return None
