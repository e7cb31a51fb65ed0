"""Metrics of a balancer, most of them read from its core at each scrape."""

import collections.abc

from opentelemetry import metrics

from acaciamoor.balancer import core as cores
from acaciamoor.balancer.shell import driver as drivers

_PREFIX = 'acaciamoor_balancer_'
# In seconds, from less than the run time of a short request to the longest
# timeout.
_SHORT_REQUEST_BOUNDS_S = (
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
MetricCallback = collections.abc.Callable[
    [metrics.CallbackOptions], collections.abc.Iterable[metrics.Observation]
]


def register(meter: metrics.Meter, driver: drivers.Driver) -> None:
    """Create the instruments that are read from a balancer.

    Parameters
    ----------
    meter : Meter
        Creates the instruments.
    driver : Driver
        Driver whose core is read at each scrape.
    """
    for metric in cores.Metric:
        meter.create_observable_counter(
            _PREFIX + metric.title,
            callbacks=[_counter_callback(driver.core.counters, metric)],
            description=metric.description,
        )
    meter.create_observable_counter(
        _PREFIX + 'unsent_datagrams',
        callbacks=[_attribute_callback(driver, 'unsent_datagrams')],
        description='Datagrams that the operating system did not take.',
    )
    meter.create_observable_counter(
        _PREFIX + 'internal_errors',
        callbacks=[_attribute_callback(driver, 'failed_events')],
        description='Events that the program failed to handle.',
    )
    for gauge in cores.Gauge:
        meter.create_observable_gauge(
            _PREFIX + gauge.title,
            callbacks=[_gauge_callback(driver.core, gauge)],
            description=gauge.description,
        )


class RequestMetrics:
    """Records how requests wait and end, and how long short ones take.

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
        self._short_request_time = meter.create_histogram(
            _PREFIX + 'short_work_seconds',
            description='Time from arrival to answer of short work.',
            explicit_bucket_boundaries_advisory=_SHORT_REQUEST_BOUNDS_S,
        )

        self._queue_time = meter.create_histogram(
            _PREFIX + 'queue_seconds',
            description='Time from arrival to an upstream.',
            explicit_bucket_boundaries_advisory=_SHORT_REQUEST_BOUNDS_S,
        )

    def record(self, effect: cores.Effect) -> None:
        """Record `effect` if it is the start or the end of a request."""
        if isinstance(effect, cores.RequestStarted):
            self._queue_time.record(
                effect.waited.total_seconds(), {'service': effect.service}
            )
        if not isinstance(effect, cores.RequestEnded):
            return
        labels = {'service': effect.service}
        self._outcomes.add(1, {**labels, 'outcome': effect.outcome.value})
        if effect.short_request_time is not None:
            self._short_request_time.record(
                effect.short_request_time.total_seconds(), labels
            )


def _counter_callback(
    counters: cores.Counters, metric: cores.Metric
) -> MetricCallback:
    def observe(
        _: metrics.CallbackOptions,
    ) -> collections.abc.Iterable[metrics.Observation]:
        for label, count in counters.counts_by_label(metric).items():
            yield metrics.Observation(count, {metric.label: label})

    return observe


def _attribute_callback(
    driver: drivers.Driver, attribute: str
) -> MetricCallback:
    def observe(
        _: metrics.CallbackOptions,
    ) -> collections.abc.Iterable[metrics.Observation]:
        yield metrics.Observation(getattr(driver, attribute))

    return observe


def _gauge_callback(
    core: cores.BalancerCore, gauge: cores.Gauge
) -> MetricCallback:
    def observe(
        _: metrics.CallbackOptions,
    ) -> collections.abc.Iterable[metrics.Observation]:
        for label, value in cores.read_gauge(core, gauge).items():
            labels = {gauge.label: label} if gauge.label else {}
            yield metrics.Observation(value, labels)

    return observe
