"""Table of what the callers saw."""

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
PROMISES = (
    'broken streams',
    'crossed answers',
    'wrong service',
    'double runs',
    'false not run',
)
Seen = collections.abc.Mapping[str, object]


def render(seen_by_service: collections.abc.Mapping[str, Seen]) -> str:
    """Return the table of what callers saw, one column for each service.

    Examples
    --------
    >>> print(render({'desk': {'requests': 2}}).splitlines()[0].split())
    ['desk']
    """
    names = list(seen_by_service)
    width = max(16, *(len(name) + 2 for name in names))
    lines = [_line('', names, width)]
    for row in (*_ROWS, *PROMISES):
        values = [_cell(seen_by_service[name].get(row, 0)) for name in names]
        lines.append(_line(row, values, width))
    return '\n'.join(lines)


def broken_promises(seen: Seen) -> int:
    """Return how many promises to the callers of a service were broken."""
    return sum(int(seen.get(promise, 0)) for promise in PROMISES)


def _line(
    title: str, values: collections.abc.Iterable[str], width: int
) -> str:
    return f'{title:<18}' + ''.join(f'{value:>{width}}' for value in values)


def _cell(value: object) -> str:
    if isinstance(value, collections.abc.Mapping):
        return str(sum(value.values()))
    return str(value)
