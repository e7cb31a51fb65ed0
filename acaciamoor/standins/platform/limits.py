"""Rate limits."""

import datetime

from acaciamoor import clock as clocks


class TokenBucket:
    """Allows `rate` calls a second and bursts of one second's worth.

    Examples
    --------
    >>> bucket = TokenBucket(clocks.ManualClock())
    >>> [bucket.take(1.0), bucket.take(1.0)]
    [True, False]
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._tokens = float('inf')
        self._filled_at = clock.monotonic()

    def take(self, rate: float) -> bool:
        """Return whether a call is within `rate` calls a second."""
        now = self._clock.monotonic()
        gained = (now - self._filled_at) / datetime.timedelta(seconds=1) * rate
        self._filled_at = now
        self._tokens = min(self._tokens + gained, max(rate, 1.0))
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
