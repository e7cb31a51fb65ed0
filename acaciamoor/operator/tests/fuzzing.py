"""Oracle and faulty calls for the fuzz test of the operator API."""

import asyncio
import collections
import dataclasses
import random

from acaciamoor import findings
from acaciamoor import model
from acaciamoor.model import claim as claim_values
from acaciamoor.model import documents
import acaciamoor.operator as operator
from acaciamoor.operator import changes
from acaciamoor.operator import claims
import acaciamoor.platform as platform
from acaciamoor.standins.platform import memory
from acaciamoor.standins.platform import table as tables

SERVICES = documents.SERVICE_KIND


class Crash(BaseException):
    """Ends an operator at a call."""


class FaultyTransport(memory.MemoryTransport):
    """Delays, loses and repeats calls as a seeded random source says.

    Parameters
    ----------
    table : ObjectTable
        Shared platform.
    seed : int
        Seed of the faults; 0 has none.
    late_writes : list
        Takes the writes that arrive after their reply was given up.
    """

    FAULTS = ('lost reply', 'lost request', 'late', 'down', 'crash')

    def __init__(self, table, seed, late_writes):
        super().__init__(table)
        self._random = random.Random(seed)
        self._rate = self._random.choice([0.0, 0.1, 0.3]) if seed else 0.0
        self._late_writes = late_writes

    async def read(self, kind, name):
        await self._step()
        return await super().read(kind, name)

    async def read_all(self, kind, selector=None):
        await self._step()
        return await super().read_all(kind, selector)

    async def write(self, write):
        fault = await self._step()
        if fault == 'lost request':
            raise platform.OutcomeUnknown(write.name)
        if fault == 'late':
            self._late_writes.append(write)
            raise platform.OutcomeUnknown(write.name)
        stored = await super().write(write)
        if fault == 'lost reply':
            raise platform.OutcomeUnknown(write.name)
        await asyncio.sleep(0)
        return stored

    async def _step(self):
        for _ in range(self._random.randrange(4)):
            await asyncio.sleep(0)
        if self._random.random() >= self._rate:
            return ''
        fault = self._random.choice(self.FAULTS)
        if fault == 'down':
            raise platform.Unavailable('outage')
        if fault == 'crash':
            raise Crash
        return fault


@dataclasses.dataclass(frozen=True)
class Step:
    """One write of a service object."""

    name: str
    version: int
    before: documents.ServiceDocument | None
    after: documents.ServiceDocument


@dataclasses.dataclass(frozen=True)
class Use:
    """The last use of an address that has ended."""

    service_id: int
    removed_version: int
    data_centres: frozenset[str]


class WatchedTable(tables.ObjectTable):
    """Table that checks every write of a service as it happens."""

    def __init__(self):
        super().__init__()
        self.steps: list[Step] = []
        self.problems: list[str] = []
        self.versions_by_data_centre = collections.Counter()
        self._documents_by_name: dict[str, documents.ServiceDocument] = {}
        self._ended_uses_by_address: dict[str, list[Use]] = (
            collections.defaultdict(list)
        )

    def _store(self, write):
        stored = super()._store(write)
        if write.kind == SERVICES:
            document = documents.parse_service(write.name, write.value)
            before = self._documents_by_name.get(write.name)
            self._documents_by_name[write.name] = document
            step = Step(write.name, stored.version, before, document)
            self.steps.append(step)
            self._check_holders()
            self._check_reuse(step)
        if write.kind == documents.STATUS_KIND:
            version = write.value['version']
            self.versions_by_data_centre[write.name] = version
        return stored

    def _check_holders(self):
        names = collections.Counter()
        for document in self._documents_by_name.values():
            names.update(_names(document))
        for name, count in names.items():
            if count > 1:
                self.problems.append(f'{name} has {count} holders')

    def _check_reuse(self, step):
        before, after = _names(step.before), _names(step.after)
        for name in before - after:
            self._ended_uses_by_address[name].append(
                Use(
                    step.before.service_id,
                    step.version,
                    _data_centres(step.before, name),
                )
            )
        for name in after - before:
            for use in self._ended_uses_by_address[name]:
                self._check_confirmed(step, name, use)

    def _check_confirmed(self, step, name, use):
        if use.service_id == step.after.service_id:
            return
        for data_centre in use.data_centres:
            reached = self.versions_by_data_centre[data_centre]
            if reached < use.removed_version:
                self.problems.append(
                    f'{name} went to {step.name} at {step.version} before '
                    f'{data_centre} reached {use.removed_version}'
                )


def _names(document) -> set[str]:
    if document is None:
        return set()
    if document.phase is not documents.ServicePhase.ACTIVE:
        return set()
    return set(claims.names_of(document))


def _claim_name(address: str) -> str:
    return claim_values.claim_name(model.Address.parse(address))


def _data_centres(document, name) -> frozenset[str]:
    upstreams = document.upstreams_by_id.values()
    return frozenset(
        item.data_centre
        for item in upstreams
        if name == _claim_name(item.address)
    ) or frozenset(item.data_centre for item in upstreams)


class Oracle:
    """Explains every step of every service by one change.

    A step that changes what is in force must be an accepted change at its
    version, or one whose outcome nobody knows. Every accepted change must
    have its step.
    """

    def __init__(self, table: WatchedTable) -> None:
        self.table = table
        self._checked = 0
        self._open: list[operator.Change] = []

    def skip(self) -> None:
        """Take the state so far as given."""
        self._checked = len(self.table.steps)

    def check(self, outcomes) -> list[str]:
        """Return the problems after a batch of (change, outcome)."""
        accepted = {}
        for change, outcome in outcomes:
            if isinstance(outcome, operator.Accepted):
                accepted.setdefault(outcome.version, []).append(change)
            elif outcome is None or isinstance(outcome, operator.Unknown):
                self._open.append(change)
        problems = list(self.table.problems)
        for step in self.table.steps[self._checked :]:
            problems.extend(self._check_step(step, accepted))
        self._checked = len(self.table.steps)
        for version, remaining in accepted.items():
            problems.extend(
                f'{change} was accepted at {version} without effect'
                for change in remaining
                if not self._already_in_force(change, version)
            )
        return problems

    def _check_step(self, step, accepted):
        before = _in_force(step.before)
        after = _in_force(step.after)
        if before == after:
            return
        mine = accepted.get(step.version, [])
        for change in mine:
            if change.name == step.name and _gives(change, before, after):
                mine.remove(change)
                return
        for change in self._open:
            if change.name == step.name and _gives(change, before, after):
                self._open.remove(change)
                return
        yield f'no change explains {step}'

    def _already_in_force(self, change, version):
        step = next(
            item for item in self.table.steps if item.version == version
        )
        after = _in_force(step.after)
        if isinstance(change, operator.DeleteService):
            # A service that is being created is deleted without effect.
            return step.name == change.name and after is None
        return step.name == change.name and _gives(change, after, after)


def _in_force(document) -> model.Service | None:
    return None if document is None else document.to_service(0)


def _gives(change, before, after) -> bool:
    if isinstance(change, operator.CreateService):
        wanted = change.document
        return (
            before is None
            and after is not None
            and str(after.address) == wanted.address
            and documents.ServiceDocument.of(after).upstreams_by_id
            == wanted.upstreams_by_id
        )
    if isinstance(change, operator.DeleteService):
        return before is not None and after is None
    if before is None:
        return False
    try:
        return changes.apply(change, before) == after
    except findings.FindingsError:
        return False
