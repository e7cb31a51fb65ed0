"""Experiments, one module for each subject.

Every module has a function ``run(options) -> list[Measurement]`` for each
scenario and registers it in `registry`.
"""

from acaciamoor.load.scenarios.registry import Options
from acaciamoor.load.scenarios.registry import Scenario
from acaciamoor.load.scenarios.registry import ScenarioRegistry

__all__ = ['Options', 'Scenario', 'ScenarioRegistry']
