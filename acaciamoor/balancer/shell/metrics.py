"""Metrics of a balancer, read from its core when they are scraped."""

import collections.abc

from opentelemetry import metrics

from acaciamoor.balancer import core as cores
from acaciamoor.balancer.shell import driver as drivers

_PREFIX = 'acaciamoor_balancer_'
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
