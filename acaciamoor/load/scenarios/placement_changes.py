"""Changes of the placer and of the upstreams under load.

The naive balancers have no placer: the same fault hits one of them.
"""

import collections.abc
import datetime
import itertools

from acaciamoor.load import measurement
from acaciamoor.load.scenarios import placement_figures as figures
from acaciamoor.load.scenarios import placement_load as loads
from acaciamoor.load.scenarios import placement_naive as naive_hosts
from acaciamoor.load.scenarios import placement_settings as world_settings
from acaciamoor.load.scenarios import placement_world as worlds
from acaciamoor.load.scenarios import registry as registries
from acaciamoor.model import upstream as upstreams
from acaciamoor.wire import envelope as wire

Kind = naive_hosts.NaiveKind
Measurements = list[measurement.Measurement]
Fault = collections.abc.Callable[[worlds.World], None]

_SECOND = datetime.timedelta(seconds=1)
_MILLISECOND = datetime.timedelta(milliseconds=1)
_USED_SHARE = 0.6
_FAULT_AT = 4 * _SECOND
_DURATION = 12 * _SECOND
# Callers retransmit at these times; an announced straggler runs for 500 ms,
# so that some requests are retransmitted while they run.
_MIX = loads.Mix(
    timeout=6 * _SECOND,
    retransmissions=(400 * _MILLISECOND, 1500 * _MILLISECOND, 4 * _SECOND),
)


def _run(name: str, options: registries.Options, fault: Fault) -> Measurements:
    out = figures.Figures(name, options.seed)
    for kind in (None, Kind.TWO_OWN):
        world = worlds.World(
            world_settings.WorldSettings(
                balancers=options.balancers,
                upstreams=options.upstreams,
                seed=options.seed,
                request_jitter=5 * _MILLISECOND,
            ),
            kind,
        )
        world.start()
        rate = _USED_SHARE * loads.capacity(world.settings, _MIX)
        load = loads.Load(
            world, _MIX, lambda elapsed, rate=rate: rate, options.seed
        )
        world.network.call_later(_FAULT_AT, lambda world=world: fault(world))
        load.run(_DURATION, 7 * _SECOND)
        _add(out, kind, world, load)
    return out.measurements


def _add(
    out: figures.Figures,
    kind: Kind | None,
    world: worlds.World,
    load: loads.Load,
) -> None:
    zero = figures.target(figures.EQUAL, 0)
    oracle = world.oracle
    out.add(kind, 'double runs', oracle.double_runs, 'requests', zero)
    out.add(kind, 'false "not run"', oracle.false_not_run, 'requests', zero)
    out.add(kind, 'crossed answers', oracle.crossed_answers, 'answers', zero)
    unknown = sum(
        item.record.outcome is wire.Outcome.OUTCOME_UNKNOWN
        for item in load.sent
    )
    silent = sum(item.record.outcome is None for item in load.sent)
    out.add(kind, 'outcome unknown', unknown, 'requests')
    out.add(kind, 'no reply', silent, 'requests')
    out.add(kind, 'longest time without an answer', _longest_gap(load), 's')


def _longest_gap(load: loads.Load) -> float:
    ended = sorted(
        item.record.ended_at for item in load.sent if item.completed
    )
    gaps = itertools.pairwise(ended)
    return max((after - before).total_seconds() for before, after in gaps)


def run_placer_death(options: registries.Options) -> Measurements:
    """Kill the placer while it has requests queued and bound."""
    return _run(
        'placement-placer-death', options, lambda world: world.kill_leader()
    )


def run_frozen_placer(options: registries.Options) -> Measurements:
    """Stop the placer's process for 5 s; it resumes unaware."""
    return _run(
        'placement-frozen-placer',
        options,
        lambda world: world.freeze_leader(5 * _SECOND),
    )


def run_uneven_views(options: registries.Options) -> Measurements:
    """Let a joining host become the placer, which others learn unevenly."""
    return _run(
        'placement-uneven-views',
        options,
        lambda world: world.move_leader(leaving=False),
    )


def run_drain(options: registries.Options) -> Measurements:
    """Drain one upstream and measure its last new work."""
    out = figures.Figures('placement-drain', options.seed)
    for kind in (None, Kind.TWO_OWN):
        world = worlds.World(
            world_settings.WorldSettings(
                balancers=options.balancers,
                upstreams=options.upstreams,
                seed=options.seed,
            ),
            kind,
        )
        world.start()
        rate = _USED_SHARE * loads.capacity(world.settings, _MIX)
        load = loads.Load(
            world, _MIX, lambda elapsed, rate=rate: rate, options.seed
        )
        ordered_at = world.now + _FAULT_AT
        states = [upstreams.UpstreamState.ACTIVE] * options.upstreams
        states[0] = upstreams.UpstreamState.DRAINING
        world.network.call_later(
            _FAULT_AT,
            lambda world=world, states=states: world.set_upstream_states(
                states
            ),
        )
        load.run(_DURATION, 7 * _SECOND)
        leaving = world.stand_ins_by_id[world.upstreams[0].upstream_id]
        out.add(
            kind,
            'last new work after the drain order',
            (leaving.last_bound_at - ordered_at).total_seconds(),
            's',
            figures.target(figures.LESS, 3.0),
        )
        unanswered = sum(not item.completed for item in load.sent)
        out.add(kind, 'requests without an answer', unanswered, 'requests')
    return out.measurements
