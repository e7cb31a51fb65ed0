"""Rendering of the report as a self-contained HTML page."""

import collections.abc
import datetime
import html
import io

import matplotlib
from matplotlib import figure

from acaciamoor.report import burn
from acaciamoor.report import series
from acaciamoor.report import summary as summaries

_PLOT_POINTS = 120
_STYLE = (
    'body{font-family:sans-serif;margin:2em;max-width:60em}'
    'table{border-collapse:collapse}'
    'td,th{border:1px solid #999;padding:.3em .6em;text-align:left}'
    '.missing{background:#eee;color:#555;font-style:italic}'
    '.over{background:#f8d7da}svg{max-width:100%;height:auto}'
)


def render_html(
    history: series.History,
    assessments: collections.abc.Sequence[burn.Assessment],
    summary: summaries.Summary,
) -> str:
    """Return the report as an HTML page without external resources."""
    windows = burn.Windows(
        datetime.timedelta(seconds=summary.short_window_seconds),
        datetime.timedelta(seconds=summary.long_window_seconds),
    )
    parts = [
        '<!DOCTYPE html><html lang="en"><head><meta charset="utf-8">',
        f'<title>Service levels</title><style>{_STYLE}</style></head><body>',
        '<h1>Service levels</h1>',
        f'<p>{summary.start.isoformat()} to {summary.end.isoformat()}</p>',
        _objective_table(summary),
        '<h2>Hosts</h2>',
        _host_table(summary),
        plot_host_coverage(history),
        '<h2>Draining upstreams</h2>',
        plot_draining_upstreams(history),
    ]
    for assessment in assessments:
        title = (
            f'{assessment.objective.service}: '
            f'{assessment.objective.kind.value}'
        )
        parts.append(f'<h2>{html.escape(title)}</h2>')
        parts.append(plot_burn_rate(history, assessment, windows))
    parts.append('</body></html>')
    return '\n'.join(parts)


def plot_burn_rate(
    history: series.History, assessment: burn.Assessment, windows: burn.Windows
) -> str:
    """Return a plot of the burn rates, as SVG.

    Lines are interrupted and periods shaded where data is missing.
    """
    plot = figure.Figure(figsize=(8, 2.6), layout='constrained')
    axes = plot.subplots()
    times = [
        history.start + (history.end - history.start) * index / _PLOT_POINTS
        for index in range(1, _PLOT_POINTS + 1)
    ]
    for name, length in (('short', windows.short), ('long', windows.long)):
        rates = [
            _burn_rate(history, assessment, time, length) for time in times
        ]
        axes.plot(times, rates, label=f'{name} window')
    axes.axhline(1.0, color='#999', linestyle='--')
    axes.set_ylabel('burn rate')
    axes.legend(loc='upper left')
    for start, end in _periods_without_scrapes(history):
        axes.axvspan(start, end, color='#ddd')
    return _render_svg(plot)


def plot_host_coverage(history: series.History) -> str:
    """Return a plot of the scrapes and restarts of each host, as SVG."""
    height = 0.6 + 0.3 * len(history.hosts)
    plot = figure.Figure(figsize=(8, height), layout='constrained')
    axes = plot.subplots()
    for row, host in enumerate(history.hosts):
        for item in history.intervals:
            if item.host == host and not item.is_gap:
                axes.plot([item.start, item.end], [row, row], color='#2a6')
            if item.host == host and item.has_restart:
                axes.plot([item.end], [row], marker='|', color='#c22')
    axes.set_yticks(range(len(history.hosts)), history.hosts)
    axes.set_ylim(-0.5, len(history.hosts) - 0.5)
    axes.set_xlim(history.start, history.end)
    return _render_svg(plot)


def plot_draining_upstreams(history: series.History) -> str:
    """Return a plot of the draining upstreams of each service, as SVG.

    Hosts learn about draining at different times, so the maximum over all
    hosts is shown.
    """
    plot = figure.Figure(figsize=(8, 2.0), layout='constrained')
    axes = plot.subplots()
    for service in sorted({item.service for item in history.draining}):
        times, highest = [], []
        latest_by_host: dict[str, float] = {}
        for item in history.draining:
            if item.service == service:
                latest_by_host[item.host] = item.upstreams
                times.append(item.time)
                highest.append(max(latest_by_host.values()))
        axes.step(times, highest, where='post', label=service)
    if history.draining:
        axes.legend(loc='upper left')
    axes.set_ylabel('upstreams')
    axes.set_xlim(history.start, history.end)
    return _render_svg(plot)


def _burn_rate(
    history: series.History,
    assessment: burn.Assessment,
    end: datetime.datetime,
    length: datetime.timedelta,
) -> float:
    start = max(end - length, history.start)
    if any(
        first < end <= last
        for first, last in _periods_without_scrapes(history)
    ):
        return float('nan')
    events = burn.count_events(history, assessment.objective, start, end)
    rate = events.burn_rate(assessment.objective.error_budget)
    return float('nan') if rate is None else rate


def _periods_without_scrapes(
    history: series.History,
) -> list[tuple[datetime.datetime, datetime.datetime]]:
    """Return the start and end of each period without any scrape."""
    missing = []
    covered_until = history.start
    covered = sorted(
        (item.start, item.end) for item in history.intervals if not item.is_gap
    )
    for start, end in covered:
        if start > covered_until:
            missing.append((covered_until, start))
        covered_until = max(covered_until, end)
    if covered_until < history.end:
        missing.append((covered_until, history.end))
    return missing


def _render_svg(plot: figure.Figure) -> str:
    stream = io.StringIO()
    # The fixed salt makes the output reproducible.
    with matplotlib.rc_context({'svg.hashsalt': 'acaciamoor'}):
        plot.savefig(stream, format='svg', metadata={'Date': None})
    text = stream.getvalue()
    return text[text.index('<svg') :]


def _table_cell(text: str, css_class: str = '') -> str:
    if text == summaries.NO_DATA:
        css_class = 'missing'
    attribute = f' class="{css_class}"' if css_class else ''
    return f'<td{attribute}>{html.escape(text)}</td>'


def _table_row(cells: collections.abc.Iterable[str]) -> str:
    return f'<tr>{"".join(cells)}</tr>'


def _table_header(*names: str) -> str:
    return _table_row(f'<th>{name}</th>' for name in names)


def _objective_table(summary: summaries.Summary) -> str:
    rows = [
        _table_header(
            'service', 'objective', 'limit', 'short burn', 'long burn',
            'budget left',
        )
    ]  # fmt: skip
    for item in summary.objectives:
        rates = (item.short_burn_rate, item.long_burn_rate)
        rows.append(
            _table_row(
                [
                    _table_cell(item.service),
                    _table_cell(item.kind),
                    _table_cell(f'{item.limit:g}'),
                    *(
                        _table_cell(
                            summaries.format_number(rate),
                            'over' if rate is not None and rate > 1.0 else '',
                        )
                        for rate in rates
                    ),
                    _table_cell(summaries.format_percent(item.budget_left)),
                ]
            )
        )
    return f'<table>{"".join(rows)}</table>'


def _host_table(summary: summaries.Summary) -> str:
    rows = [_table_header('host', 'short', 'long', 'all', 'gaps', 'restarts')]
    for item in summary.hosts:
        fractions = (item.short_coverage, item.long_coverage, item.coverage)
        rows.append(
            _table_row(
                [
                    _table_cell(item.host),
                    *(
                        _table_cell(
                            summaries.format_percent(fraction),
                            'missing' if fraction < 1.0 else '',
                        )
                        for fraction in fractions
                    ),
                    _table_cell(str(item.gaps)),
                    _table_cell(str(item.restarts)),
                ]
            )
        )
    return f'<table>{"".join(rows)}</table>'
