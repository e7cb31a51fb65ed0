"""Burn rates over two windows and the budget that is left.

The burn rate is the share of bad events divided by the share that the
objective allows: at 1 the budget lasts exactly for the period. A short and a
long window together tell a present problem from one that is over (Beyer et
al., "The Site Reliability Workbook", O'Reilly 2018, chapter 5).
"""

import collections.abc
import dataclasses
import datetime
import math

from acaciamoor.report import metric_names
from acaciamoor.report import objectives as objective_types
from acaciamoor.report import series


@dataclasses.dataclass(frozen=True, slots=True)
class Windows:
    """Lengths of the two windows, which end with the last scrape."""

    short: datetime.timedelta = datetime.timedelta(minutes=5)
    long: datetime.timedelta = datetime.timedelta(hours=1)


@dataclasses.dataclass(frozen=True, slots=True)
class Events:
    """Events in a window; None stands for missing data, never for zero."""

    total: float | None
    bad: float | None

    def burn_rate(self, allowed_bad_share: float) -> float | None:
        """Return the burn rate, or None without data or events."""
        if self.total is None or self.bad is None or self.total <= 0.0:
            return None
        return self.bad / self.total / allowed_bad_share


@dataclasses.dataclass(frozen=True, slots=True)
class Assessment:
    """How one objective is met.

    Parameters
    ----------
    objective : Objective
        The objective.
    short, long, period : Events
        Events in the two windows and in all data.
    p99_s : float or None
        Upper bound of the 99th percentile in the long window, in seconds;
        only for that kind of objective.
    """

    objective: objective_types.Objective
    short: Events
    long: Events
    period: Events
    p99_s: float | None = None

    @property
    def short_burn(self) -> float | None:
        """Burn rate over the short window."""
        return self.short.burn_rate(self.objective.allowed_bad_share)

    @property
    def long_burn(self) -> float | None:
        """Burn rate over the long window."""
        return self.long.burn_rate(self.objective.allowed_bad_share)

    @property
    def budget_left(self) -> float | None:
        """Share of the budget of all data that is left; may be negative."""
        spent = self.period.burn_rate(self.objective.allowed_bad_share)
        return None if spent is None else 1.0 - spent


def assess(
    history: series.History,
    objectives: collections.abc.Iterable[objective_types.Objective],
    windows: Windows,
) -> tuple[Assessment, ...]:
    """Return the assessment of every objective."""
    end = history.end
    return tuple(
        Assessment(
            objective,
            events(history, objective, end - windows.short, end),
            events(history, objective, end - windows.long, end),
            events(history, objective, history.start, end),
            _p99(history, objective, end - windows.long, end),
        )
        for objective in sorted(
            objectives, key=lambda item: (item.service, item.kind.value)
        )
    )


def events(
    history: series.History,
    objective: objective_types.Objective,
    start: datetime.datetime,
    end: datetime.datetime,
) -> Events:
    """Return the events that count for `objective` in a window."""
    return _COUNTERS_BY_KIND[objective.kind](history, objective, start, end)


def _availability(history, objective, start, end) -> Events:
    labels = {metric_names.SERVICE_LABEL: objective.service}
    total = history.increase(metric_names.REQUESTS, labels, start, end)
    if total is None:
        return Events(None, None)
    labels[metric_names.OUTCOME_LABEL] = metric_names.ANSWERED
    # Without a series of answered requests none was answered.
    answered = history.increase(metric_names.REQUESTS, labels, start, end)
    return Events(total, total - (answered or 0.0))


def _broken_flows(history, objective, start, end) -> Events:
    labels = {metric_names.SERVICE_LABEL: objective.service}
    opened = history.increase(metric_names.STREAMS_OPENED, labels, start, end)
    broken = history.increase(metric_names.STREAMS_BROKEN, labels, start, end)
    return Events(opened, broken)


def _short_work(history, objective, start, end) -> Events:
    counts = _bucket_counts(history, objective, start, end)
    if not counts:
        return Events(None, None)
    # The largest bucket within the limit, so that work between it and the
    # limit counts as bad rather than as good.
    good = max(
        (count for bound, count in counts if bound <= objective.limit),
        default=0.0,
    )
    total = counts[-1][1]
    return Events(total, total - good)


def _p99(history, objective, start, end) -> float | None:
    if objective.kind is not objective_types.ObjectiveKind.SHORT_WORK_P99:
        return None
    counts = _bucket_counts(history, objective, start, end)
    if not counts or counts[-1][1] <= 0.0:
        return None
    wanted = objective_types.P99_SHARE * counts[-1][1]
    return next(bound for bound, count in counts if count >= wanted)


def _bucket_counts(
    history, objective, start, end
) -> list[tuple[float, float]]:
    labels = {metric_names.SERVICE_LABEL: objective.service}
    bounds = history.label_values(
        metric_names.SHORT_WORK_BUCKET, metric_names.BUCKET_LABEL, labels
    )
    counts = []
    for bound in bounds:
        bucket = labels | {metric_names.BUCKET_LABEL: bound}
        count = history.increase(
            metric_names.SHORT_WORK_BUCKET, bucket, start, end
        )
        if count is not None:
            counts.append((float(bound), count))
    counts.sort()
    return counts if counts and math.isinf(counts[-1][0]) else []


_COUNTERS_BY_KIND = {
    objective_types.ObjectiveKind.AVAILABILITY: _availability,
    objective_types.ObjectiveKind.BROKEN_FLOWS: _broken_flows,
    objective_types.ObjectiveKind.SHORT_WORK_P99: _short_work,
}
