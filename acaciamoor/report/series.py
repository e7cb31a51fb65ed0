"""Counter increases over time, with restarts of hosts and gaps in scrapes."""

import collections
import collections.abc
import dataclasses
import datetime
import itertools
import statistics

from prometheus_client import parser

from acaciamoor.report import metric_names
from acaciamoor.report import scrapes as scrape_types

Labels = frozenset[tuple[str, str]]
Key = tuple[str, Labels]
Values = collections.abc.Mapping[Key, float]
# Two scrapes of a host that are further apart than this multiple of the median
# interval have a gap between them.
_MAX_INTERVALS_WITHOUT_GAP = 2.5


@dataclasses.dataclass(frozen=True, slots=True)
class Interval:
    """Counter increases of one host between two consecutive scrapes.

    Parameters
    ----------
    host : str
        Identifier of the host.
    start, end : datetime.datetime
        Times of the two scrapes.
    increases : Mapping
        Increase of each counter.
    is_gap : bool
        Whether scrapes are missing in between. The total increase is then
        correct, but its distribution over the interval is unknown.
    has_restart : bool
        Whether a counter decreased because the host restarted. Increases
        between the first scrape and the restart are lost.
    """

    host: str
    start: datetime.datetime
    end: datetime.datetime
    increases: Values
    is_gap: bool
    has_restart: bool

    def overlap_fraction(
        self, start: datetime.datetime, end: datetime.datetime
    ) -> float:
        """Return the fraction of this interval that lies in a window."""
        overlap = min(self.end, end) - max(self.start, start)
        if overlap <= datetime.timedelta(0):
            return 0.0
        return overlap / (self.end - self.start)


@dataclasses.dataclass(frozen=True, slots=True)
class DrainingSample:
    """Number of draining upstreams of a service, as reported by one host."""

    time: datetime.datetime
    host: str
    service: str
    upstreams: float


class History:
    """Counter increases of all hosts over the time of the report.

    Parameters
    ----------
    scrapes : iterable of Scrape
        Scrapes in chronological order.

    Attributes
    ----------
    hosts : tuple of str
        All hosts, including those without a successful scrape.
    start, end : datetime.datetime
        Times of the first and the last scrape.
    median_interval : datetime.timedelta
        Median time between two scrapes of a host.
    draining : tuple of DrainingSample
        Numbers of draining upstreams, in chronological order.
    intervals : list of Interval
        Intervals between consecutive scrapes, by host.

    Raises
    ------
    ValueError
        If there are no scrapes.
    """

    def __init__(
        self, scrapes: collections.abc.Iterable[scrape_types.Scrape]
    ) -> None:
        scrapes = tuple(scrapes)
        if not scrapes:
            raise ValueError('there are no scrapes')
        self.hosts = tuple(sorted({item.host for item in scrapes}))
        times = sorted({item.time for item in scrapes})
        self.start, self.end = times[0], times[-1]
        self.median_interval = _median_interval(scrapes)
        self.draining = tuple(
            sample
            for item in sorted(scrapes, key=lambda item: item.time)
            for sample in _draining_samples(item)
        )
        self.intervals: list[Interval] = []
        for host in self.hosts:
            self._add_intervals(
                host, [item for item in scrapes if item.host == host]
            )

    def coverage(
        self, host: str, start: datetime.datetime, end: datetime.datetime
    ) -> float:
        """Return the fraction of a window that scrapes of `host` cover."""
        covered = sum(
            (
                (min(item.end, end) - max(item.start, start))
                for item in self.intervals
                if item.host == host
                and not item.is_gap
                and item.overlap_fraction(start, end) > 0.0
            ),
            start=datetime.timedelta(0),
        )
        length = end - start
        return covered / length if length else 0.0

    def increase(
        self,
        metric: str,
        labels: collections.abc.Mapping[str, str],
        start: datetime.datetime,
        end: datetime.datetime,
    ) -> float | None:
        """Return the increase of a metric in a window, summed over all hosts.

        None means that no host exposed the metric in the window, as opposed to
        an increase of 0.
        """
        required_labels = frozenset(labels.items())
        total = None
        for item in self.intervals:
            fraction = item.overlap_fraction(start, end)
            if fraction <= 0.0:
                continue
            for (name, series_labels), value in item.increases.items():
                if name == metric and required_labels <= series_labels:
                    total = (total or 0.0) + fraction * value
        return total

    def label_values(
        self, metric: str, label: str, labels: dict[str, str]
    ) -> tuple[str, ...]:
        """Return the values of `label` in the series that have `labels`."""
        required_labels = frozenset(labels.items())
        return tuple(
            sorted(
                {
                    dict(series_labels)[label]
                    for item in self.intervals
                    for name, series_labels in item.increases
                    if name == metric
                    and required_labels <= series_labels
                    and label in dict(series_labels)
                }
            )
        )

    def _add_intervals(
        self, host: str, scrapes: collections.abc.Sequence[scrape_types.Scrape]
    ) -> None:
        previous: tuple[datetime.datetime, Values] | None = None
        scrape_failed = False
        for scrape in scrapes:
            if scrape.text is None:
                scrape_failed = True
                continue
            values = parse_counters(scrape.text)
            if previous is not None and scrape.time > previous[0]:
                elapsed = scrape.time - previous[0]
                self.intervals.append(
                    Interval(
                        host,
                        previous[0],
                        scrape.time,
                        _increases(previous[1], values),
                        scrape_failed
                        or elapsed
                        > _MAX_INTERVALS_WITHOUT_GAP * self.median_interval,
                        _has_restarted(previous[1], values),
                    )
                )
            previous, scrape_failed = (scrape.time, values), False


def parse_counters(text: str) -> Values:
    """Return the counters in `text` that the report uses.

    The keys are the name and the labels of each series.
    """
    values: dict[Key, float] = collections.defaultdict(float)
    for family in parser.text_string_to_metric_families(text):
        for sample in family.samples:
            if sample.name in metric_names.ALL:
                key = (sample.name, frozenset(sample.labels.items()))
                values[key] += sample.value
    return dict(values)


def _draining_samples(
    scrape: scrape_types.Scrape,
) -> collections.abc.Iterator[DrainingSample]:
    for family in parser.text_string_to_metric_families(scrape.text or ''):
        for sample in family.samples:
            if sample.name == metric_names.DRAINING:
                service = sample.labels[metric_names.SERVICE_LABEL]
                yield DrainingSample(
                    scrape.time, scrape.host, service, sample.value
                )


def _has_restarted(previous: Values, current: Values) -> bool:
    return any(
        current.get(key, 0.0) < value for key, value in previous.items()
    )


def _increases(previous: Values, current: Values) -> Values:
    # A counter that decreased was reset to zero by a restart, which resets all
    # counters of the process at the same time.
    if _has_restarted(previous, current):
        return dict(current)
    return {
        key: value - previous.get(key, 0.0) for key, value in current.items()
    }


def _median_interval(
    scrapes: collections.abc.Iterable[scrape_types.Scrape],
) -> datetime.timedelta:
    times_by_host: dict[str, list[datetime.datetime]] = (
        collections.defaultdict(list)
    )
    for scrape in scrapes:
        times_by_host[scrape.host].append(scrape.time)
    intervals = [
        later - earlier
        for times in times_by_host.values()
        for earlier, later in itertools.pairwise(times)
    ]
    return statistics.median(intervals) if intervals else datetime.timedelta(0)
