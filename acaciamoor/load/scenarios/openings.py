"""Placement of new flows at a crest: what a host must know for it."""

import collections.abc
import functools

from acaciamoor.load import measurement
from acaciamoor.load.scenarios import opening_choices
from acaciamoor.load.scenarios import opening_model
from acaciamoor.load.scenarios import registry

NAME = 'openings-crest'
# Requests a second for each upstream at the crest of a swing; two slots can
# serve 66 with the model's work.
CREST_RATE = 47.0
# The same while so many upstreams have left that the rest is nearly full.
SHORTAGE_RATE = 55.0

Build = collections.abc.Callable[[int, int, int], opening_model.Chooser]
BUILDS_BY_NAME: dict[str, Build] = {
    'own load': opening_choices.OwnLoad,
    'random': opening_choices.RandomChoice,
    'shared every 200 ms': opening_choices.SharedLoad,
    'one table for all hosts': functools.partial(
        opening_choices.OwnLoad, one_table=True
    ),
}


def share_in_time(name: str, options: registry.Options, rate: float) -> float:
    """Return the share of requests that are answered in time.

    Parameters
    ----------
    name : str
        Way of choosing, a key of `BUILDS_BY_NAME`.
    options : Options
        Sizes and seed.
    rate : float
        Requests a second for each upstream.
    """
    chooser = BUILDS_BY_NAME[name](
        options.balancers, options.upstreams, options.seed
    )
    crest = opening_model.Crest(
        chooser,
        options.balancers,
        options.upstreams,
        rate * options.upstreams,
        options.seed,
    )
    return crest.run(options.duration)


def run(options: registry.Options) -> list[measurement.Measurement]:
    """Compare the ways of choosing at the crest and in a shortage."""
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
            ('crest', CREST_RATE),
            ('shortage', SHORTAGE_RATE),
        )
        for name in BUILDS_BY_NAME
    ]


def register(scenarios: registry.ScenarioRegistry) -> None:
    """Add the scenario of this module."""
    scenarios.add(
        registry.Scenario(
            NAME,
            'New flows at a crest, placed with different knowledge of load.',
            run,
        )
    )
