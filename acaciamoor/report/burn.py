"""Burn rates of error budgets over two windows, and the remaining budgets.

The burn rate is the fraction of bad events divided by the fraction that the
objective allows. At a rate of 1, the budget is used up exactly at the end of
the period. Comparing a short and a long window distinguishes an ongoing
problem from one that is over (Beyer et al., "The Site Reliability Workbook",
O'Reilly 2018, chapter 5).
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
    """Lengths of the two windows, both of which end at the last scrape."""

    short: datetime.timedelta = datetime.timedelta(minutes=5)
    long: datetime.timedelta = datetime.timedelta(hours=1)


@dataclasses.dataclass(frozen=True, slots=True)
class Events:
    """Numbers of events in a window; None means missing data, not zero."""

    total: float | None
    bad: float | None

    def burn_rate(self, error_budget: float) -> float | None:
        """Return the burn rate, or None if there are no data or no events."""
        if self.total is None or self.bad is None or self.total <= 0.0:
            return None
        return self.bad / self.total / error_budget


@dataclasses.dataclass(frozen=True, slots=True)
class Assessment:
    """Result of evaluating one objective.

    Parameters
    ----------
    objective : Objective
        Objective that was evaluated.
    short, long, period : Events
        Events in the short window, the long window and the whole history.
    p99_seconds : float or None
        Upper bound of the 99th percentile in the long window, in seconds;
        None for other kinds of objectives or without data.
    """

    objective: objective_types.Objective
    short: Events
    long: Events
    period: Events
    p99_seconds: float | None = None

    @property
    def short_burn_rate(self) -> float | None:
        """Burn rate over the short window."""
        return self.short.burn_rate(self.objective.error_budget)

    @property
    def long_burn_rate(self) -> float | None:
        """Burn rate over the long window."""
        return self.long.burn_rate(self.objective.error_budget)

    @property
    def budget_left(self) -> float | None:
        """Remaining fraction of the error budget of the whole history.

        Negative if the budget is overspent, and None without data.
        """
        consumed = self.period.burn_rate(self.objective.error_budget)
        return None if consumed is None else 1.0 - consumed


def assess(
    history: series.History,
    objectives: collections.abc.Iterable[objective_types.Objective],
    windows: Windows,
) -> tuple[Assessment, ...]:
    """Return the assessments of all objectives, by service and kind."""
    end = history.end
    return tuple(
        Assessment(
            objective,
            count_events(history, objective, end - windows.short, end),
            count_events(history, objective, end - windows.long, end),
            count_events(history, objective, history.start, end),
            _p99_upper_bound(history, objective, end - windows.long, end),
        )
        for objective in sorted(
            objectives, key=lambda item: (item.service, item.kind.value)
        )
    )


def count_events(
    history: series.History,
    objective: objective_types.Objective,
    start: datetime.datetime,
    end: datetime.datetime,
) -> Events:
    """Return the events in a window that are relevant to `objective`."""
    return _COUNTERS_BY_KIND[objective.kind](history, objective, start, end)


def _count_unanswered_requests(history, objective, start, end) -> Events:
    labels = {metric_names.SERVICE_LABEL: objective.service}
    total = history.increase(metric_names.REQUESTS, labels, start, end)
    if total is None:
        return Events(None, None)
    labels[metric_names.OUTCOME_LABEL] = metric_names.ANSWERED
    # If the series of answered requests is absent, none was answered.
    answered = history.increase(metric_names.REQUESTS, labels, start, end)
    return Events(total, total - (answered or 0.0))


def _count_broken_flows(history, objective, start, end) -> Events:
    labels = {metric_names.SERVICE_LABEL: objective.service}
    opened = history.increase(metric_names.STREAMS_OPENED, labels, start, end)
    broken = history.increase(metric_names.STREAMS_BROKEN, labels, start, end)
    return Events(opened, broken)


def _count_slow_work(history, objective, start, end) -> Events:
    counts = _cumulative_bucket_counts(history, objective, start, end)
    if not counts:
        return Events(None, None)
    # Requests between the largest bucket bound within the limit and the limit
    # itself count as bad, so that the result is never too optimistic.
    good = max(
        (count for bound, count in counts if bound <= objective.limit),
        default=0.0,
    )
    total = counts[-1][1]
    return Events(total, total - good)


def _p99_upper_bound(history, objective, start, end) -> float | None:
    if objective.kind is not objective_types.ObjectiveKind.SHORT_WORK_P99:
        return None
    counts = _cumulative_bucket_counts(history, objective, start, end)
    if not counts or counts[-1][1] <= 0.0:
        return None
    required_count = objective_types.P99_QUANTILE * counts[-1][1]
    return next(bound for bound, count in counts if count >= required_count)


def _cumulative_bucket_counts(
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
    objective_types.ObjectiveKind.AVAILABILITY: _count_unanswered_requests,
    objective_types.ObjectiveKind.BROKEN_FLOWS: _count_broken_flows,
    objective_types.ObjectiveKind.SHORT_WORK_P99: _count_slow_work,
}
