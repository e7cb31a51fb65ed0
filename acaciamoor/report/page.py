"""The report as one self-contained HTML page."""

import collections.abc
import datetime
import html
import io

import matplotlib
from matplotlib import figure

from acaciamoor.report import burn
from acaciamoor.report import series
from acaciamoor.report import summary as summaries

# Points of a plot.
_POINTS = 120
_STYLE = (
    'body{font-family:sans-serif;margin:2em;max-width:60em}'
    'table{border-collapse:collapse}'
    'td,th{border:1px solid #999;padding:.3em .6em;text-align:left}'
    '.missing{background:#eee;color:#555;font-style:italic}'
    '.over{background:#f8d7da}svg{max-width:100%;height:auto}'
)


def as_html(
    history: series.History,
    assessments: collections.abc.Sequence[burn.Assessment],
    summary: summaries.Summary,
) -> str:
    """Return the page; it refers to nothing outside itself."""
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
        host_plot(history),
        '<h2>Draining upstreams</h2>',
        draining_plot(history),
    ]
    for item in assessments:
        title = f'{item.objective.service}: {item.objective.kind.value}'
        parts.append(f'<h2>{html.escape(title)}</h2>')
        parts.append(burn_plot(history, item, windows))
    parts.append('</body></html>')
    return '\n'.join(parts)


def burn_plot(
    history: series.History, item: burn.Assessment, windows: burn.Windows
) -> str:
    """Return a plot of the burn rate; missing data breaks the line."""
    drawing = figure.Figure(figsize=(8, 2.6), layout='constrained')
    axes = drawing.subplots()
    times = [
        history.start + (history.end - history.start) * index / _POINTS
        for index in range(1, _POINTS + 1)
    ]
    for name, length in (('short', windows.short), ('long', windows.long)):
        rates = [_rate(history, item, time, length) for time in times]
        axes.plot(times, rates, label=f'{name} window')
    axes.axhline(1.0, color='#999', linestyle='--')
    axes.set_ylabel('burn rate')
    axes.legend(loc='upper left')
    for start, end in _all_missing(history):
        axes.axvspan(start, end, color='#ddd')
    return _svg(drawing)


def host_plot(history: series.History) -> str:
    """Return a plot of when each host was scraped."""
    height = 0.6 + 0.3 * len(history.hosts)
    drawing = figure.Figure(figsize=(8, height), layout='constrained')
    axes = drawing.subplots()
    for row, host in enumerate(history.hosts):
        for item in history.intervals:
            if item.host == host and not item.is_gap:
                axes.plot([item.start, item.end], [row, row], color='#2a6')
            if item.host == host and item.is_restart:
                axes.plot([item.end], [row], marker='|', color='#c22')
    axes.set_yticks(range(len(history.hosts)), history.hosts)
    axes.set_ylim(-0.5, len(history.hosts) - 0.5)
    axes.set_xlim(history.start, history.end)
    return _svg(drawing)


def draining_plot(history: series.History) -> str:
    """Return a plot of the draining upstreams of each service.

    Hosts learn of a drain at different times, so the highest number of any
    host counts.
    """
    drawing = figure.Figure(figsize=(8, 2.0), layout='constrained')
    axes = drawing.subplots()
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
    return _svg(drawing)


def _rate(
    history: series.History,
    item: burn.Assessment,
    end: datetime.datetime,
    length: datetime.timedelta,
) -> float:
    start = max(end - length, history.start)
    if any(first < end <= last for first, last in _all_missing(history)):
        return float('nan')
    found = burn.events(history, item.objective, start, end)
    rate = found.burn_rate(item.objective.allowed_bad_share)
    return float('nan') if rate is None else rate


def _all_missing(
    history: series.History,
) -> list[tuple[datetime.datetime, datetime.datetime]]:
    """Return the times in which no host was scraped."""
    missing = []
    reached = history.start
    covered = sorted(
        (item.start, item.end) for item in history.intervals if not item.is_gap
    )
    for start, end in covered:
        if start > reached:
            missing.append((reached, start))
        reached = max(reached, end)
    if reached < history.end:
        missing.append((reached, history.end))
    return missing


def _svg(drawing: figure.Figure) -> str:
    stream = io.StringIO()
    # A fixed salt keeps the page equal for equal data.
    with matplotlib.rc_context({'svg.hashsalt': 'acaciamoor'}):
        drawing.savefig(stream, format='svg', metadata={'Date': None})
    text = stream.getvalue()
    return text[text.index('<svg') :]


def _cell(text: str, css: str = '') -> str:
    if text == summaries.NO_DATA:
        css = 'missing'
    attribute = f' class="{css}"' if css else ''
    return f'<td{attribute}>{html.escape(text)}</td>'


def _row(cells: collections.abc.Iterable[str]) -> str:
    return f'<tr>{"".join(cells)}</tr>'


def _head(*names: str) -> str:
    return _row(f'<th>{name}</th>' for name in names)


def _objective_table(summary: summaries.Summary) -> str:
    rows = [
        _head(
            'service', 'objective', 'limit', 'short burn', 'long burn',
            'budget left',
        )
    ]  # fmt: skip
    for item in summary.objectives:
        rates = (item.short_burn_rate, item.long_burn_rate)
        rows.append(
            _row(
                [
                    _cell(item.service),
                    _cell(item.kind),
                    _cell(f'{item.limit:g}'),
                    *(
                        _cell(
                            summaries.shown(rate),
                            'over' if rate is not None and rate > 1.0 else '',
                        )
                        for rate in rates
                    ),
                    _cell(summaries.percent(item.budget_left)),
                ]
            )
        )
    return f'<table>{"".join(rows)}</table>'


def _host_table(summary: summaries.Summary) -> str:
    rows = [_head('host', 'short', 'long', 'all', 'gaps', 'restarts')]
    for item in summary.hosts:
        shares = (item.short_coverage, item.long_coverage, item.coverage)
        rows.append(
            _row(
                [
                    _cell(item.host),
                    *(
                        _cell(
                            summaries.percent(share),
                            'missing' if share < 1.0 else '',
                        )
                        for share in shares
                    ),
                    _cell(str(item.gaps)),
                    _cell(str(item.restarts)),
                ]
            )
        )
    return f'<table>{"".join(rows)}</table>'
