"""The report as typed values, and as text and JSON."""

import collections.abc
import datetime

import msgspec

from acaciamoor.report import burn
from acaciamoor.report import series

NO_DATA = 'no data'


class ObjectiveRow(msgspec.Struct, frozen=True):
    """One objective; null stands for missing data."""

    service: str
    kind: str
    limit: float
    short_burn_rate: float | None
    long_burn_rate: float | None
    budget_left: float | None
    events: float | None
    bad_events: float | None
    p99_seconds: float | None


class HostRow(msgspec.Struct, frozen=True):
    """One host and the share of each window in which it was scraped."""

    host: str
    short_coverage: float
    long_coverage: float
    coverage: float
    restarts: int
    gaps: int


class Summary(msgspec.Struct, frozen=True):
    """The whole report."""

    start: datetime.datetime
    end: datetime.datetime
    short_window_seconds: float
    long_window_seconds: float
    objectives: tuple[ObjectiveRow, ...]
    hosts: tuple[HostRow, ...]


def summarize(
    history: series.History,
    assessments: collections.abc.Iterable[burn.Assessment],
    windows: burn.Windows,
) -> Summary:
    """Return the report."""
    return Summary(
        history.start,
        history.end,
        windows.short.total_seconds(),
        windows.long.total_seconds(),
        tuple(_objective_row(item) for item in assessments),
        tuple(_host_row(history, host, windows) for host in history.hosts),
    )


def as_json(summary: Summary) -> str:
    """Return the report as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(summary)).decode()


def as_text(summary: Summary) -> str:
    """Return the report as text."""
    lines = [f'{summary.start.isoformat()} to {summary.end.isoformat()}', '']
    for row in summary.objectives:
        lines.append(
            f'{row.service} {row.kind} {row.limit:g}: '
            f'burn {shown(row.short_burn_rate)} short, '
            f'{shown(row.long_burn_rate)} long; '
            f'budget left {percent(row.budget_left)}'
        )
    lines.append('')
    for host in summary.hosts:
        lines.append(
            f'{host.host}: scraped {percent(host.short_coverage)} of the '
            f'short and {percent(host.long_coverage)} of the long window, '
            f'{host.gaps} gaps, {host.restarts} restarts'
        )
    return '\n'.join(lines)


def shown(value: float | None) -> str:
    """Return a number, or the words for missing data."""
    return NO_DATA if value is None else f'{value:.2f}'


def percent(value: float | None) -> str:
    """Return a share in per cent, or the words for missing data."""
    return NO_DATA if value is None else f'{100.0 * value:.1f}%'


def _objective_row(item: burn.Assessment) -> ObjectiveRow:
    return ObjectiveRow(
        item.objective.service,
        item.objective.kind.value,
        item.objective.limit,
        item.short_burn,
        item.long_burn,
        item.budget_left,
        item.period.total,
        item.period.bad,
        item.p99_s,
    )


def _host_row(
    history: series.History, host: str, windows: burn.Windows
) -> HostRow:
    end = history.end
    own = [item for item in history.intervals if item.host == host]
    return HostRow(
        host,
        history.coverage(host, end - windows.short, end),
        history.coverage(host, end - windows.long, end),
        history.coverage(host, history.start, end),
        sum(item.is_restart for item in own),
        sum(item.is_gap for item in own),
    )
