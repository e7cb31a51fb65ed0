"""In-process transport to an `ObjectTable`, with injected faults."""

import collections.abc
import typing

from acaciamoor import platform
from acaciamoor.standins.platform import table as tables


class CallOutcome(typing.NamedTuple):
    """Whether a call is applied, and the error that it raises if any."""

    applied: bool
    error: type[platform.StoreError] | None = None


# Maps the kind of a call, ``read`` or ``write``, to its outcome.
FaultPlan = collections.abc.Callable[[str], CallOutcome]
APPLIED = CallOutcome(applied=True)
LOST_REPLY = CallOutcome(applied=True, error=platform.OutcomeUnknown)
LOST_REQUEST = CallOutcome(applied=False, error=platform.OutcomeUnknown)
UNAVAILABLE = CallOutcome(applied=False, error=platform.Unavailable)


class MemoryTransport:
    """Transport on which a test chooses the outcome of each call.

    Parameters
    ----------
    table : ObjectTable
        Objects, shared by all transports of a test.
    plan : Callable
        Returns the outcome of a call, given ``read`` or ``write``.
    """

    def __init__(
        self, table: tables.ObjectTable, plan: FaultPlan | None = None
    ) -> None:
        self.table = table
        self.plan = plan or (lambda _: APPLIED)
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
        """Store a value with the outcome that the plan returns."""
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
        """Delete an object with the outcome that the plan returns."""
        outcome = self.plan('write')
        if outcome.applied:
            self.table.remove(kind, name, expected_version)
        if outcome.error is not None:
            raise outcome.error(name)

    async def stream(
        self, kind: str, after_version: int
    ) -> collections.abc.AsyncIterator[platform.WatchEvent]:
        """Yield the existing changes after `after_version`, then end."""
        self._check_read()
        for event in self.table.events_after(kind, after_version):
            yield event

    def _check_read(self) -> None:
        outcome = self.plan('read')
        if outcome.error is not None:
            raise platform.Unavailable('the platform is unavailable')
