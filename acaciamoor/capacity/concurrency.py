"""Number of requests in progress at which an upstream answers the most."""

import datetime
import math

# Most intervals into which the slots of an upstream are divided.
_MAX_BINS = 8
# Time constant of the evidence. Beyond it an upstream is tried again at more
# requests in progress.
_AVERAGING_TIME = datetime.timedelta(seconds=10)
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
        count = min(slots, _MAX_BINS)
        self._answers = [0.0] * count
        self._seconds = [0.0] * count
        self._busy = [0.0] * count

    def add(
        self, in_progress: float, finished: int, seconds: float, decay: float
    ) -> None:
        """Add an interval, after earlier ones have lost some weight.

        Parameters
        ----------
        in_progress : float
            Mean number of requests in progress.
        finished : int
            Requests that were answered.
        seconds : float
            Length of the interval, in seconds.
        decay : float
            Time since the last interval, in seconds.
        """
        factor = math.exp(-decay / _AVERAGING_TIME.total_seconds())
        for values in (self._answers, self._seconds, self._busy):
            values[:] = [value * factor for value in values]
        count = len(self._answers)
        number = math.ceil(in_progress * count / self._slots) - 1
        number = max(0, min(count - 1, number))
        self._answers[number] += finished
        self._seconds[number] += seconds
        self._busy[number] += seconds * min(in_progress, self._slots)

    def best(self) -> tuple[float, float] | None:
        """Return the best number in progress and the answers a second.

        None if more requests in progress gave more answers, or if too little
        is known.
        """
        points = [
            (busy / seconds, answers / seconds)
            for answers, seconds, busy in zip(
                self._answers, self._seconds, self._busy, strict=True
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
