"""Scenarios in which the leader or the upstreams change under load.

Naive balancers have no leader, so the same fault is injected into one of them.
"""

import collections.abc
import datetime
import itertools

from acaciamoor.load import measurement
from acaciamoor.load.scenarios import placement_load as loads
from acaciamoor.load.scenarios import placement_measurements
from acaciamoor.load.scenarios import placement_naive as naive_hosts
from acaciamoor.load.scenarios import placement_settings as world_settings
from acaciamoor.load.scenarios import placement_world as worlds
from acaciamoor.load.scenarios import registry as registries
from acaciamoor.model import upstream as upstreams
from acaciamoor.wire import envelope as wire

Baseline = naive_hosts.Baseline
Measurements = list[measurement.Measurement]
Fault = collections.abc.Callable[[worlds.World], None]

_SECOND = datetime.timedelta(seconds=1)
_MILLISECOND = datetime.timedelta(milliseconds=1)
_UTILIZATION = 0.6
_FAULT_AT = 4 * _SECOND
_DURATION = 12 * _SECOND
# A straggler runs for 500 ms on average, so that some requests are
# retransmitted while they run.
_MIX = loads.Mix(
    timeout=6 * _SECOND,
    retransmissions=(400 * _MILLISECOND, 1500 * _MILLISECOND, 4 * _SECOND),
)


def _run_fault_scenario(
    name: str, options: registries.Options, fault: Fault
) -> Measurements:
    collector = placement_measurements.MeasurementCollector(name, options.seed)
    for baseline in (None, Baseline.TWO_OWN_COUNTS):
        world = worlds.World(
            world_settings.WorldSettings(
                balancers=options.balancers,
                upstreams=options.upstreams,
                seed=options.seed,
                request_jitter=5 * _MILLISECOND,
            ),
            baseline,
        )
        world.start()
        rate = _UTILIZATION * loads.capacity(world.settings, _MIX)
        load = loads.Load(
            world, _MIX, lambda elapsed, rate=rate: rate, options.seed
        )
        world.network.call_later(_FAULT_AT, lambda world=world: fault(world))
        load.run(_DURATION, 7 * _SECOND)
        _add_measurements(collector, baseline, world, load)
    return collector.measurements


def _add_measurements(
    collector: placement_measurements.MeasurementCollector,
    baseline: Baseline | None,
    world: worlds.World,
    load: loads.Load,
) -> None:
    zero = placement_measurements.make_target(placement_measurements.EQUAL, 0)
    oracle = world.oracle
    collector.add(
        baseline, 'double runs', oracle.double_runs, 'requests', zero
    )
    collector.add(
        baseline, 'false "not run"', oracle.false_not_run, 'requests', zero
    )
    collector.add(
        baseline, 'crossed answers', oracle.crossed_answers, 'answers', zero
    )
    unknown = sum(
        item.record.outcome is wire.Outcome.OUTCOME_UNKNOWN
        for item in load.requests
    )
    unanswered = sum(item.record.outcome is None for item in load.requests)
    collector.add(baseline, 'outcome unknown', unknown, 'requests')
    collector.add(baseline, 'no reply', unanswered, 'requests')
    collector.add(
        baseline, 'longest time without an answer', _longest_gap(load), 's'
    )


def _longest_gap(load: loads.Load) -> float:
    ended = sorted(
        item.record.ended_at for item in load.requests if item.completed
    )
    gaps = itertools.pairwise(ended)
    return max((after - before).total_seconds() for before, after in gaps)


def run_placer_death(options: registries.Options) -> Measurements:
    """Kill the leader while it has queued and bound requests."""
    return _run_fault_scenario(
        'placement-placer-death', options, lambda world: world.kill_leader()
    )


def run_frozen_placer(options: registries.Options) -> Measurements:
    """Pause the leader's process for 5 s without notice."""
    return _run_fault_scenario(
        'placement-frozen-placer',
        options,
        lambda world: world.freeze_leader(5 * _SECOND),
    )


def run_uneven_views(options: registries.Options) -> Measurements:
    """Make a joining host the leader; others learn it at different times."""
    return _run_fault_scenario(
        'placement-uneven-views',
        options,
        lambda world: world.move_leader(leaving=False),
    )


def run_drain(options: registries.Options) -> Measurements:
    """Drain an upstream and measure when the last request is bound to it."""
    collector = placement_measurements.MeasurementCollector(
        'placement-drain', options.seed
    )
    for baseline in (None, Baseline.TWO_OWN_COUNTS):
        world = worlds.World(
            world_settings.WorldSettings(
                balancers=options.balancers,
                upstreams=options.upstreams,
                seed=options.seed,
            ),
            baseline,
        )
        world.start()
        rate = _UTILIZATION * loads.capacity(world.settings, _MIX)
        load = loads.Load(
            world, _MIX, lambda elapsed, rate=rate: rate, options.seed
        )
        drained_at = world.now + _FAULT_AT
        states = [upstreams.UpstreamState.ACTIVE] * options.upstreams
        states[0] = upstreams.UpstreamState.DRAINING
        world.network.call_later(
            _FAULT_AT,
            lambda world=world, states=states: world.set_upstream_states(
                states
            ),
        )
        load.run(_DURATION, 7 * _SECOND)
        draining = world.stand_ins_by_id[world.upstreams[0].upstream_id]
        collector.add(
            baseline,
            'last new work after the drain order',
            (draining.last_bound_at - drained_at).total_seconds(),
            's',
            placement_measurements.make_target(
                placement_measurements.LESS, 3.0
            ),
        )
        unanswered = sum(not item.completed for item in load.requests)
        collector.add(
            baseline, 'requests without an answer', unanswered, 'requests'
        )
    return collector.measurements
