"""Rate limiting of calls."""

import datetime

from acaciamoor import clock as clocks


class TokenBucket:
    """Token bucket that holds at most the tokens of one second.

    The rate is an argument of each call, because it can change at any time.

    Examples
    --------
    >>> bucket = TokenBucket(clocks.ManualClock())
    >>> [bucket.try_acquire(1.0), bucket.try_acquire(1.0)]
    [True, False]
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._tokens = float('inf')
        self._refilled_at = clock.monotonic()

    def try_acquire(self, rate: float) -> bool:
        """Take a token and return True, or return False if none is left.

        Tokens are added at `rate` a second. The bucket holds at least one
        token when full, so that a rate of zero still allows the first call.
        """
        now = self._clock.monotonic()
        added = (
            (now - self._refilled_at) / datetime.timedelta(seconds=1) * rate
        )
        self._refilled_at = now
        self._tokens = min(self._tokens + added, max(rate, 1.0))
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
