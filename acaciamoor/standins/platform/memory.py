"""Transport over an `ObjectTable` in the same process."""

import collections.abc
import typing

from acaciamoor import platform
from acaciamoor.standins.platform import table as tables


class Outcome(typing.NamedTuple):
    """What happens to one write."""

    applied: bool
    error: type[platform.StoreError] | None = None


# Decides about every call: `kind of call` to `Outcome`.
Plan = collections.abc.Callable[[str], Outcome]
PASS = Outcome(applied=True)
LOST_REPLY = Outcome(applied=True, error=platform.OutcomeUnknown)
LOST_REQUEST = Outcome(applied=False, error=platform.OutcomeUnknown)
DOWN = Outcome(applied=False, error=platform.Unavailable)


class MemoryTransport:
    """Calls with faults that a test decides about one by one.

    Parameters
    ----------
    table : ObjectTable
        Shared by all transports of a test.
    plan : Callable
        Returns the outcome of each call, given ``read`` or ``write``.
    """

    def __init__(
        self, table: tables.ObjectTable, plan: Plan | None = None
    ) -> None:
        self.table = table
        self.plan = plan or (lambda _: PASS)
        self.before_write: (
            collections.abc.Callable[
                [platform.Write], collections.abc.Awaitable[None]
            ]
            | None
        ) = None

    async def read(self, kind: str, name: str) -> platform.StoredObject:
        """Return an object."""
        self._check_read()
        return self.table.read(kind, name)

    async def read_all(
        self, kind: str, selector: platform.FieldSelector | None = None
    ) -> platform.Listing:
        """Return the selected objects of a kind; all without a selector."""
        self._check_read()
        return tables.select(self.table.listing(kind), selector)

    async def write(self, write: platform.Write) -> platform.StoredObject:
        """Store a value, as far as the plan lets it."""
        if self.before_write is not None:
            await self.before_write(write)
        outcome = self.plan('write')
        if not outcome.applied and outcome.error is not None:
            raise outcome.error(write.name)
        stored = self.table.write(write)
        if outcome.error is not None:
            raise outcome.error(write.name)
        return stored

    async def remove(
        self, kind: str, name: str, expected_version: int
    ) -> None:
        """Delete an object, as far as the plan lets it."""
        outcome = self.plan('write')
        if outcome.applied:
            self.table.remove(kind, name, expected_version)
        if outcome.error is not None:
            raise outcome.error(name)

    async def stream(
        self, kind: str, after_version: int
    ) -> collections.abc.AsyncIterator[platform.WatchEvent]:
        """Yield the changes that exist now and end."""
        self._check_read()
        for event in self.table.events_after(kind, after_version):
            yield event

    def _check_read(self) -> None:
        outcome = self.plan('read')
        if outcome.error is not None:
            raise platform.Unavailable('outage')
