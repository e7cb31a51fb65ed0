"""Address claims, which give one service at a time the right to an address.

A claim is written before the service that uses the address, and records the
version of the service that the change replaces. The service document is
authoritative: a claim is valid only while the service uses the address, or
while the service still has the recorded version, so that the pending change
can still take effect. An operator that crashes between these writes therefore
leaves nothing to roll back: the next change that needs the address retires
the stale claim.
"""

import collections.abc
import dataclasses
import datetime

from acaciamoor import clock as clocks
from acaciamoor import findings
from acaciamoor.model import claim as claims
from acaciamoor.model import documents
from acaciamoor.operator import repository
from acaciamoor.operator import reuse
import acaciamoor.platform as platform

# Age at which a change that wrote its claims but not its service is considered
# abandoned. It only has to exceed the usual duration of a change: a change
# that resumes later fails safely, because its service has a new version then.
ABANDONED_AFTER = datetime.timedelta(seconds=60)
_MAX_ATTEMPTS = 5


@dataclasses.dataclass(frozen=True, slots=True)
class AcquiredClaim:
    """A claim that a change has acquired.

    Parameters
    ----------
    claim : AddressClaim
        The claim as stored.
    version : int
        Version of the stored claim.
    is_new : bool
        Whether the service held no claim to the address before. Only a new
        claim may be released if the change fails, because a concurrent change
        to the same service may rely on an existing one.
    """

    claim: claims.AddressClaim
    version: int
    is_new: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _StoredClaim:
    claim: claims.AddressClaim
    version: int


class ClaimRegistry:
    """Acquires, releases and retires claims to addresses.

    Parameters
    ----------
    store : ObjectStore
        Store that holds the claims.
    services : ServiceRepository
        Services, which determine whether a claim is valid.
    clock : Clock
        Measures the age of claims.
    """

    def __init__(
        self,
        store: platform.ObjectStore,
        services: repository.ServiceRepository,
        clock: clocks.Clock,
    ) -> None:
        self._store = store
        self._services = services
        self._clock = clock

    async def acquire(self, wanted: claims.AddressClaim) -> AcquiredClaim:
        """Claim an address for a service.

        Raises
        ------
        FindingsError
            If another service holds the address, or a data centre may still
            send traffic of its previous service to it.
        StoreError
            If the claim cannot be written; the service was not changed.
        """
        for _ in range(_MAX_ATTEMPTS):
            try:
                return await self._acquire_once(wanted)
            except platform.Conflict:
                continue
        raise platform.Unavailable(
            f'{wanted.address}: too many concurrent claims to the address'
        )

    async def release(self, acquired: AcquiredClaim) -> None:
        """Release a claim of a change that had no effect.

        The address is free at once, without confirmation by data centres. A
        claim that is not new is kept. Errors of the store are ignored: the
        next change that needs the address retires the claim.
        """
        if not acquired.is_new:
            return
        released = dataclasses.replace(acquired.claim, removed_version=0)
        try:
            await self._update(released, acquired.version)
        except platform.StoreError:
            return

    async def retire(self, name: str, holder: int, version: int) -> None:
        """Record that a service stopped using an address.

        Nothing is written if another service or a later change of the same
        service holds the claim, or if the claim is retired already. Errors
        are ignored, as in `release`.

        Parameters
        ----------
        name : str
            Name of the claim.
        holder : int
            Identifier of the service that held the address.
        version : int
            Version of the service from which it no longer uses the address.
        """
        try:
            found = await self._read(name)
            claim = found.claim
            if claim.service_id != holder or claim.expected_version >= version:
                return
            if claim.removed_version is None:
                await self._update(
                    dataclasses.replace(claim, removed_version=version),
                    found.version,
                )
        except (platform.StoreError, findings.FindingsError):
            return

    async def _acquire_once(
        self, wanted: claims.AddressClaim
    ) -> AcquiredClaim:
        try:
            stored = await self._store.create(
                documents.CLAIM_KIND, wanted.name, _claim_value(wanted)
            )
            return AcquiredClaim(wanted, stored.version, is_new=True)
        except platform.Conflict as error:
            if error.stored is None:
                found = await self._read(wanted.name)
            else:
                found = _parse_stored(error.stored)
        if found.claim.service_id == wanted.service_id:
            return await self._renew(found, wanted)
        retired = await self._ensure_retired(found)
        await reuse.check_address_removed(self._store, retired.claim)
        version = await self._update(wanted, retired.version)
        return AcquiredClaim(wanted, version, is_new=True)

    async def _renew(
        self, found: _StoredClaim, wanted: claims.AddressClaim
    ) -> AcquiredClaim:
        if found.claim.expected_version > wanted.expected_version:
            # The service has changed since this change read it, so the write
            # of the service will conflict.
            return AcquiredClaim(found.claim, found.version, is_new=False)
        # Data centres of the earlier claim may still send to the address.
        renewed = dataclasses.replace(
            wanted,
            data_centres=wanted.data_centres | found.claim.data_centres,
        )
        version = await self._update(renewed, found.version)
        return AcquiredClaim(renewed, version, is_new=False)

    async def _ensure_retired(self, found: _StoredClaim) -> _StoredClaim:
        claim = found.claim
        if claim.removed_version is not None:
            return found
        holder = await self._services.find(claim.service_name)
        if holder is None:
            removed = await self._services.collection_version()
        elif holder.document.service_id != claim.service_id:
            removed = holder.version
        else:
            removed = await self._removal_version(claim, holder)
        # The exact version that removed the address is unknown. The version
        # recorded here is at least as new, so waiting for it is safe.
        retired = dataclasses.replace(claim, removed_version=removed)
        return _StoredClaim(
            retired, await self._update(retired, found.version)
        )

    async def _removal_version(
        self, claim: claims.AddressClaim, holder: repository.StoredService
    ) -> int:
        """Return a version from which `holder` no longer uses the address.

        Raises
        ------
        FindingsError
            If the service uses the address, or a change in progress may yet
            use it.
        StoreError
            If the platform returns stale data or a write fails.
        """
        if holder.is_active and claim.name in claim_names(holder.document):
            raise _refusal(claim, f'is used by service {claim.service_name}')
        if holder.version < claim.expected_version:
            raise platform.Unavailable('the platform returned stale data')
        if holder.version > claim.expected_version:
            return holder.version
        if holder.document.phase is documents.ServicePhase.DELETED:
            return holder.version
        if self._clock.now() - claim.claimed_at < ABANDONED_AFTER:
            raise _refusal(
                claim,
                f'is claimed by a change to service {claim.service_name} that '
                'is in progress',
            )
        return await self._write_new_version(holder)

    async def _write_new_version(
        self, holder: repository.StoredService
    ) -> int:
        """Write a new version of the service to fence an abandoned change.

        The conditional write of the abandoned change then fails. A pending
        service is deleted.
        """
        document = holder.document
        if document.phase is documents.ServicePhase.PENDING:
            document = document.with_phase(
                documents.ServicePhase.DELETED,
                document.written_by,
                self._clock.now(),
            )
        written = await self._services.write(document, holder.version)
        return written.version

    async def _read(self, name: str) -> _StoredClaim:
        return _parse_stored(await self._store.get(documents.CLAIM_KIND, name))

    async def _update(self, claim: claims.AddressClaim, version: int) -> int:
        stored = await self._store.update(
            documents.CLAIM_KIND, claim.name, _claim_value(claim), version
        )
        return stored.version


def claim_names(document: documents.ServiceDocument) -> frozenset[str]:
    """Return the names of the claims to all addresses of a service."""
    return frozenset(
        claims.claim_name(address) for address in document.addresses()
    )


def _refusal(
    claim: claims.AddressClaim, message: str
) -> findings.FindingsError:
    return findings.FindingsError.of(
        f'address {claim.address} cannot be claimed',
        [findings.Finding(str(claim.address), message)],
    )


def _claim_value(claim: claims.AddressClaim) -> collections.abc.Mapping:
    return documents.to_json(documents.AddressClaimDocument.of(claim))


def _parse_stored(stored: platform.StoredObject) -> _StoredClaim:
    document = documents.parse(
        documents.AddressClaimDocument,
        f'{documents.CLAIM_KIND}.{stored.name}',
        stored.value,
    )
    return _StoredClaim(document.to_claim(), stored.version)
