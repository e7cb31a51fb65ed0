"""All scenarios of the load tool."""

from acaciamoor.load import scenarios


def registry() -> scenarios.ScenarioRegistry:
    """Return every scenario in the order of the bench."""
    return scenarios.ScenarioRegistry()
