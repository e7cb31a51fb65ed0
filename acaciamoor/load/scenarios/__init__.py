"""Load scenarios, one module per subject.

A module has a function ``run(options) -> list[Measurement]`` for each of its
scenarios and adds them to a `ScenarioRegistry`.
"""

from acaciamoor.load.scenarios.registry import Options
from acaciamoor.load.scenarios.registry import Scenario
from acaciamoor.load.scenarios.registry import ScenarioRegistry

__all__ = ['Options', 'Scenario', 'ScenarioRegistry']
