"""Balance, control traffic and memory of stream placement."""

import collections
import datetime
import random
import tracemalloc
import typing

from acaciamoor.clock import clock as clocks
from acaciamoor.flows import records as flow_records
from acaciamoor.load import measurement
from acaciamoor.load.scenarios import flow_contenders as contenders
from acaciamoor.load.scenarios import registry as scenario_registry
from acaciamoor.model import identifiers
from acaciamoor.model import members as membership
from acaciamoor.wire import envelope as envelopes

Measurements = list[measurement.Measurement]

NONE = measurement.Target(measurement.TargetOperator.EQUAL, 0)
_IMBALANCE = measurement.Target(measurement.TargetOperator.LESS, 1.10)
_CONTROL = measurement.Target(measurement.TargetOperator.LESS, 4096)
_RECORD_BYTES = measurement.Target(measurement.TargetOperator.LESS, 100)

_UNEVEN = datetime.timedelta(seconds=2)
_NEW_FLOWS_PER_BALANCER = 2000
_CONTROL_WARM_UP = datetime.timedelta(seconds=1)
_CONTROL_WINDOW = datetime.timedelta(seconds=6)
_SHORT_FLOW = datetime.timedelta(seconds=2)
_MILLISECOND = datetime.timedelta(milliseconds=1)
_BALANCED_FLOWS = (20_000, 200_000)
_TABLE_FLOWS = 200_000
# Below this size the fixed part of the table counts.
_LEAST_TABLE_FLOWS = 1000


class Figures:
    """Collects the figures of one scenario."""

    def __init__(
        self, scenario: str, options: scenario_registry.Options
    ) -> None:
        self.measurements: Measurements = []
        self._scenario = scenario
        self._seed = options.seed

    def add(
        self,
        contender: contenders.Contender,
        measure: str,
        value: float,
        unit: str,
        target: measurement.Target | None = None,
    ) -> None:
        """Add a figure; baselines carry their name and no target."""
        naive = contender.variant is measurement.Variant.NAIVE
        self.measurements.append(
            measurement.Measurement(
                self._scenario,
                contender.variant,
                f'{measure} ({contender.name})' if naive else measure,
                value,
                unit,
                None if naive else target,
                self._seed,
            )
        )


def run_imbalance(options: scenario_registry.Options) -> Measurements:
    """Spread of the flows over the upstreams without any change."""
    figures = Figures('flows-imbalance', options)
    source = random.Random(options.seed)
    keys = [source.getrandbits(64) for _ in range(max(_BALANCED_FLOWS))]
    view = contenders.view(1, options.upstreams)
    compared = (contenders.ACACIAMOOR, *contenders.HASHES[::2])
    for contender in compared:
        host_id = identifiers.HostId('host-0')
        router = contender.make_router(host_id, clocks.ManualClock())
        router.set_members(membership.MembershipView(1, (host_id,)))
        router.apply_view(view, datetime.timedelta(0))
        for number in _BALANCED_FLOWS:
            counts = collections.Counter(
                router.route(
                    view.service_id, key, envelopes.EnvelopeKind.OPEN
                ).upstream.upstream_id
                for key in keys[:number]
            )
            figures.add(
                contender,
                f'busiest upstream to the mean, {number} flows',
                max(counts.values()) * options.upstreams / number,
                'ratio',
                _IMBALANCE,
            )
    return figures.measurements


def run_control_traffic(options: scenario_registry.Options) -> Measurements:
    """2,000 new flows a second on each balancer while an upstream drains."""
    figures = Figures('flows-control-traffic', options)
    for contender in (contenders.ACACIAMOOR, contenders.REPLICATED):
        experiment = contenders.Experiment(contender, options)
        cluster = experiment.cluster
        _open_short_flows(experiment, _CONTROL_WARM_UP)
        experiment.publish(2, options.upstreams, {0}, spread=_UNEVEN)
        before = cluster.control_bytes()
        opened = len(cluster.oracle.flows)
        _open_short_flows(experiment, _CONTROL_WINDOW)
        seconds = _CONTROL_WINDOW.total_seconds()
        rates = [
            (total - before[host_id]) / seconds
            for host_id, total in cluster.control_bytes().items()
        ]
        figures.add(
            contender,
            'control traffic of flow routing, busiest balancer',
            max(rates),
            'B/s',
            _CONTROL,
        )
        figures.add(
            contender,
            'new flows per balancer',
            (len(cluster.oracle.flows) - opened) / seconds / options.balancers,
            'flows/s',
        )
        figures.add(
            contender,
            'broken flows',
            cluster.oracle.broken_flows(),
            'flows',
            NONE,
        )
        figures.add(
            contender,
            'records per open flow, all hosts',
            cluster.recorded_flows()
            / sum(not flow.closed for flow in cluster.oracle.flows),
            'records',
        )
    return figures.measurements


def _open_short_flows(
    experiment: contenders.Experiment, duration: datetime.timedelta
) -> None:
    cluster = experiment.cluster
    each = _NEW_FLOWS_PER_BALANCER * experiment.options.balancers // 1000

    def open_some() -> None:
        for _ in range(each):
            flow = cluster.open_flow(experiment.pick_service())
            cluster.network.call_later(
                cluster.random.random() * _SHORT_FLOW,
                lambda flow=flow: cluster.send(
                    flow, envelopes.EnvelopeKind.CLOSE
                ),
            )

    for number in range(duration // _MILLISECOND):
        cluster.network.call_later(number * _MILLISECOND, open_some)
    with contenders.collector_paused():
        cluster.run_for(duration)


def run_record_size(options: scenario_registry.Options) -> Measurements:
    """Memory of a recorded flow while the table grows."""
    figures = Figures('flows-record-size', options)
    source = random.Random(options.seed)
    keys = [source.getrandbits(64) for _ in range(_TABLE_FLOWS)]
    table = flow_records.FlowRecords()
    largest = 0.0
    for number, key in enumerate(keys, start=1):
        table.put(key, 3, 60)
        if number >= _LEAST_TABLE_FLOWS:
            largest = max(largest, table.nbytes / number)
    contender = contenders.ACACIAMOOR
    for measure, value in (
        ('state per recorded flow, largest during growth', largest),
        ('state per recorded flow', table.nbytes / len(table)),
    ):
        figures.add(contender, measure, value, 'B', _RECORD_BYTES)
    figures.add(
        contenders.HASHES[1],
        'state per recorded flow',
        _dictionary_bytes(options) / _TABLE_FLOWS,
        'B',
    )
    return figures.measurements


def _dictionary_bytes(options: scenario_registry.Options) -> int:
    source = random.Random(options.seed)
    upstream_id = identifiers.UpstreamId('order-desk-0')
    tracemalloc.start()
    table: dict[typing.Any, identifiers.UpstreamId] = {}
    for _ in range(_TABLE_FLOWS):
        table[1, source.getrandbits(64)] = upstream_id
    used, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used
