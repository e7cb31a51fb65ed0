"""Execution of changes to services by conditional writes."""

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

# Bounds the attempts of a retryable change that conflicts with other changes.
MAX_ATTEMPTS = 5
_SERVICE_KIND = documents.SERVICE_KIND


class ServiceEditor:
    """Executes changes to services.

    A creation first allocates an identifier and writes the service in its
    pending phase. Every change then acquires claims to the addresses that are
    new to the service, writes the service, and retires the claims to the
    addresses that the service no longer uses. The change takes effect with
    the write of the service.

    Parameters
    ----------
    store : ObjectStore
        Object store of the platform.
    clock : Clock
        Source of the timestamps of changes and claims.
    """

    def __init__(
        self, store: platform.ObjectStore, clock: clocks.Clock
    ) -> None:
        self._clock = clock
        self._store = store
        self._services = repository.ServiceRepository(store)
        self._claims = claims.ClaimRegistry(store, self._services, clock)

    async def execute(self, change: changes.Change) -> outcomes.Outcome:
        """Execute `change` and return its outcome.

        A retryable change that conflicts with other changes is attempted up
        to `MAX_ATTEMPTS` times.
        """
        for _ in range(MAX_ATTEMPTS):
            outcome = await self._execute_once(change)
            conflicted = isinstance(outcome, outcomes.Conflicted)
            if not conflicted or not changes.is_retryable(change):
                break
        return outcome

    async def _execute_once(self, change: changes.Change) -> outcomes.Outcome:
        try:
            current = await self._services.find(change.name)
            return await self._apply_change(change, current)
        except findings.FindingsError as error:
            return outcomes.Refused(error.findings)
        except platform.Conflict as error:
            return outcomes.from_conflict(error)
        except platform.StoreError as error:
            # `_write_with_claims` handles an unknown outcome of the write that
            # makes the change effective; all other errors mean no effect.
            return outcomes.from_store_error(error)

    @functools.singledispatchmethod
    async def _apply_change(
        self, change: changes.Change, current: repository.StoredService | None
    ) -> outcomes.Outcome:
        if current is None or not current.is_active:
            return outcomes.refused(
                f'{_SERVICE_KIND}.{change.name}', 'does not exist'
            )
        if change.expected_version not in (0, current.version):
            return _conflict_with(current)
        service = current.document.to_service(current.version)
        changed = changes.apply(change, service)
        if changed == service:
            return outcomes.Accepted(current.version, service)
        document = documents.ServiceDocument.of(
            changed, change.requested_by, self._clock.now()
        )
        return await self._write_with_claims(document, current)

    @_apply_change.register
    async def _create_service(
        self,
        change: changes.CreateService,
        current: repository.StoredService | None,
    ) -> outcomes.Outcome:
        if current is not None and current.is_active:
            return outcomes.refused(
                f'{_SERVICE_KIND}.{change.name}',
                f'already exists at version {current.version}',
            )
        if current is not None and self._is_being_created(current):
            return _conflict_with(current)
        if current is not None and current.document.was_in_force:
            await reuse.check_name_removed(
                self._store, change.name, current.version
            )
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
            return await self._write_with_claims(document, pending)
        except (findings.FindingsError, platform.StoreError):
            await self._delete_pending(pending)
            raise

    @_apply_change.register
    async def _delete_service(
        self,
        change: changes.DeleteService,
        current: repository.StoredService | None,
    ) -> outcomes.Outcome:
        deleted = documents.ServicePhase.DELETED
        if current is None or current.document.phase is deleted:
            return outcomes.refused(
                f'{_SERVICE_KIND}.{change.name}', 'does not exist'
            )
        if change.expected_version not in (0, current.version):
            return _conflict_with(current)
        tombstone = current.document.with_phase(
            deleted, change.requested_by, self._clock.now()
        )
        return await self._write_with_claims(tombstone, current)

    def _is_being_created(self, current: repository.StoredService) -> bool:
        document = current.document
        if document.phase is not documents.ServicePhase.PENDING:
            return False
        if document.written_at is None:
            return False
        age = self._clock.now() - document.written_at
        return age < claims.ABANDONED_AFTER

    async def _write_with_claims(
        self,
        document: documents.ServiceDocument,
        current: repository.StoredService,
    ) -> outcomes.Outcome:
        held = claims.claim_names(current.document)
        if not current.is_active:
            held = frozenset()
        missing = [
            claim
            for claim in self._required_claims(document, current.version)
            if claim.name not in held
        ]
        acquired: list[claims.AcquiredClaim] = []
        try:
            await self._acquire_claims(missing, acquired)
            written = await self._services.write(document, current.version)
        except platform.OutcomeUnknown as error:
            # Once all claims are acquired, only the write of the service can
            # have failed.
            if len(acquired) == len(missing):
                return outcomes.Unknown(str(error))
            await self._release_claims(acquired)
            raise
        except (findings.FindingsError, platform.StoreError):
            await self._release_claims(acquired)
            raise
        await self._retire_unused_claims(document, current, written.version)
        return outcomes.Accepted(
            written.version, document.to_service(written.version)
        )

    def _required_claims(
        self, document: documents.ServiceDocument, expected_version: int
    ) -> collections.abc.Iterator[claim_values.AddressClaim]:
        if document.phase is documents.ServicePhase.DELETED:
            return
        upstreams = document.upstreams_by_id.values()
        uses = [
            (
                document.address,
                claim_values.ClaimRole.SERVICE,
                frozenset(item.data_centre for item in upstreams),
            )
        ]
        uses.extend(
            (
                item.address,
                claim_values.ClaimRole.UPSTREAM,
                frozenset([item.data_centre]),
            )
            for item in upstreams
        )
        for address, role, data_centres in uses:
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

    async def _acquire_claims(
        self,
        missing: collections.abc.Iterable[claim_values.AddressClaim],
        acquired: list[claims.AcquiredClaim],
    ) -> None:
        problems: list[findings.Finding] = []
        for claim in missing:
            try:
                acquired.append(await self._claims.acquire(claim))
            except findings.FindingsError as error:
                problems.extend(error.findings)
        if problems:
            raise findings.FindingsError.of(
                'addresses cannot be claimed', problems
            )

    async def _release_claims(
        self, acquired: collections.abc.Iterable[claims.AcquiredClaim]
    ) -> None:
        for item in acquired:
            await self._claims.release(item)

    async def _retire_unused_claims(
        self,
        document: documents.ServiceDocument,
        current: repository.StoredService,
        version: int,
    ) -> None:
        unused = claims.claim_names(current.document)
        if document.phase is not documents.ServicePhase.DELETED:
            unused -= claims.claim_names(document)
        for name in sorted(unused):
            await self._claims.retire(name, document.service_id, version)

    async def _delete_pending(self, pending: repository.StoredService) -> None:
        tombstone = pending.document.with_phase(
            documents.ServicePhase.DELETED,
            pending.document.written_by,
            self._clock.now(),
        )
        try:
            await self._services.write(tombstone, pending.version)
        except platform.StoreError:
            return


def _conflict_with(
    current: repository.StoredService,
) -> outcomes.Conflicted:
    return outcomes.Conflicted(current.version, current.document.written_by)
