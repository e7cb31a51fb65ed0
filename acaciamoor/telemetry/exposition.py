"""Counters and histograms in the Prometheus text format.

OpenTelemetry's SDK and prometheus_client each take 0.13 s of processor time to
import and 14 MB, which a process on the data path cannot spend at its start.
This module has the same metrics model for counters, gauges and histograms
with fixed bounds.
"""

import bisect
import collections
import collections.abc

CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'
Labels = tuple[tuple[str, str], ...]


class Counter:
    """A number that only grows, for each set of labels.

    Examples
    --------
    >>> counter = Counter('packets_total', 'Packets.')
    >>> counter.add(outcome='forwarded')
    >>> print(*counter.lines(), sep=chr(10))
    # HELP packets_total Packets.
    # TYPE packets_total counter
    packets_total{outcome="forwarded"} 1
    """

    def __init__(self, name: str, description: str) -> None:
        self._name = name
        self._description = description
        self._values_by_labels: collections.Counter[Labels] = (
            collections.Counter()
        )

    def add(self, amount: int = 1, **labels: str) -> None:
        """Count `amount` more."""
        self._values_by_labels[tuple(labels.items())] += amount

    def value(self, **labels: str) -> int:
        """Return the present number."""
        return self._values_by_labels[tuple(labels.items())]

    def lines(self) -> collections.abc.Iterator[str]:
        """Yield the lines of the text format."""
        yield from _head(self._name, self._description, 'counter')
        for labels, value in self._values_by_labels.items():
            yield f'{self._name}{_labels(labels)} {value}'


class Gauge:
    """A number that is read when the metrics are."""

    def __init__(
        self,
        name: str,
        description: str,
        read: collections.abc.Callable[[], float],
    ) -> None:
        self._name = name
        self._description = description
        self._read = read

    def lines(self) -> collections.abc.Iterator[str]:
        """Yield the lines of the text format."""
        yield from _head(self._name, self._description, 'gauge')
        yield f'{self._name} {self._read():g}'


class Histogram:
    """Durations in buckets with fixed bounds.

    Parameters
    ----------
    name, description : str
        As they are shown.
    bounds : sequence of float
        Upper bounds of the buckets, in seconds, ascending.

    Examples
    --------
    >>> histogram = Histogram('handshake_seconds', 'Handshakes.', (0.1, 1.0))
    >>> histogram.record(0.5)
    >>> [line for line in histogram.lines() if 'bucket' in line]
    ... # doctest: +NORMALIZE_WHITESPACE
    ['handshake_seconds_bucket{le="0.1"} 0',
     'handshake_seconds_bucket{le="1"} 1',
     'handshake_seconds_bucket{le="+Inf"} 1']
    """

    def __init__(
        self,
        name: str,
        description: str,
        bounds: collections.abc.Sequence[float],
    ) -> None:
        self._name = name
        self._description = description
        self._bounds = tuple(bounds)
        self._counts = [0] * (len(self._bounds) + 1)
        self._sum = 0.0

    def record(self, seconds: float) -> None:
        """Count a duration."""
        self._counts[bisect.bisect_left(self._bounds, seconds)] += 1
        self._sum += seconds

    def lines(self) -> collections.abc.Iterator[str]:
        """Yield the lines of the text format."""
        yield from _head(self._name, self._description, 'histogram')
        total = 0
        for bound, count in zip(self._bounds, self._counts, strict=False):
            total += count
            yield f'{self._name}_bucket{{le="{bound:g}"}} {total}'
        total += self._counts[-1]
        yield f'{self._name}_bucket{{le="+Inf"}} {total}'
        yield f'{self._name}_sum {self._sum:g}'
        yield f'{self._name}_count {total}'


Metric = Counter | Gauge | Histogram


def render(metrics: collections.abc.Iterable[Metric]) -> str:
    """Return all metrics in the text format."""
    lines = [line for metric in metrics for line in metric.lines()]
    return '\n'.join(lines) + '\n'


def _head(
    name: str, description: str, kind: str
) -> collections.abc.Iterator[str]:
    yield f'# HELP {name} {description}'
    yield f'# TYPE {name} {kind}'


def _labels(labels: Labels) -> str:
    if not labels:
        return ''
    shown = ','.join(f'{name}="{_escaped(value)}"' for name, value in labels)
    return f'{{{shown}}}'


def _escaped(text: str) -> str:
    return text.replace('\\', '\\\\').replace('"', '\\"').replace('\n', '\\n')
