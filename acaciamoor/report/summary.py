"""Summary of the report, and its rendering as text and JSON."""

import collections.abc
import datetime

import msgspec

from acaciamoor.report import burn
from acaciamoor.report import series

NO_DATA = 'no data'


class ObjectiveRow(msgspec.Struct, frozen=True):
    """Assessment of one objective; None means missing data."""

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
    """Scrape coverage of one host, as fractions of the windows."""

    host: str
    short_coverage: float
    long_coverage: float
    coverage: float
    restarts: int
    gaps: int


class Summary(msgspec.Struct, frozen=True):
    """Content of the report."""

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
    """Return the summary of a history and its assessments."""
    return Summary(
        history.start,
        history.end,
        windows.short.total_seconds(),
        windows.long.total_seconds(),
        tuple(_objective_row(item) for item in assessments),
        tuple(_host_row(history, host, windows) for host in history.hosts),
    )


def render_json(summary: Summary) -> str:
    """Return the summary as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(summary)).decode()


def render_text(summary: Summary) -> str:
    """Return the summary as plain text."""
    lines = [f'{summary.start.isoformat()} to {summary.end.isoformat()}', '']
    for row in summary.objectives:
        lines.append(
            f'{row.service} {row.kind} {row.limit:g}: '
            f'burn {format_number(row.short_burn_rate)} short, '
            f'{format_number(row.long_burn_rate)} long; '
            f'budget left {format_percent(row.budget_left)}'
        )
    lines.append('')
    for host in summary.hosts:
        lines.append(
            f'{host.host}: scraped '
            f'{format_percent(host.short_coverage)} of the short and '
            f'{format_percent(host.long_coverage)} of the long window, '
            f'{host.gaps} gaps, {host.restarts} restarts'
        )
    return '\n'.join(lines)


def format_number(value: float | None) -> str:
    """Return a number with two decimals, or `NO_DATA` for None."""
    return NO_DATA if value is None else f'{value:.2f}'


def format_percent(value: float | None) -> str:
    """Return a fraction as a percentage, or `NO_DATA` for None."""
    return NO_DATA if value is None else f'{100.0 * value:.1f}%'


def _objective_row(item: burn.Assessment) -> ObjectiveRow:
    return ObjectiveRow(
        item.objective.service,
        item.objective.kind.value,
        item.objective.limit,
        item.short_burn_rate,
        item.long_burn_rate,
        item.budget_left,
        item.period.total,
        item.period.bad,
        item.p99_seconds,
    )


def _host_row(
    history: series.History, host: str, windows: burn.Windows
) -> HostRow:
    end = history.end
    host_intervals = [item for item in history.intervals if item.host == host]
    return HostRow(
        host,
        history.coverage(host, end - windows.short, end),
        history.coverage(host, end - windows.long, end),
        history.coverage(host, history.start, end),
        sum(item.has_restart for item in host_intervals),
        sum(item.is_gap for item in host_intervals),
    )
