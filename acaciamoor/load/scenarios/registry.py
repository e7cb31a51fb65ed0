"""Registry of scenarios, and the options that they take."""

import collections.abc
import dataclasses
import datetime

from acaciamoor.load import measurement


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Seed, size and duration of a scenario run.

    Parameters
    ----------
    seed : int
        Seed of all random choices of the run.
    balancers : int
        Number of balancers in the data centre.
    upstreams : int
        Number of upstreams of the service.
    duration : datetime.timedelta
        Duration of the load, in virtual or real time.
    """

    seed: int = 7
    balancers: int = 8
    upstreams: int = 7
    duration: datetime.timedelta = datetime.timedelta(seconds=60)


Run = collections.abc.Callable[[Options], list[measurement.Measurement]]


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A named load experiment.

    Parameters
    ----------
    name : str
        Name on the command line and in the results.
    summary : str
        One sentence for ``--list``.
    run : Callable
        Runs the scenario and returns its measurements.
    """

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
        """Add a scenario.

        Raises
        ------
        ValueError
            If a scenario with the same name is registered.
        """
        if scenario.name in self.scenarios_by_name:
            raise ValueError(
                f'scenario {scenario.name!r} is already registered'
            )
        self.scenarios_by_name[scenario.name] = scenario
