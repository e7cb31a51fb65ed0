"""Requests that upstreams are working on, as far as this host can tell."""

import datetime
import math

from acaciamoor import model

# Time constant of the average number of requests. One second covers dozens
# of requests at today's rates and follows a demand swing of a few seconds.
AVERAGING_TIME = datetime.timedelta(seconds=1)


class _Load:
    __slots__ = ('average', 'count', 'updated')

    def __init__(self, now: datetime.timedelta) -> None:
        self.count = 0
        self.average = 0.0
        self.updated = now

    def advance(self, now: datetime.timedelta) -> None:
        """Move the average up to `now` with the count since `updated`."""
        elapsed = now - self.updated
        if elapsed <= datetime.timedelta(0):
            return
        share = math.exp(-(elapsed / AVERAGING_TIME))
        self.average = self.count + (self.average - self.count) * share
        self.updated = now


class LoadBook:
    """Requests in progress at each upstream.

    By Little's law the average number of requests in progress is their rate
    times their duration, so the average measures work without knowing how
    long a request takes.

    Examples
    --------
    >>> second = datetime.timedelta(seconds=1)
    >>> book = LoadBook()
    >>> book.begin('desk-1', 0 * second)
    >>> round(book.estimate('desk-1', 10 * second), 2)
    1.0
    >>> book.end('desk-1', 10 * second)
    >>> book.estimate('desk-1', 11 * second) < 0.5
    True
    """

    def __init__(self) -> None:
        self._loads_by_id: dict[model.UpstreamId, _Load] = {}

    def begin(
        self, upstream_id: model.UpstreamId, now: datetime.timedelta
    ) -> None:
        """Count a request that an upstream was sent."""
        load = self._loads_by_id.get(upstream_id)
        if load is None:
            load = self._loads_by_id[upstream_id] = _Load(now)
        load.advance(now)
        load.count += 1

    def end(
        self, upstream_id: model.UpstreamId, now: datetime.timedelta
    ) -> None:
        """Note that a request was answered or given up."""
        load = self._loads_by_id.get(upstream_id)
        if load is None:
            return
        load.advance(now)
        load.count = max(0, load.count - 1)

    def estimate(
        self, upstream_id: model.UpstreamId, now: datetime.timedelta
    ) -> float:
        """Return the load of an upstream in requests.

        It is the mean of the average and of the present number: the average
        alone is late at a demand swing, the present number alone is zero for
        most upstreams because one host sees few of their requests.
        """
        load = self._loads_by_id.get(upstream_id)
        if load is None:
            return 0.0
        load.advance(now)
        return (load.average + load.count) / 2

    def forget(self, upstream_id: model.UpstreamId) -> None:
        """Drop what is known of an upstream that is gone."""
        self._loads_by_id.pop(upstream_id, None)
