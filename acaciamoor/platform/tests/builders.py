"""Builders for tests of the object store."""

import random

from acaciamoor import platform
from acaciamoor.standins.platform import memory
from acaciamoor.standins.platform import table as tables


async def no_sleep(duration) -> None:
    """Return without sleeping."""


def store(
    table: tables.ObjectTable,
    plan: memory.FaultPlan | None = None,
    seed: int = 1,
) -> platform.PlatformStore:
    """Return a store backed by `table`, with the faults of `plan`."""
    return platform.PlatformStore(
        memory.MemoryTransport(table, plan), random.Random(seed), no_sleep
    )


def plan_writes(*outcomes: memory.CallOutcome) -> memory.FaultPlan:
    """Return a plan with the outcomes of the next writes; later ones pass."""
    remaining = list(outcomes)

    def plan(call: str) -> memory.CallOutcome:
        return (
            remaining.pop(0)
            if call == 'write' and remaining
            else memory.APPLIED
        )

    return plan
