"""Carries out changes by conditional writes."""

import collections.abc
import functools

from acaciamoor import clock as clocks
from acaciamoor import findings
from acaciamoor import model
from acaciamoor.model import claim as claim_values
from acaciamoor.model import documents
from acaciamoor.operator import changes
from acaciamoor.operator import claims
from acaciamoor.operator import outcomes
from acaciamoor.operator import repository
from acaciamoor.operator import reuse
import acaciamoor.platform as platform

# Attempts of a change that may be repeated after it has lost a race.
ATTEMPTS = 5
_PLACE = documents.SERVICE_KIND


class ServiceEditor:
    """Carries out the changes that operators ask for.

    The order of writes is: identifier, pending service (creation only),
    claims of new addresses, the service, claims of addresses that are no
    longer used. Only the write of the service decides about the change.

    Parameters
    ----------
    store : ObjectStore
        The platform.
    clock : Clock
        Time of changes.
    """

    def __init__(
        self, store: platform.ObjectStore, clock: clocks.Clock
    ) -> None:
        self._clock = clock
        self._store = store
        self._services = repository.ServiceRepository(store)
        self._claims = claims.ClaimRegistry(store, self._services, clock)

    async def execute(self, change: changes.Change) -> outcomes.Outcome:
        """Carry out `change` and return what became of it."""
        for _ in range(ATTEMPTS):
            outcome = await self._execute_once(change)
            lost = isinstance(outcome, outcomes.Conflicted)
            if not lost or not changes.is_repeatable(change):
                break
        return outcome

    async def _execute_once(self, change: changes.Change) -> outcomes.Outcome:
        try:
            current = await self._services.find(change.name)
            return await self._dispatch(change, current)
        except findings.FindingsError as error:
            return outcomes.Refused(error.findings)
        except platform.Conflict as error:
            return outcomes.beaten(error)
        except platform.StoreError as error:
            # The write of the service has its own handling, so it was not
            # reached.
            return outcomes.not_reached(error)

    @functools.singledispatchmethod
    async def _dispatch(
        self, change: changes.Change, current: repository.StoredService | None
    ) -> outcomes.Outcome:
        if current is None or not current.in_force:
            return outcomes.refused(
                f'{_PLACE}.{change.name}', 'does not exist'
            )
        if change.expected_version not in (0, current.version):
            return _changed_before(current)
        service = current.document.to_service(current.version)
        changed = changes.apply(change, service)
        if changed == service:
            return outcomes.Accepted(current.version, service)
        document = documents.ServiceDocument.of(
            changed, change.requested_by, self._clock.now()
        )
        return await self._write(document, current)

    @_dispatch.register
    async def _create(
        self,
        change: changes.CreateService,
        current: repository.StoredService | None,
    ) -> outcomes.Outcome:
        if current is not None and current.in_force:
            return outcomes.refused(
                f'{_PLACE}.{change.name}',
                f'exists already at version {current.version}',
            )
        if current is not None and self._is_being_created(current):
            return _changed_before(current)
        if current is not None and current.document.was_in_force:
            await reuse.check_name(self._store, change.name, current.version)
        service_id = await self._services.allocate_id()
        document = change.document.model_copy(
            update={
                'service_id': service_id,
                'written_by': change.requested_by,
                'written_at': self._clock.now(),
            }
        )
        pending = await self._services.write(
            document.model_copy(
                update={'phase': documents.ServicePhase.PENDING}
            ),
            None if current is None else current.version,
        )
        try:
            return await self._write(document, pending)
        except (findings.FindingsError, platform.StoreError):
            await self._abandon(pending)
            raise

    @_dispatch.register
    async def _delete(
        self,
        change: changes.DeleteService,
        current: repository.StoredService | None,
    ) -> outcomes.Outcome:
        deleted = documents.ServicePhase.DELETED
        if current is None or current.document.phase is deleted:
            return outcomes.refused(
                f'{_PLACE}.{change.name}', 'does not exist'
            )
        if change.expected_version not in (0, current.version):
            return _changed_before(current)
        tombstone = current.document.with_phase(
            deleted, change.requested_by, self._clock.now()
        )
        return await self._write(tombstone, current)

    def _is_being_created(self, current: repository.StoredService) -> bool:
        document = current.document
        if document.phase is not documents.ServicePhase.PENDING:
            return False
        if document.written_at is None:
            return False
        age = self._clock.now() - document.written_at
        return age < claims.ABANDONED_AFTER

    async def _write(
        self,
        document: documents.ServiceDocument,
        current: repository.StoredService,
    ) -> outcomes.Outcome:
        before = claims.names_of(current.document)
        if not current.in_force:
            before = frozenset()
        wanted = [
            claim
            for claim in self._wanted(document, current.version)
            if claim.name not in before
        ]
        acquired: list[claims.Acquired] = []
        try:
            await self._acquire_all(wanted, acquired)
            written = await self._services.write(document, current.version)
        except platform.OutcomeUnknown as error:
            # With all claims acquired it was the service's own write.
            if len(acquired) == len(wanted):
                return outcomes.Unknown(str(error))
            await self._release_all(acquired)
            raise
        except (findings.FindingsError, platform.StoreError):
            await self._release_all(acquired)
            raise
        await self._retire_unused(document, current, written.version)
        return outcomes.Accepted(
            written.version, document.to_service(written.version)
        )

    def _wanted(
        self, document: documents.ServiceDocument, expected_version: int
    ) -> collections.abc.Iterator[claim_values.AddressClaim]:
        if document.phase is documents.ServicePhase.DELETED:
            return
        upstreams = document.upstreams_by_id.values()
        users = [
            (
                document.address,
                claim_values.ClaimRole.SERVICE,
                frozenset(item.data_centre for item in upstreams),
            )
        ]
        users.extend(
            (
                item.address,
                claim_values.ClaimRole.UPSTREAM,
                frozenset([item.data_centre]),
            )
            for item in upstreams
        )
        for address, role, data_centres in users:
            yield claim_values.AddressClaim(
                address=model.Address.parse(address),
                role=role,
                service_id=model.ServiceId(document.service_id),
                service_name=document.name,
                data_centres=frozenset(
                    model.DataCentre(name) for name in data_centres
                ),
                expected_version=expected_version,
                claimed_at=self._clock.now(),
            )

    async def _acquire_all(
        self,
        wanted: collections.abc.Iterable[claim_values.AddressClaim],
        acquired: list[claims.Acquired],
    ) -> None:
        problems: list[findings.Finding] = []
        for claim in wanted:
            try:
                acquired.append(await self._claims.acquire(claim))
            except findings.FindingsError as error:
                problems.extend(error.findings)
        if problems:
            raise findings.FindingsError.of(
                'addresses cannot be claimed', problems
            )

    async def _release_all(
        self, acquired: collections.abc.Iterable[claims.Acquired]
    ) -> None:
        for item in acquired:
            await self._claims.release(item)

    async def _retire_unused(
        self,
        document: documents.ServiceDocument,
        current: repository.StoredService,
        version: int,
    ) -> None:
        unused = claims.names_of(current.document)
        if document.phase is not documents.ServicePhase.DELETED:
            unused -= claims.names_of(document)
        for name in sorted(unused):
            await self._claims.retire(name, document.service_id, version)

    async def _abandon(self, pending: repository.StoredService) -> None:
        tombstone = pending.document.with_phase(
            documents.ServicePhase.DELETED,
            pending.document.written_by,
            self._clock.now(),
        )
        try:
            await self._services.write(tombstone, pending.version)
        except platform.StoreError:
            return


def _changed_before(
    current: repository.StoredService,
) -> outcomes.Conflicted:
    return outcomes.Conflicted(current.version, current.document.written_by)
