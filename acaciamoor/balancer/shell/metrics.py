"""Metrics of a balancer, read from its core when they are scraped."""

import collections.abc

from opentelemetry import metrics

from acaciamoor.balancer import core as cores
from acaciamoor.balancer.shell import driver as drivers

_PREFIX = 'acaciamoor_balancer_'
# From below one run of short work to the longest timeout, in seconds.
_SHORT_WORK_BOUNDS_S = (
    0.005,
    0.01,
    0.02,
    0.03,
    0.05,
    0.075,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
    30.0,
)
Observe = collections.abc.Callable[
    [metrics.CallbackOptions], collections.abc.Iterable[metrics.Observation]
]


def register(meter: metrics.Meter, driver: drivers.Driver) -> None:
    """Create all instruments of a balancer.

    Parameters
    ----------
    meter : Meter
        Creates the instruments.
    driver : Driver
        Its core is read at each scrape.
    """
    for metric in cores.Metric:
        meter.create_observable_counter(
            _PREFIX + metric.title,
            callbacks=[_counts(driver.core.counters, metric)],
            description=metric.description,
        )
    meter.create_observable_counter(
        _PREFIX + 'unsent_datagrams',
        callbacks=[_unsent(driver)],
        description='Datagrams that the operating system did not take.',
    )
    for gauge in cores.Gauge:
        meter.create_observable_gauge(
            _PREFIX + gauge.title,
            callbacks=[_gauge(driver.core, gauge)],
            description=gauge.description,
        )


class RequestMeter:
    """Counts how requests ended and how long short work took.

    Parameters
    ----------
    meter : Meter
        Creates the instruments.
    """

    def __init__(self, meter: metrics.Meter) -> None:
        self._outcomes = meter.create_counter(
            _PREFIX + 'request_outcomes',
            description='Requests by how they ended for their callers.',
        )
        self._short_work = meter.create_histogram(
            _PREFIX + 'short_work_seconds',
            description='Time from arrival to answer of short work.',
            explicit_bucket_boundaries_advisory=_SHORT_WORK_BOUNDS_S,
        )

    def record(self, effect: cores.Effect) -> None:
        """Measure `effect` if it is the end of a request."""
        if not isinstance(effect, cores.RequestEnded):
            return
        labels = {'service': effect.service}
        self._outcomes.add(1, {**labels, 'outcome': effect.outcome.value})
        if effect.short_request_time is not None:
            self._short_work.record(
                effect.short_request_time.total_seconds(), labels
            )


def _counts(counters: cores.Counters, metric: cores.Metric) -> Observe:
    def observe(
        _: metrics.CallbackOptions,
    ) -> collections.abc.Iterable[metrics.Observation]:
        for label, count in counters.counts_by_label(metric).items():
            yield metrics.Observation(count, {metric.label: label})

    return observe


def _unsent(driver: drivers.Driver) -> Observe:
    def observe(
        _: metrics.CallbackOptions,
    ) -> collections.abc.Iterable[metrics.Observation]:
        yield metrics.Observation(driver.unsent)

    return observe


def _gauge(core: cores.BalancerCore, gauge: cores.Gauge) -> Observe:
    def observe(
        _: metrics.CallbackOptions,
    ) -> collections.abc.Iterable[metrics.Observation]:
        for label, value in cores.read_gauge(core, gauge).items():
            labels = {gauge.label: label} if gauge.label else {}
            yield metrics.Observation(value, labels)

    return observe
