"""Counters over time, with restarts and gaps."""

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
# A longer pause between two scrapes of a host than this many usual intervals
# is a gap.
_GAP_INTERVALS = 2.5


@dataclasses.dataclass(frozen=True, slots=True)
class Interval:
    """What one host counted between two of its scrapes.

    Parameters
    ----------
    host : str
        The host.
    start, end : datetime.datetime
        Times of the two scrapes.
    increases : Mapping
        Increase of each counter.
    is_gap : bool
        Whether scrapes are missing in between. The increase is then right in
        sum, but not known over time.
    is_restart : bool
        Whether a counter went back: the host restarted, and what it counted
        between its first scrape and the restart is lost.
    """

    host: str
    start: datetime.datetime
    end: datetime.datetime
    increases: Values
    is_gap: bool
    is_restart: bool

    def share_within(
        self, start: datetime.datetime, end: datetime.datetime
    ) -> float:
        """Return the share of this interval that lies in a window."""
        overlap = min(self.end, end) - max(self.start, start)
        if overlap <= datetime.timedelta(0):
            return 0.0
        return overlap / (self.end - self.start)


@dataclasses.dataclass(frozen=True, slots=True)
class DrainingSample:
    """Draining upstreams of a service as one host reported them."""

    time: datetime.datetime
    host: str
    service: str
    upstreams: float


class History:
    """All intervals of all hosts.

    Parameters
    ----------
    scrapes : iterable of Scrape
        Scrapes in order of time.

    Attributes
    ----------
    hosts : tuple of str
        All hosts, also those that never answered.
    start, end : datetime.datetime
        Times of the first and the last scrape.
    interval : datetime.timedelta
        Usual time between scrapes.
    draining : tuple of DrainingSample
        Draining upstreams by scrape, in order of time.

    Raises
    ------
    ValueError
        Without scrapes.
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
        self.interval = _usual_interval(scrapes)
        self.draining = tuple(
            sample
            for item in sorted(scrapes, key=lambda item: item.time)
            for sample in _draining_samples(item)
        )
        self.intervals: list[Interval] = []
        for host in self.hosts:
            self._add(host, [item for item in scrapes if item.host == host])

    def coverage(
        self, host: str, start: datetime.datetime, end: datetime.datetime
    ) -> float:
        """Return the share of a window in which `host` was scraped."""
        covered = sum(
            (
                (min(item.end, end) - max(item.start, start))
                for item in self.intervals
                if item.host == host
                and not item.is_gap
                and item.share_within(start, end) > 0.0
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
        """Return the increase of a metric in a window over all hosts.

        None if no host has the metric in the window, which is not the same
        as no increase.
        """
        wanted = frozenset(labels.items())
        total = None
        for item in self.intervals:
            share = item.share_within(start, end)
            if share <= 0.0:
                continue
            for (name, found), value in item.increases.items():
                if name == metric and wanted <= found:
                    total = (total or 0.0) + share * value
        return total

    def label_values(
        self, metric: str, label: str, labels: dict[str, str]
    ) -> tuple[str, ...]:
        """Return the values of one label among series with `labels`."""
        wanted = frozenset(labels.items())
        return tuple(
            sorted(
                {
                    dict(found)[label]
                    for item in self.intervals
                    for name, found in item.increases
                    if name == metric
                    and wanted <= found
                    and label in dict(found)
                }
            )
        )

    def _add(
        self, host: str, scrapes: collections.abc.Sequence[scrape_types.Scrape]
    ) -> None:
        before: tuple[datetime.datetime, Values] | None = None
        missing = False
        for scrape in scrapes:
            if scrape.text is None:
                missing = True
                continue
            values = parse_counters(scrape.text)
            if before is not None and scrape.time > before[0]:
                pause = scrape.time - before[0]
                self.intervals.append(
                    Interval(
                        host,
                        before[0],
                        scrape.time,
                        _increases(before[1], values),
                        missing or pause > _GAP_INTERVALS * self.interval,
                        _has_restarted(before[1], values),
                    )
                )
            before, missing = (scrape.time, values), False


def parse_counters(text: str) -> Values:
    """Return the counters that the report needs, by name and labels."""
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


def _has_restarted(before: Values, after: Values) -> bool:
    return any(after.get(key, 0.0) < value for key, value in before.items())


def _increases(before: Values, after: Values) -> Values:
    # A counter that goes back started again from zero. All counters of a
    # process restart together, so one that went back resets the others.
    if _has_restarted(before, after):
        return dict(after)
    return {key: value - before.get(key, 0.0) for key, value in after.items()}


def _usual_interval(
    scrapes: collections.abc.Iterable[scrape_types.Scrape],
) -> datetime.timedelta:
    times_by_host: dict[str, list[datetime.datetime]] = (
        collections.defaultdict(list)
    )
    for scrape in scrapes:
        times_by_host[scrape.host].append(scrape.time)
    pauses = [
        later - earlier
        for times in times_by_host.values()
        for earlier, later in itertools.pairwise(times)
    ]
    return statistics.median(pauses) if pauses else datetime.timedelta(0)
