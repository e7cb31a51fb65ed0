"""Table of the counters of the callers."""

import collections.abc

_ROWS = (
    'streams opened',
    'stream replies',
    'stream retries',
    'requests',
    'complete',
    'not run',
    'outcome unknown',
    'unanswered',
    'retransmissions',
    'p50 ms',
    'p99 ms',
)
GUARANTEES = (
    'broken streams',
    'crossed answers',
    'wrong service',
    'double runs',
    'false not run',
)
CallerCounters = collections.abc.Mapping[str, object]


def render(
    counters_by_service: collections.abc.Mapping[str, CallerCounters],
) -> str:
    """Render the callers' counters, with one column for each service.

    Examples
    --------
    >>> print(render({'desk': {'requests': 2}}).splitlines()[0].split())
    ['desk']
    """
    names = list(counters_by_service)
    width = max(16, *(len(name) + 2 for name in names))
    lines = [_format_line('', names, width)]
    for row in (*_ROWS, *GUARANTEES):
        values = [
            _format_cell(counters_by_service[name].get(row, 0))
            for name in names
        ]
        lines.append(_format_line(row, values, width))
    return '\n'.join(lines)


def count_violations(counters: CallerCounters) -> int:
    """Return the number of violated guarantees to callers of a service."""
    return sum(int(counters.get(guarantee, 0)) for guarantee in GUARANTEES)


def _format_line(
    title: str, values: collections.abc.Iterable[str], width: int
) -> str:
    return f'{title:<18}' + ''.join(f'{value:>{width}}' for value in values)


def _format_cell(value: object) -> str:
    if isinstance(value, collections.abc.Mapping):
        return str(sum(value.values()))
    return str(value)
