"""Placement of new flows at peak demand, with different load information."""

import collections.abc
import dataclasses
import functools
import itertools

from acaciamoor.load import measurement
from acaciamoor.load.scenarios import crowd_model
from acaciamoor.load.scenarios import opening_model
from acaciamoor.load.scenarios import opening_naive
from acaciamoor.load.scenarios import opening_patterns
from acaciamoor.load.scenarios import opening_replay
from acaciamoor.load.scenarios import opening_strategies
from acaciamoor.load.scenarios import registry
from acaciamoor.load.scenarios import site_model
from acaciamoor.load.scenarios import site_patterns
from acaciamoor.load.scenarios import site_placements

NAME = 'openings-crest'
PATTERNS_NAME = 'openings-patterns'
SITE_NAME = 'openings-site'
CAPACITY_NAME = 'openings-capacity'
CROWD_NAME = 'openings-crowd'
# Hosts of the replayed site; the larger one has 30 in each data centre.
SITE_SIZES = (9, 90)
# Requests per second and upstream at the peak of a demand swing (the measures
# call it a crest). With the run times of the model, two slots can serve 66.
PEAK_RATE = 47.0
# The same while so many upstreams are missing that the others are nearly full.
SHORTAGE_RATE = 55.0

StrategyFactory = collections.abc.Callable[
    [int, int, int], opening_model.Strategy
]
STRATEGY_FACTORIES_BY_NAME: dict[str, StrategyFactory] = {
    'own load': opening_strategies.OwnLoadStrategy,
    'random': opening_strategies.RandomStrategy,
    'shared every 200 ms': opening_strategies.SharedLoadStrategy,
    'one table for all hosts': functools.partial(
        opening_strategies.OwnLoadStrategy, one_tracker=True
    ),
}


def share_in_time(name: str, options: registry.Options, rate: float) -> float:
    """Return the share of requests that are answered in time.

    Parameters
    ----------
    name : str
        Selection strategy, a key of `STRATEGY_FACTORIES_BY_NAME`.
    options : Options
        Sizes, seed and duration.
    rate : float
        Requests per second and upstream.
    """
    strategy = STRATEGY_FACTORIES_BY_NAME[name](
        options.balancers, options.upstreams, options.seed
    )
    simulation = opening_model.OpeningSimulation(
        strategy,
        options.balancers,
        options.upstreams,
        rate * options.upstreams,
        options.seed,
    )
    return simulation.run(options.duration)


def run(options: registry.Options) -> list[measurement.Measurement]:
    """Compare the strategies at the peak and in a shortage of upstreams."""
    variants = measurement.Variant
    return [
        measurement.Measurement(
            NAME,
            variants.ACACIAMOOR if name == 'own load' else variants.NAIVE,
            f'{name}, {load}',
            share_in_time(name, options, rate),
            'share in time',
            None,
            options.seed,
        )
        for load, rate in (
            ('crest', PEAK_RATE),
            ('shortage', SHORTAGE_RATE),
        )
        for name in STRATEGY_FACTORIES_BY_NAME
    ]


def run_patterns(
    options: registry.Options,
) -> list[measurement.Measurement]:
    """Replay all load patterns on one host, beside a naive one."""
    return [
        measurement.Measurement(
            PATTERNS_NAME,
            variant,
            f'{pattern.name}: {measure}',
            value,
            unit,
            None,
            options.seed,
        )
        for build in opening_patterns.PATTERNS
        for pattern in (build(options.seed),)
        for variant, classes in (
            (measurement.Variant.ACACIAMOOR, ()),
            (
                measurement.Variant.NAIVE,
                (opening_naive.NaiveCore, opening_naive.NaiveDriver),
            ),
        )
        for outcome in (
            opening_replay.Replay(pattern, options.seed, *classes).run(),
        )
        for measure, value, unit in (
            ('opened', outcome.opened, 'share of flows'),
            ('opened after 150 ms or not', outcome.slow_share, 'share'),
            ('wait of opened flows', outcome.wait_s, 's'),
            ('wait of the others', outcome.refusal_wait_s, 's'),
            ('opening packets at upstreams', outcome.copies, 'per flow'),
            ('false suspicions', outcome.false_suspicions, 'suspicions'),
            ('wait on open flows', outcome.open_flow_wait_s, 's'),
        )
    ]


def run_site(
    options: registry.Options,
) -> list[measurement.Measurement]:
    """Replay the load patterns of a site with different placements."""
    return [
        measurement.Measurement(
            SITE_NAME,
            measurement.Variant.ACACIAMOOR
            if name == 'acaciamoor'
            else measurement.Variant.NAIVE,
            f'{name}, {pattern.name}, {hosts} hosts: {measure}',
            value,
            'share',
            None,
            options.seed,
        )
        for build in site_patterns.PATTERNS
        for hosts in SITE_SIZES
        for pattern in (dataclasses.replace(build(), hosts=hosts),)
        for name in site_placements.PLACEMENTS_BY_NAME
        for outcome in (site_model.replay(name, pattern, options.seed),)
        for measure, value in (
            ('in time', outcome.in_time),
            ('in time in the worst second', outcome.worst_second),
            ('in time of the worst kind', outcome.worst_kind),
            ('opened in other data centres', outcome.remote),
        )
    ]


def run_capacity(
    options: registry.Options,
) -> list[measurement.Measurement]:
    """Replay patterns of upstreams whose capacity must be measured."""
    return [
        measurement.Measurement(
            CAPACITY_NAME,
            measurement.Variant.ACACIAMOOR
            if name == 'acaciamoor'
            else measurement.Variant.NAIVE,
            f'{name}, {pattern.name}: {measure}',
            value,
            unit,
            None,
            options.seed,
        )
        for build in site_patterns.CAPACITY_PATTERNS
        for pattern in (build(),)
        for name in site_placements.CAPACITY_PLACEMENTS_BY_NAME
        for outcome in (
            site_model.replay_capacity(name, pattern, options.seed),
        )
        for measure, value, unit in (
            ('in time', outcome.in_time, 'share'),
            ('in time in the worst second', outcome.worst_second, 'share'),
            ('opened in other data centres', outcome.remote, 'share'),
            ('late new flows', outcome.late_new, 'share'),
            ('late new flows of slow upstreams', outcome.late_slow, 'share'),
            ('rejected arrivals', outcome.rejected, 'share'),
            ('busiest upstream', outcome.busiest, 'of its share'),
        )
    ]


def run_crowd(
    options: registry.Options,
) -> list[measurement.Measurement]:
    """Replay crowds with different admissions and placements."""
    return [
        measurement.Measurement(
            CROWD_NAME,
            measurement.Variant.ACACIAMOOR
            if variant == 'controller'
            else measurement.Variant.NAIVE,
            f'{variant}, placement {placement}, {pattern.name}: {measure}',
            value,
            unit,
            None,
            options.seed,
        )
        for factor in (1.2, 1.5, 2.0)
        for pattern in (site_patterns.crowd(factor),)
        for variant, placement in (
            ('oracle', 'none'),
            ('foresight', 'none'),
            *itertools.product(
                ('none', 'random', 'controller'),
                crowd_model.PLACEMENTS_BY_NAME,
            ),
        )
        for outcome in (
            crowd_model.replay(variant, pattern, options.seed, placement),
        )
        for measure, value, unit in (
            ('worth of the requests sent', outcome.worth, 'worth'),
            ('worth served in the crest', outcome.worth_in_crest, 'worth'),
            ('important, worst second', outcome.worst_important, 'share'),
            ('important in time', outcome.important_in_time, 'share'),
            ('less important', outcome.less_important, 'share'),
            (
                'less important, worst second',
                outcome.worst_less_important,
                'share',
            ),
            ('rejected by upstreams', outcome.rejected, 'share'),
            ('refused', outcome.refused, 'openings'),
            ('refused beside a free slot', outcome.refused_beside_room, ''),
            ('refused after the crest', outcome.refused_after_crest, ''),
        )
    ]


def register(scenarios: registry.ScenarioRegistry) -> None:
    """Add the scenario of new flows to `scenarios`."""
    scenarios.add(
        registry.Scenario(
            NAME,
            'Place new flows at peak demand with different load information.',
            run,
        )
    )
    scenarios.add(
        registry.Scenario(
            PATTERNS_NAME,
            'Replay load patterns on the decisions of one host.',
            run_patterns,
        )
    )
    scenarios.add(
        registry.Scenario(
            SITE_NAME,
            'Replay load patterns on the placement of a whole site.',
            run_site,
        )
    )
    scenarios.add(
        registry.Scenario(
            CAPACITY_NAME,
            'Replay upstreams whose capacity must be measured.',
            run_capacity,
        )
    )
    scenarios.add(
        registry.Scenario(
            CROWD_NAME,
            'Replay crowds on the admission of new flows.',
            run_crowd,
        )
    )
