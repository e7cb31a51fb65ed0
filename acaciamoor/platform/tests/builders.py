"""Builders for tests of the object store."""

import random

from acaciamoor import platform
from acaciamoor.platform import dialect
from acaciamoor.platform import versions
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


class StubDialect:
    """Minimal requests; the body of a response becomes an object's name."""

    era_header = 'platform-era'

    def read(self, kind, name):
        return dialect.Request('GET', f'/{kind}/{name}', name)

    def write(self, write):
        return dialect.Request('PUT', f'/{write.kind}', write.name, b'{}')

    def wait(self, kind, after_version, wait):
        return dialect.Request('GET', f'/{kind}?watch', kind)

    def read_page(self, kind, after, stale):
        return dialect.Request('GET', f'/{kind}', kind)

    def decode_stored(self, kind, body, era):
        return platform.StoredObject(kind, body.decode(), 1, {})

    def decode_changes(self, kind, body, era):
        return dialect.Changes(versions.make_version(era, int(body)), ())

    def decode_page(self, kind, body, era):
        version = versions.make_version(era, int(body))
        return dialect.Page(version, (), 'a' if int(body) == 1 else '')
