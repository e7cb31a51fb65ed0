"""Load of upstreams, estimated from the requests that pass this host."""

import collections
import collections.abc
import datetime
import math

from acaciamoor import model

# Time constant of the exponential moving average. One second covers dozens of
# requests at present rates and follows demand swings of a few seconds.
AVERAGING_TIME = datetime.timedelta(seconds=1)


# The same for the demand of a service. One of hundreds of hosts sees a few
# requests in this time.
DEMAND_AVERAGING_TIME = datetime.timedelta(seconds=3)
# Weight of a request in the typical duration of its service.
_MIN_SAMPLE_WEIGHT = 0.01
# Shorter durations count as this one, in seconds.
_MIN_DURATION_S = 1e-4


class _Load:
    __slots__ = ('average', 'count', 'updated_at')

    def __init__(self, now: datetime.timedelta) -> None:
        self.count = 0
        self.average = 0.0
        self.updated_at = now

    def advance(
        self, now: datetime.timedelta, averaging_time: datetime.timedelta
    ) -> None:
        """Advance the average to `now`; `count` held since `updated_at`."""
        elapsed = now - self.updated_at
        if elapsed <= datetime.timedelta(0):
            return
        decay = math.exp(-(elapsed / averaging_time))
        self.average = self.count + (self.average - self.count) * decay
        self.updated_at = now


class LoadTracker:
    """Tracks the requests in progress at each upstream.

    By Little's law the average number of requests in progress equals their
    rate times their duration, so it measures load without the duration of
    single requests.

    Parameters
    ----------
    averaging_time : datetime.timedelta
        Time constant of the averages.

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

    def __init__(
        self, averaging_time: datetime.timedelta = AVERAGING_TIME
    ) -> None:
        self._averaging_time = averaging_time
        self._loads_by_id: dict[model.UpstreamId, _Load] = {}
        self._flows_by_id: collections.Counter[model.UpstreamId] = (
            collections.Counter()
        )
        # The latest answers come last.
        self._answered_at_by_id: dict[
            model.UpstreamId, datetime.timedelta
        ] = {}

    def record_answer(
        self, upstream_id: model.UpstreamId, now: datetime.timedelta
    ) -> None:
        """Record that an upstream answered a request."""
        self._answered_at_by_id.pop(upstream_id, None)
        self._answered_at_by_id[upstream_id] = now

    def list_answered(
        self, since: datetime.timedelta
    ) -> collections.abc.Iterator[model.UpstreamId]:
        """Return upstreams that have answered since a time, latest first."""
        for upstream_id in reversed(self._answered_at_by_id):
            if self._answered_at_by_id[upstream_id] < since:
                return
            yield upstream_id

    def begin_flow(self, upstream_id: model.UpstreamId) -> None:
        """Record an open flow of an upstream."""
        self._flows_by_id[upstream_id] += 1

    def end_flow(self, upstream_id: model.UpstreamId) -> None:
        """Record that a flow of an upstream has ended."""
        self._flows_by_id[upstream_id] -= 1
        if self._flows_by_id[upstream_id] <= 0:
            del self._flows_by_id[upstream_id]

    def count_flows(self, upstream_id: model.UpstreamId) -> int:
        """Return the number of open flows of an upstream."""
        return self._flows_by_id[upstream_id]

    def begin_request(
        self, upstream_id: model.UpstreamId, now: datetime.timedelta
    ) -> None:
        """Record that a request was sent to an upstream."""
        load = self._loads_by_id.get(upstream_id)
        if load is None:
            load = self._loads_by_id[upstream_id] = _Load(now)
        load.advance(now, self._averaging_time)
        load.count += 1

    def end_request(
        self, upstream_id: model.UpstreamId, now: datetime.timedelta
    ) -> None:
        """Record that a request was answered or abandoned."""
        load = self._loads_by_id.get(upstream_id)
        if load is None:
            return
        load.advance(now, self._averaging_time)
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
        load.advance(now, self._averaging_time)
        return (load.average + load.count) / 2

    def forget(self, upstream_id: model.UpstreamId) -> None:
        """Remove the load of an upstream that no longer exists."""
        self._loads_by_id.pop(upstream_id, None)
        self._answered_at_by_id.pop(upstream_id, None)


class _Demand:
    __slots__ = ('log_seconds', 'rate', 'samples', 'updated_at')

    def __init__(self, now: datetime.timedelta) -> None:
        # Requests a second, as an exponential moving average.
        self.rate = 0.0
        self.updated_at = now
        self.log_seconds = 0.0
        self.samples = 0

    def advance(self, now: datetime.timedelta) -> None:
        """Let the average decay until `now`."""
        elapsed = now - self.updated_at
        if elapsed > datetime.timedelta(0):
            self.rate *= math.exp(-(elapsed / DEMAND_AVERAGING_TIME))
            self.updated_at = now


class DemandTracker:
    """Estimates the demand for each service, in slots.

    It is the rate of requests times their typical duration, the geometric
    mean over the last hundred or so. Requests that hang at failed upstreams,
    or wait in a queue for a short time, hardly change it.

    Examples
    --------
    >>> second = datetime.timedelta(seconds=1)
    >>> tracker = DemandTracker()
    >>> for number in range(200):
    ...     tracker.begin_request('order-desk', number * second / 10)
    ...     tracker.add_answered('order-desk', 0.05 * second)
    >>> round(tracker.estimate('order-desk', 20 * second), 1)
    0.5
    """

    def __init__(self) -> None:
        self._demands_by_service: dict[str, _Demand] = {}

    def begin_request(self, service: str, now: datetime.timedelta) -> None:
        """Record that a request was sent to an upstream of a service."""
        demand = self._demands_by_service.get(service)
        if demand is None:
            demand = self._demands_by_service[service] = _Demand(now)
        demand.advance(now)
        demand.rate += 1.0 / DEMAND_AVERAGING_TIME.total_seconds()

    def add_answered(self, service: str, duration: datetime.timedelta) -> None:
        """Add the duration of a request that was answered."""
        demand = self._demands_by_service.get(service)
        if demand is not None:
            demand.samples += 1
            weight = max(_MIN_SAMPLE_WEIGHT, 1.0 / demand.samples)
            seconds = max(duration.total_seconds(), _MIN_DURATION_S)
            demand.log_seconds += weight * (
                math.log(seconds) - demand.log_seconds
            )

    def retain(self, services: collections.abc.Set[str]) -> None:
        """Remove the estimates of all other services."""
        for service in self._demands_by_service.keys() - services:
            del self._demands_by_service[service]

    def estimate(self, service: str, now: datetime.timedelta) -> float:
        """Return the number of slots that the recent requests occupy."""
        demand = self._demands_by_service.get(service)
        if demand is None or not demand.samples:
            return 0.0
        demand.advance(now)
        return demand.rate * math.exp(demand.log_seconds)
