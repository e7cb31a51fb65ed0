"""Balance, control traffic and memory of flow routing."""

import collections
import datetime
import random
import tracemalloc
import typing

from acaciamoor.clock import clock as clocks
from acaciamoor.flows import records as flow_records
from acaciamoor.load import measurement
from acaciamoor.load.scenarios import flow_experiment
from acaciamoor.load.scenarios import registry as scenario_registry
from acaciamoor.model import identifiers
from acaciamoor.model import members as membership
from acaciamoor.wire import envelope as envelopes

Measurements = list[measurement.Measurement]

ZERO_TARGET = measurement.Target(measurement.TargetOperator.EQUAL, 0)
_IMBALANCE_TARGET = measurement.Target(measurement.TargetOperator.LESS, 1.10)
_CONTROL_TARGET = measurement.Target(measurement.TargetOperator.LESS, 4096)
_RECORD_BYTES_TARGET = measurement.Target(measurement.TargetOperator.LESS, 100)

_VIEW_SPREAD = datetime.timedelta(seconds=2)
# New flows per second on each balancer.
_NEW_FLOW_RATE = 2000
_CONTROL_WARM_UP = datetime.timedelta(seconds=1)
_CONTROL_WINDOW = datetime.timedelta(seconds=6)
_MAX_SHORT_FLOW_DURATION = datetime.timedelta(seconds=2)
_MILLISECOND = datetime.timedelta(milliseconds=1)
_IMBALANCE_FLOW_COUNTS = (20_000, 200_000)
_TABLE_FLOW_COUNT = 200_000
# In smaller tables, the fixed part distorts the size per flow.
_MIN_TABLE_FLOW_COUNT = 1000


class MeasurementCollector:
    """Collects the measurements of one scenario."""

    def __init__(
        self, scenario: str, options: scenario_registry.Options
    ) -> None:
        self.measurements: Measurements = []
        self._scenario = scenario
        self._seed = options.seed

    def add(
        self,
        implementation: flow_experiment.Implementation,
        measure: str,
        value: float,
        unit: str,
        target: measurement.Target | None = None,
    ) -> None:
        """Add a measurement; a baseline gets its name in it and no target."""
        is_naive = implementation.variant is measurement.Variant.NAIVE
        self.measurements.append(
            measurement.Measurement(
                self._scenario,
                implementation.variant,
                f'{measure} ({implementation.name})' if is_naive else measure,
                value,
                unit,
                None if is_naive else target,
                self._seed,
            )
        )


def run_imbalance(options: scenario_registry.Options) -> Measurements:
    """Measure how evenly flows spread over the upstreams without changes."""
    collector = MeasurementCollector('flows-imbalance', options)
    rng = random.Random(options.seed)
    flow_ids = [
        rng.getrandbits(64) for _ in range(max(_IMBALANCE_FLOW_COUNTS))
    ]
    view = flow_experiment.make_view(1, options.upstreams)
    implementations = (
        flow_experiment.ACACIAMOOR,
        *flow_experiment.HASH_BASELINES[::2],
    )
    for implementation in implementations:
        host_id = identifiers.HostId('host-0')
        router = implementation.make_router(host_id, clocks.ManualClock())
        router.set_members(membership.MembershipView(1, (host_id,)))
        router.apply_view(view, datetime.timedelta(0))
        for count in _IMBALANCE_FLOW_COUNTS:
            counts = collections.Counter(
                router.route(
                    view.service_id, flow_id, envelopes.EnvelopeKind.OPEN
                ).upstream.upstream_id
                for flow_id in flow_ids[:count]
            )
            collector.add(
                implementation,
                f'busiest upstream to the mean, {count} flows',
                max(counts.values()) * options.upstreams / count,
                'ratio',
                _IMBALANCE_TARGET,
            )
    return collector.measurements


def run_control_traffic(options: scenario_registry.Options) -> Measurements:
    """Open 2,000 flows per second per balancer while an upstream drains."""
    collector = MeasurementCollector('flows-control-traffic', options)
    for implementation in (
        flow_experiment.ACACIAMOOR,
        flow_experiment.REPLICATED,
    ):
        experiment = flow_experiment.Experiment(implementation, options)
        cluster = experiment.cluster
        _open_short_flows(experiment, _CONTROL_WARM_UP)
        experiment.publish(2, options.upstreams, {0}, spread=_VIEW_SPREAD)
        before = cluster.control_bytes()
        opened = len(cluster.oracle.flows)
        _open_short_flows(experiment, _CONTROL_WINDOW)
        seconds = _CONTROL_WINDOW.total_seconds()
        rates = [
            (total - before[host_id]) / seconds
            for host_id, total in cluster.control_bytes().items()
        ]
        collector.add(
            implementation,
            'control traffic of flow routing, busiest balancer',
            max(rates),
            'B/s',
            _CONTROL_TARGET,
        )
        collector.add(
            implementation,
            'new flows per balancer',
            (len(cluster.oracle.flows) - opened) / seconds / options.balancers,
            'flows/s',
        )
        collector.add(
            implementation,
            'broken flows',
            cluster.oracle.broken_flows(),
            'flows',
            ZERO_TARGET,
        )
        collector.add(
            implementation,
            'records per open flow, all hosts',
            cluster.recorded_flows()
            / sum(not flow.closed for flow in cluster.oracle.flows),
            'records',
        )
    return collector.measurements


def _open_short_flows(
    experiment: flow_experiment.Experiment, duration: datetime.timedelta
) -> None:
    cluster = experiment.cluster
    flows_per_step = _NEW_FLOW_RATE * experiment.options.balancers // 1000

    def open_batch() -> None:
        for _ in range(flows_per_step):
            flow = cluster.open_flow(experiment.choose_service())
            cluster.network.call_later(
                cluster.random.random() * _MAX_SHORT_FLOW_DURATION,
                lambda flow=flow: cluster.send(
                    flow, envelopes.EnvelopeKind.CLOSE
                ),
            )

    for step in range(duration // _MILLISECOND):
        cluster.network.call_later(step * _MILLISECOND, open_batch)
    with flow_experiment.garbage_collection_disabled():
        cluster.run_for(duration)


def run_record_size(options: scenario_registry.Options) -> Measurements:
    """Measure the memory per recorded flow while the table grows."""
    collector = MeasurementCollector('flows-record-size', options)
    rng = random.Random(options.seed)
    flow_ids = [rng.getrandbits(64) for _ in range(_TABLE_FLOW_COUNT)]
    table = flow_records.FlowRecords()
    largest = 0.0
    for count, flow_id in enumerate(flow_ids, start=1):
        table.put(flow_id, 3, 60)
        if count >= _MIN_TABLE_FLOW_COUNT:
            largest = max(largest, table.nbytes / count)
    implementation = flow_experiment.ACACIAMOOR
    for measure, value in (
        ('state per recorded flow, largest during growth', largest),
        ('state per recorded flow', table.nbytes / len(table)),
    ):
        collector.add(
            implementation, measure, value, 'B', _RECORD_BYTES_TARGET
        )
    collector.add(
        flow_experiment.HASH_BASELINES[1],
        'state per recorded flow',
        _dictionary_bytes(options) / _TABLE_FLOW_COUNT,
        'B',
    )
    return collector.measurements


def _dictionary_bytes(options: scenario_registry.Options) -> int:
    rng = random.Random(options.seed)
    upstream_id = identifiers.UpstreamId('order-desk-0')
    tracemalloc.start()
    table: dict[typing.Any, identifiers.UpstreamId] = {}
    for _ in range(_TABLE_FLOW_COUNT):
        table[1, rng.getrandbits(64)] = upstream_id
    used, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used
