"""Scenarios of stream placement under planned changes and faults."""

import collections.abc
import datetime

from acaciamoor.load import measurement
from acaciamoor.load.scenarios import flow_contenders as contenders
from acaciamoor.load.scenarios import flow_costs
from acaciamoor.load.scenarios import registry as scenario_registry
from acaciamoor.model import identifiers

Measurements = list[measurement.Measurement]

_NONE = flow_costs.NONE
_UNEVEN = datetime.timedelta(seconds=2)

Plan = collections.abc.Callable[[contenders.Experiment], None]


def _compare(
    scenario: str,
    options: scenario_registry.Options,
    plan: Plan,
    baselines: collections.abc.Iterable[contenders.Contender],
) -> Measurements:
    """Run the same faults and the same load against all contenders.

    Each scenario has other baselines, which keeps it short.
    """
    figures = flow_costs.Figures(scenario, options)
    for contender in (contenders.ACACIAMOOR, *baselines):
        experiment = contenders.Experiment(contender, options)
        plan(experiment)
        experiment.run()
        cluster = experiment.cluster
        broken = cluster.oracle.broken_flows()
        figures.add(contender, 'broken flows', broken, 'flows', _NONE)
        figures.add(
            contender,
            'packets to a wrong service',
            cluster.oracle.wrong_service,
            'packets',
            _NONE,
        )
        if contender is contenders.ACACIAMOOR:
            _add_costs(figures, contender, experiment)
    return figures.measurements


def _add_costs(
    figures: flow_costs.Figures,
    contender: contenders.Contender,
    experiment: contenders.Experiment,
) -> None:
    cluster = experiment.cluster
    hops, packets = cluster.oracle.hops, cluster.oracle.hops.total()
    mean = sum(hop * count for hop, count in hops.items()) / packets
    figures.add(contender, 'hops per packet', mean, 'hops')
    figures.add(contender, 'packets without a hop', hops[0] / packets, 'share')
    figures.add(contender, 'most hops of a packet', max(hops), 'hops')
    figures.add(
        contender,
        'refused packets',
        sum(cluster.oracle.refusals.values()),
        'packets',
    )
    figures.add(
        contender,
        'records per flow at the peak, all hosts',
        experiment.peak_records / len(cluster.oracle.flows),
        'records',
    )
    seconds = cluster.now.total_seconds()
    figures.add(
        contender,
        'control traffic of flow routing, busiest balancer',
        max(cluster.control_bytes().values()) / seconds,
        'B/s',
    )


def run_planned_changes(options: scenario_registry.Options) -> Measurements:
    """Upstream added and drained, balancer added and drained."""
    modulo, _, _, rendezvous_table = contenders.HASHES
    count = options.upstreams

    def plan(experiment: contenders.Experiment) -> None:
        cluster = experiment.cluster
        first = cluster.running[0]
        experiment.at(
            0.15, lambda: experiment.publish(2, count + 1, spread=_UNEVEN)
        )
        experiment.at(
            0.35,
            lambda: experiment.publish(3, count + 1, {0}, spread=_UNEVEN),
        )
        experiment.at(
            0.5, lambda: cluster.join(identifiers.HostId('host-added'))
        )
        experiment.at(0.65, lambda: cluster.leave(first))

    return _compare(
        'flows-planned-changes',
        options,
        plan,
        (modulo, rendezvous_table, contenders.TOKEN),
    )


def run_kill_during_drain(options: scenario_registry.Options) -> Measurements:
    """One balancer is killed while an upstream drains."""
    _, _, rendezvous, _ = contenders.HASHES

    def plan(experiment: contenders.Experiment) -> None:
        cluster = experiment.cluster
        experiment.at(
            0.5,
            lambda: experiment.publish(
                2, options.upstreams, {0}, spread=_UNEVEN
            ),
        )
        experiment.at(0.55, lambda: cluster.kill(cluster.running[-1]))

    return _compare(
        'flows-kill-during-drain',
        options,
        plan,
        (rendezvous, contenders.REPLICATED),
    )


def run_uneven_views(options: scenario_registry.Options) -> Measurements:
    """An upstream is added; one balancer hears of it 4 s late."""
    _, modulo_table, rendezvous, _ = contenders.HASHES

    def plan(experiment: contenders.Experiment) -> None:
        cluster = experiment.cluster
        experiment.at(
            0.5,
            lambda: experiment.publish(
                2,
                options.upstreams + 1,
                spread=_UNEVEN,
                late=cluster.running[:1],
            ),
        )

    return _compare(
        'flows-uneven-views', options, plan, (modulo_table, rendezvous)
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
    """Add the scenarios of this module."""
    for name, run in _SCENARIOS:
        registry.add(scenario_registry.Scenario(name, run.__doc__, run))
