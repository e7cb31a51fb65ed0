"""Scenarios of flow routing under planned changes and faults."""

import collections.abc
import datetime

from acaciamoor.load import measurement
from acaciamoor.load.scenarios import flow_costs
from acaciamoor.load.scenarios import flow_experiment
from acaciamoor.load.scenarios import registry as scenario_registry
from acaciamoor.model import identifiers

Measurements = list[measurement.Measurement]

_ZERO_TARGET = flow_costs.ZERO_TARGET
_VIEW_SPREAD = datetime.timedelta(seconds=2)

ChangeSchedule = collections.abc.Callable[[flow_experiment.Experiment], None]


def _compare_implementations(
    scenario: str,
    options: scenario_registry.Options,
    schedule_changes: ChangeSchedule,
    baselines: collections.abc.Iterable[flow_experiment.Implementation],
) -> Measurements:
    """Run the same faults and load against Acaciamoor and the baselines.

    To limit its run time, each scenario compares only a few baselines.
    """
    collector = flow_costs.MeasurementCollector(scenario, options)
    for implementation in (flow_experiment.ACACIAMOOR, *baselines):
        experiment = flow_experiment.Experiment(implementation, options)
        schedule_changes(experiment)
        experiment.run()
        cluster = experiment.cluster
        broken = cluster.oracle.broken_flows()
        collector.add(
            implementation, 'broken flows', broken, 'flows', _ZERO_TARGET
        )
        collector.add(
            implementation,
            'packets to a wrong service',
            cluster.oracle.wrong_service,
            'packets',
            _ZERO_TARGET,
        )
        if implementation is flow_experiment.ACACIAMOOR:
            _add_costs(collector, implementation, experiment)
    return collector.measurements


def _add_costs(
    collector: flow_costs.MeasurementCollector,
    implementation: flow_experiment.Implementation,
    experiment: flow_experiment.Experiment,
) -> None:
    cluster = experiment.cluster
    hops, packets = cluster.oracle.hops, cluster.oracle.hops.total()
    mean = sum(hop * count for hop, count in hops.items()) / packets
    collector.add(implementation, 'hops per packet', mean, 'hops')
    collector.add(
        implementation, 'packets without a hop', hops[0] / packets, 'share'
    )
    collector.add(implementation, 'most hops of a packet', max(hops), 'hops')
    collector.add(
        implementation,
        'refused packets',
        sum(cluster.oracle.refusal_counts.values()),
        'packets',
    )
    collector.add(
        implementation,
        'records per flow at the peak, all hosts',
        experiment.peak_records / len(cluster.oracle.flows),
        'records',
    )
    seconds = cluster.now.total_seconds()
    collector.add(
        implementation,
        'control traffic of flow routing, busiest balancer',
        max(cluster.control_bytes().values()) / seconds,
        'B/s',
    )


def run_planned_changes(options: scenario_registry.Options) -> Measurements:
    """Add and drain an upstream, then add and drain a balancer."""
    modulo, _, _, rendezvous_table = flow_experiment.HASH_BASELINES
    count = options.upstreams

    def schedule_changes(experiment: flow_experiment.Experiment) -> None:
        cluster = experiment.cluster
        first = cluster.running[0]
        experiment.schedule(
            0.15, lambda: experiment.publish(2, count + 1, spread=_VIEW_SPREAD)
        )
        experiment.schedule(
            0.35,
            lambda: experiment.publish(3, count + 1, {0}, spread=_VIEW_SPREAD),
        )
        experiment.schedule(
            0.5, lambda: cluster.join(identifiers.HostId('host-added'))
        )
        experiment.schedule(0.65, lambda: cluster.leave(first))

    return _compare_implementations(
        'flows-planned-changes',
        options,
        schedule_changes,
        (modulo, rendezvous_table, flow_experiment.CALLER_TOKEN),
    )


def run_kill_during_drain(options: scenario_registry.Options) -> Measurements:
    """Kill a balancer while an upstream drains."""
    _, _, rendezvous, _ = flow_experiment.HASH_BASELINES

    def schedule_changes(experiment: flow_experiment.Experiment) -> None:
        cluster = experiment.cluster
        experiment.schedule(
            0.5,
            lambda: experiment.publish(
                2, options.upstreams, {0}, spread=_VIEW_SPREAD
            ),
        )
        experiment.schedule(0.55, lambda: cluster.kill(cluster.running[-1]))

    return _compare_implementations(
        'flows-kill-during-drain',
        options,
        schedule_changes,
        (rendezvous, flow_experiment.REPLICATED),
    )


def run_uneven_views(options: scenario_registry.Options) -> Measurements:
    """Add an upstream whose view reaches one balancer 4 s late."""
    _, modulo_table, rendezvous, _ = flow_experiment.HASH_BASELINES

    def schedule_changes(experiment: flow_experiment.Experiment) -> None:
        cluster = experiment.cluster
        experiment.schedule(
            0.5,
            lambda: experiment.publish(
                2,
                options.upstreams + 1,
                spread=_VIEW_SPREAD,
                late=cluster.running[:1],
            ),
        )

    return _compare_implementations(
        'flows-uneven-views',
        options,
        schedule_changes,
        (modulo_table, rendezvous),
    )


_SCENARIOS = (
    ('flows-planned-changes', run_planned_changes),
    ('flows-kill-during-drain', run_kill_during_drain),
    ('flows-uneven-views', run_uneven_views),
    ('flows-imbalance', flow_costs.run_imbalance),
    ('flows-control-traffic', flow_costs.run_control_traffic),
    ('flows-record-size', flow_costs.run_record_size),
)


def register(registry: scenario_registry.ScenarioRegistry) -> None:
    """Add the flow scenarios to `registry`."""
    for name, run in _SCENARIOS:
        registry.add(scenario_registry.Scenario(name, run.__doc__, run))
