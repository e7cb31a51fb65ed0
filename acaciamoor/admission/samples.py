"""Load of a service in the pictures of the last second."""

import collections
import collections.abc
import datetime
import typing

import msgspec

from acaciamoor import directory
from acaciamoor import load_reports
from acaciamoor import model

_ZERO = datetime.timedelta(0)


class Capacity(typing.Protocol):
    """What an upstream takes."""

    limit: float
    known: bool


class CapacityEstimator(typing.Protocol):
    """Measured capacity of upstreams."""

    def estimate(
        self, upstream_id: model.UpstreamId, now: datetime.timedelta
    ) -> Capacity:
        """Return what an upstream takes."""


class Sample(msgspec.Struct, frozen=True):
    """Load of a service in one picture.

    Parameters
    ----------
    taken_at : datetime.timedelta
        Time at which the reports of the own data centre were taken.
    in_progress, open_flows, started, finished, rejected : int
        Sums over the upstreams of the service.
    limit : float
        Requests in progress that the upstreams take well.
    reported_limit : float
        The same of the upstreams that the picture names.
    free_upstreams : int
        Upstreams with fewer requests in progress than they take well.
    openings_by_priority, refused_by_priority : dict
        Openings a second, and those of them that were refused.
    opened_by_data_centre : dict
        Openings a second that were not refused.
    """

    taken_at: datetime.timedelta
    in_progress: int
    limit: float
    reported_limit: float
    open_flows: int
    started: int
    finished: int
    rejected: int
    free_upstreams: int
    openings_by_priority: dict[int, float]
    refused_by_priority: dict[int, float]
    opened_by_data_centre: dict[str, float]

    @property
    def offered(self) -> float:
        """Openings a second, with those refused."""
        return sum(self.openings_by_priority.values())

    @property
    def refused(self) -> float:
        """Openings a second that were refused."""
        return sum(self.refused_by_priority.values())

    @property
    def load(self) -> float:
        """Requests in progress, relative to what the upstreams take well."""
        return self.in_progress / self.limit if self.limit else 0.0

    @property
    def reported_load(self) -> float:
        """The same for the upstreams that the picture names.

        Pictures of large data centres leave out most upstreams.
        """
        if not self.reported_limit:
            return 0.0
        return self.in_progress / self.reported_limit


class Samples:
    """Samples of a service in a window that ends with the newest.

    Parameters
    ----------
    window : datetime.timedelta
        Length of the window.
    """

    def __init__(self, window: datetime.timedelta) -> None:
        self._window = window
        self._samples: collections.deque[Sample] = collections.deque()

    @property
    def last(self) -> Sample:
        """The newest sample."""
        return self._samples[-1]

    @property
    def refusing(self) -> bool:
        """Whether openings were refused in the window."""
        return any(sample.refused for sample in self._samples)

    @property
    def opened(self) -> float:
        """Openings a second that were not refused, as a mean.

        Only data centres in the newest sample count: one whose summary is too
        old by now adds to the earlier samples, but nothing to the demand that
        is compared with this mean.
        """
        return sum(
            self._mean_opened(data_centre)
            for data_centre in self.last.opened_by_data_centre
        )

    @property
    def started(self) -> int:
        """Requests that were sent to upstreams."""
        return sum(sample.started for sample in self._samples)

    @property
    def finished(self) -> int:
        """Requests that were answered."""
        return sum(sample.finished for sample in self._samples)

    @property
    def rejected(self) -> int:
        """Requests that upstreams rejected."""
        return sum(sample.rejected for sample in self._samples)

    def add(self, sample: Sample) -> None:
        """Add a sample, and forget those before the window."""
        samples = self._samples
        samples.append(sample)
        # The reports of another sender may be older than those before.
        start = sample.taken_at - self._window
        while samples[0].taken_at < start:
            samples.popleft()

    def _mean_opened(self, data_centre: str) -> float:
        rates = [
            sample.opened_by_data_centre[data_centre]
            for sample in self._samples
            if data_centre in sample.opened_by_data_centre
        ]
        return sum(rates) / len(rates)


def take_sample(
    service: str,
    entries: collections.abc.Sequence[directory.UpstreamEntry],
    picture: load_reports.LoadPicture,
    capacity: CapacityEstimator,
    now: datetime.timedelta,
) -> Sample:
    """Return the load of a service in the present picture.

    Parameters
    ----------
    service : str
        The service.
    entries : sequence of UpstreamEntry
        Its upstreams that this host may use.
    picture : LoadPicture
        Load that all hosts reported.
    capacity : CapacityEstimator
        Measured capacity of upstreams.
    now : datetime.timedelta
        Current time.
    """
    in_progress = open_flows = free = 0
    started = finished = rejected = 0
    total = reported = 0.0
    for entry in entries:
        measured = capacity.estimate(entry.upstream_id, now)
        limit = float(max(1, entry.upstream.slots))
        if measured.known:
            limit = measured.limit
        load = picture.load_of(entry.upstream_id, now)
        total += limit
        if load is None:
            free += 1
            continue
        reported += limit
        free += load.in_progress < limit
        in_progress += load.in_progress
        open_flows += load.open_flows
        started += load.started
        finished += load.finished
        rejected += load.rejected
    demands = picture.demand_of(service, now)
    return Sample(
        now - (picture.age(now) or _ZERO),
        in_progress,
        total,
        reported,
        open_flows,
        started,
        finished,
        rejected,
        free,
        {key: item.openings_per_s for key, item in demands.items()},
        {key: item.refused_per_s for key, item in demands.items()},
        _count_opened(service, picture, now),
    )


def _count_opened(
    service: str,
    picture: load_reports.LoadPicture,
    now: datetime.timedelta,
) -> dict[str, float]:
    return {
        data_centre: sum(
            demand.openings - demand.refused
            for demand in summary.demands
            if demand.service == service
        )
        / summary.interval
        for data_centre, summary in picture.summaries(now).items()
        if summary.interval > 0.0
    }
