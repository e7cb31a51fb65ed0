"""Test data for the object store."""

import random

from acaciamoor import platform
from acaciamoor.standins.platform import memory
from acaciamoor.standins.platform import table as tables


async def no_sleep(duration) -> None:
    """Return at once."""


def store(
    table: tables.ObjectTable,
    plan: memory.FaultPlan | None = None,
    seed: int = 1,
) -> platform.PlatformStore:
    """Return a store over `table` with the faults of `plan`."""
    return platform.PlatformStore(
        memory.MemoryTransport(table, plan), random.Random(seed), no_sleep
    )


def planned(*outcomes: memory.CallOutcome) -> memory.FaultPlan:
    """Return a plan for the coming writes; later ones pass."""
    waiting = list(outcomes)

    def plan(call: str) -> memory.CallOutcome:
        return (
            waiting.pop(0) if call == 'write' and waiting else memory.APPLIED
        )

    return plan
