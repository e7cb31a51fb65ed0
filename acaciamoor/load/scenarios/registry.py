"""Registry of scenarios and the options they take."""

import collections.abc
import dataclasses
import datetime

from acaciamoor.load import measurement


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Size of an experiment.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    balancers : int
        Balancers in the data centre.
    upstreams : int
        Upstreams of the service.
    duration : datetime.timedelta
        Length of the run, in virtual or real time.
    """

    seed: int = 7
    balancers: int = 8
    upstreams: int = 7
    duration: datetime.timedelta = datetime.timedelta(seconds=60)


Run = collections.abc.Callable[[Options], list[measurement.Measurement]]


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A named experiment."""

    name: str
    summary: str
    run: Run


class ScenarioRegistry:
    """Scenarios by name.

    Examples
    --------
    >>> registry = ScenarioRegistry()
    >>> registry.add(Scenario('empty', 'Measures nothing.', lambda _: []))
    >>> list(registry.scenarios_by_name)
    ['empty']
    """

    def __init__(self) -> None:
        self.scenarios_by_name: dict[str, Scenario] = {}

    def add(self, scenario: Scenario) -> None:
        """Register `scenario`.

        Raises
        ------
        ValueError
            If the name is taken.
        """
        if scenario.name in self.scenarios_by_name:
            raise ValueError(f'scenario {scenario.name!r} exists already')
        self.scenarios_by_name[scenario.name] = scenario
