"""Load of upstreams, estimated from the requests that pass this host."""

import datetime
import math

from acaciamoor import model

# Time constant of the exponential moving average. One second covers dozens of
# requests at present rates and follows demand swings of a few seconds.
AVERAGING_TIME = datetime.timedelta(seconds=1)


class _Load:
    __slots__ = ('average', 'count', 'updated_at')

    def __init__(self, now: datetime.timedelta) -> None:
        self.count = 0
        self.average = 0.0
        self.updated_at = now

    def advance(self, now: datetime.timedelta) -> None:
        """Advance the average to `now`; `count` held since `updated_at`."""
        elapsed = now - self.updated_at
        if elapsed <= datetime.timedelta(0):
            return
        decay = math.exp(-(elapsed / AVERAGING_TIME))
        self.average = self.count + (self.average - self.count) * decay
        self.updated_at = now


class LoadTracker:
    """Tracks the requests in progress at each upstream.

    By Little's law the average number of requests in progress equals their
    rate times their duration, so it measures load without the duration of
    single requests.

    Examples
    --------
    >>> second = datetime.timedelta(seconds=1)
    >>> tracker = LoadTracker()
    >>> tracker.begin_request('desk-1', 0 * second)
    >>> round(tracker.estimate('desk-1', 10 * second), 2)
    1.0
    >>> tracker.end_request('desk-1', 10 * second)
    >>> tracker.estimate('desk-1', 11 * second) < 0.5
    True
    """

    def __init__(self) -> None:
        self._loads_by_id: dict[model.UpstreamId, _Load] = {}

    def begin_request(
        self, upstream_id: model.UpstreamId, now: datetime.timedelta
    ) -> None:
        """Record that a request was sent to an upstream."""
        load = self._loads_by_id.get(upstream_id)
        if load is None:
            load = self._loads_by_id[upstream_id] = _Load(now)
        load.advance(now)
        load.count += 1

    def end_request(
        self, upstream_id: model.UpstreamId, now: datetime.timedelta
    ) -> None:
        """Record that a request was answered or abandoned."""
        load = self._loads_by_id.get(upstream_id)
        if load is None:
            return
        load.advance(now)
        load.count = max(0, load.count - 1)

    def estimate(
        self, upstream_id: model.UpstreamId, now: datetime.timedelta
    ) -> float:
        """Return the estimated number of requests at an upstream.

        The estimate is the mean of the moving average and the current count.
        The average alone lags behind demand swings; the count alone is zero
        for most upstreams, since one host sees few of their requests.
        """
        load = self._loads_by_id.get(upstream_id)
        if load is None:
            return 0.0
        load.advance(now)
        return (load.average + load.count) / 2

    def forget(self, upstream_id: model.UpstreamId) -> None:
        """Remove the load of an upstream that no longer exists."""
        self._loads_by_id.pop(upstream_id, None)
