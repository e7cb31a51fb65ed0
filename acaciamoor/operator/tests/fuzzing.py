"""Fault injection and oracle for the fuzz test of the operator API."""

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
    """Simulates the crash of an operator during a call."""


class FaultyTransport(memory.MemoryTransport):
    """Delays calls and injects faults chosen by a seeded random generator.

    Parameters
    ----------
    table : ObjectTable
        Objects on the platform, shared with the other operators.
    seed : int
        Seed of the delays and faults; 0 injects delays only.
    delayed_writes : list
        Receives the writes whose caller has stopped waiting for a reply. The
        test delivers them later.
    """

    FAULTS = ('lost reply', 'lost request', 'delayed write', 'down', 'crash')

    def __init__(self, table, seed, delayed_writes):
        super().__init__(table)
        self._random = random.Random(seed)
        self._rate = self._random.choice([0.0, 0.1, 0.3]) if seed else 0.0
        self._delayed_writes = delayed_writes

    async def read(self, kind, name):
        await self._inject_fault()
        return await super().read(kind, name)

    async def read_all(self, kind, selector=None):
        await self._inject_fault()
        return await super().read_all(kind, selector)

    async def write(self, write):
        fault = await self._inject_fault()
        if fault == 'lost request':
            raise platform.OutcomeUnknown(write.name)
        if fault == 'delayed write':
            self._delayed_writes.append(write)
            raise platform.OutcomeUnknown(write.name)
        stored = await super().write(write)
        if fault == 'lost reply':
            raise platform.OutcomeUnknown(write.name)
        await asyncio.sleep(0)
        return stored

    async def _inject_fault(self):
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
class ServiceWrite:
    """One write of a service document, with the previous document."""

    name: str
    version: int
    before: documents.ServiceDocument | None
    after: documents.ServiceDocument


@dataclasses.dataclass(frozen=True)
class EndedUse:
    """A use of an address that has ended."""

    service_id: int
    removed_version: int
    data_centres: frozenset[str]


class CheckedTable(tables.ObjectTable):
    """Object table that checks address ownership at every service write.

    An address must have one holder at most, and may go to another service
    only when all data centres that used it have confirmed its removal.
    """

    def __init__(self):
        super().__init__()
        self.service_writes: list[ServiceWrite] = []
        self.problems: list[str] = []
        self.versions_by_data_centre = collections.Counter()
        self._documents_by_name: dict[str, documents.ServiceDocument] = {}
        self._ended_uses_by_address: dict[str, list[EndedUse]] = (
            collections.defaultdict(list)
        )

    def _store(self, write):
        stored = super()._store(write)
        if write.kind == SERVICES:
            document = documents.parse_service(write.name, write.value)
            before = self._documents_by_name.get(write.name)
            self._documents_by_name[write.name] = document
            service_write = ServiceWrite(
                write.name, stored.version, before, document
            )
            self.service_writes.append(service_write)
            self._check_holders()
            self._check_reuse(service_write)
        if write.kind == documents.STATUS_KIND:
            version = write.value['version']
            self.versions_by_data_centre[write.name] = version
        return stored

    def _check_holders(self):
        names = collections.Counter()
        for document in self._documents_by_name.values():
            names.update(_claim_names(document))
        for name, count in names.items():
            if count > 1:
                self.problems.append(f'{name} is held by {count} services')

    def _check_reuse(self, service_write):
        before, after = (
            _claim_names(service_write.before),
            _claim_names(service_write.after),
        )
        for name in before - after:
            self._ended_uses_by_address[name].append(
                EndedUse(
                    service_write.before.service_id,
                    service_write.version,
                    _data_centres(service_write.before, name),
                )
            )
        for name in after - before:
            for use in self._ended_uses_by_address[name]:
                self._check_confirmed(service_write, name, use)

    def _check_confirmed(self, service_write, name, use):
        if use.service_id == service_write.after.service_id:
            return
        for data_centre in use.data_centres:
            reached = self.versions_by_data_centre[data_centre]
            if reached < use.removed_version:
                self.problems.append(
                    f'{name} was reused by {service_write.name} at version '
                    f'{service_write.version} before {data_centre} confirmed '
                    f'version {use.removed_version}'
                )


def _claim_names(document) -> set[str]:
    if document is None:
        return set()
    if document.phase is not documents.ServicePhase.ACTIVE:
        return set()
    return set(claims.claim_names(document))


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
    """Matches every write of a service to exactly one change.

    A write that changes an active service must be the effect of a change that
    was accepted at that version, or of a change with an unknown outcome.
    Every accepted change must have a write, unless it was already in effect.
    """

    def __init__(self, table: CheckedTable) -> None:
        self.table = table
        self._checked = 0
        self._unresolved: list[operator.Change] = []

    def accept_current_state(self) -> None:
        """Exclude all writes so far from the check."""
        self._checked = len(self.table.service_writes)

    def check(self, outcomes) -> list[str]:
        """Return the problems found after a batch of (change, outcome)."""
        accepted = {}
        for change, outcome in outcomes:
            if isinstance(outcome, operator.Accepted):
                accepted.setdefault(outcome.version, []).append(change)
            elif outcome is None or isinstance(outcome, operator.Unknown):
                self._unresolved.append(change)
        problems = list(self.table.problems)
        for service_write in self.table.service_writes[self._checked :]:
            problems.extend(self._check_write(service_write, accepted))
        self._checked = len(self.table.service_writes)
        for version, remaining in accepted.items():
            problems.extend(
                f'{change} was accepted at version {version} without effect'
                for change in remaining
                if not self._already_applied(change, version)
            )
        return problems

    def _check_write(self, service_write, accepted):
        before = _active_service(service_write.before)
        after = _active_service(service_write.after)
        if before == after:
            return
        candidates = accepted.get(service_write.version, [])
        for change in candidates:
            if change.name == service_write.name and _produces(
                change, before, after
            ):
                candidates.remove(change)
                return
        for change in self._unresolved:
            if change.name == service_write.name and _produces(
                change, before, after
            ):
                self._unresolved.remove(change)
                return
        yield f'no change accounts for {service_write}'

    def _already_applied(self, change, version):
        service_write = next(
            item
            for item in self.table.service_writes
            if item.version == version
        )
        after = _active_service(service_write.after)
        if isinstance(change, operator.DeleteService):
            # Deleting a pending service does not change any active service.
            return service_write.name == change.name and after is None
        return service_write.name == change.name and _produces(
            change, after, after
        )


def _active_service(document) -> model.Service | None:
    return None if document is None else document.to_service(0)


def _produces(change, before, after) -> bool:
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
