"""Registry of all scenarios of the load tool."""

from acaciamoor.load import scenarios
from acaciamoor.load.scenarios import balancers
from acaciamoor.load.scenarios import configuration
from acaciamoor.load.scenarios import flows
from acaciamoor.load.scenarios import membership
from acaciamoor.load.scenarios import openings
from acaciamoor.load.scenarios import placement
from acaciamoor.load.scenarios import throughput

_MODULES = (
    flows,
    placement,
    openings,
    membership,
    configuration,
    balancers,
    throughput,
)


def build_registry() -> scenarios.ScenarioRegistry:
    """Return a registry of all scenarios, in the order in which they run."""
    registry = scenarios.ScenarioRegistry()
    for module in _MODULES:
        module.register(registry)
    return registry
