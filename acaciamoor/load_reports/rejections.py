"""Recognition of rejected requests by the size and time of responses."""

import math

# A response is short if it has at most this share of the usual size.
SHORT_SHARE = 0.25
# A response is early if it took at most this share of the usual time. An
# upstream with room needs its service time even for a small response; one
# without room answers at once.
EARLY_SHARE = 0.25
# Responses of this size or less may be rejections: a status line with headers
# and no body, in bytes.
MAX_REJECTION_BYTES = 1024
# Usual responses after which the rule applies.
MIN_SAMPLES = 8
# Weight of a response in what is usual for its service. A larger one counts
# more than a smaller one, so that rejections in a crowd do not become usual.
_LARGER_WEIGHT = 0.1
_SMALLER_WEIGHT = 0.01
_DURATION_WEIGHT = 0.02
# Shorter durations count as this one, in seconds.
_MIN_DURATION_S = 1e-4


class UsualResponse:
    """What responses of a service usually are.

    A response is taken for a rejection if it is both much smaller and much
    sooner than usual. Services whose usual responses are no larger than a
    status line with headers show no rejections; nothing is counted then.

    Examples
    --------
    >>> usual = UsualResponse()
    >>> for _ in range(20):
    ...     rejected = usual.record(1448, 0.05)
    >>> usual.record(120, 0.001), usual.record(120, 0.05)
    (True, False)
    """

    __slots__ = ('_log_bytes', '_log_seconds', '_samples')

    def __init__(self) -> None:
        self._samples = 0
        self._log_bytes = 0.0
        self._log_seconds = 0.0

    def record(self, size: int, seconds: float) -> bool:
        """Record a response; return whether it was a rejection.

        Parameters
        ----------
        size : int
            Bytes that the caller had acknowledged when the request ended.
        seconds : float
            Time from the request to that acknowledgement.
        """
        log_bytes = math.log(max(size, 1))
        log_seconds = math.log(max(seconds, _MIN_DURATION_S))
        short = log_bytes <= self._log_bytes + math.log(SHORT_SHARE)
        if (
            short
            and self._samples >= MIN_SAMPLES
            and size <= MAX_REJECTION_BYTES
            and log_seconds <= self._log_seconds + math.log(EARLY_SHARE)
        ):
            return True
        self._samples += 1
        first = 1.0 / self._samples
        difference = log_bytes - self._log_bytes
        weight = _LARGER_WEIGHT if difference > 0 else _SMALLER_WEIGHT
        self._log_bytes += max(first, weight) * difference
        if not short or self._samples == 1:
            # Short ones may be rejections that came before the rule applied.
            self._log_seconds += max(first, _DURATION_WEIGHT) * (
                log_seconds - self._log_seconds
            )
        return False
