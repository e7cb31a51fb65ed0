"""Address claims: one service holds an address at a time.

A claim is written before the service that uses the address, and names the
version of the service that the change replaces. The service decides: a claim
counts only while its service lists the address, or still has that version, so
that the change may yet take effect. A change that stopped between its writes
therefore leaves nothing that must be undone; whoever needs the address next
retires the claim.
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

# Time after which a change that wrote its claims and not its service is taken
# for abandoned. It must only be longer than a change usually takes: a change
# that goes on later fails, because its service has a new version by then.
ABANDONED_AFTER = datetime.timedelta(seconds=60)
_ATTEMPTS = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Acquired:
    """A claim as written.

    Parameters
    ----------
    claim : AddressClaim
        The claim.
    version : int
        Version of its object.
    is_new : bool
        Whether the service did not hold a claim of the address before. Only
        then may the claim be released if the change fails: otherwise another
        change of the same service may rely on it.
    """

    claim: claims.AddressClaim
    version: int
    is_new: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _Found:
    claim: claims.AddressClaim
    version: int


class ClaimRegistry:
    """Claims addresses for services.

    Parameters
    ----------
    store : ObjectStore
        Where claims are kept.
    services : ServiceRepository
        Tells whether a claim is in force.
    clock : Clock
        Tells the age of a claim.
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

    async def acquire(self, wanted: claims.AddressClaim) -> Acquired:
        """Claim an address.

        Raises
        ------
        FindingsError
            If another service holds the address, or a data centre may still
            send to it for its former service.
        StoreError
            If the claim cannot be written; the service was not changed.
        """
        for _ in range(_ATTEMPTS):
            try:
                return await self._acquire_once(wanted)
            except platform.Conflict:
                continue
        raise platform.Unavailable(
            f'{wanted.address}: other changes keep claiming the address'
        )

    async def release(self, acquired: Acquired) -> None:
        """Free a claim whose change certainly had no effect.

        Failures are ignored: the claim is then retired by the next change
        that needs the address.
        """
        if not acquired.is_new:
            return
        freed = dataclasses.replace(acquired.claim, removed_version=0)
        try:
            await self._update(freed, acquired.version)
        except platform.StoreError:
            return

    async def retire(self, name: str, holder: int, version: int) -> None:
        """Note that service `holder` uses an address no more from `version`.

        Failures are ignored, as in `release`.
        """
        try:
            found = await self._get(name)
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

    async def _acquire_once(self, wanted: claims.AddressClaim) -> Acquired:
        try:
            stored = await self._store.create(
                documents.CLAIM_KIND, wanted.name, _value(wanted)
            )
            return Acquired(wanted, stored.version, is_new=True)
        except platform.Conflict as error:
            if error.stored is None:
                found = await self._get(wanted.name)
            else:
                found = _parsed(error.stored)
        if found.claim.service_id == wanted.service_id:
            return await self._renew(found, wanted)
        retired = await self._retired(found)
        await reuse.check_confirmed(self._store, retired.claim)
        version = await self._update(wanted, retired.version)
        return Acquired(wanted, version, is_new=True)

    async def _renew(
        self, found: _Found, wanted: claims.AddressClaim
    ) -> Acquired:
        if found.claim.expected_version > wanted.expected_version:
            # The service was changed since; the write of it will conflict.
            return Acquired(found.claim, found.version, is_new=False)
        # A data centre that used the address before may still send to it.
        renewed = dataclasses.replace(
            wanted,
            data_centres=wanted.data_centres | found.claim.data_centres,
        )
        version = await self._update(renewed, found.version)
        return Acquired(renewed, version, is_new=False)

    async def _retired(self, found: _Found) -> _Found:
        claim = found.claim
        if claim.removed_version is not None:
            return found
        holder = await self._services.find(claim.service_name)
        if holder is None:
            removed = await self._services.version()
        elif holder.document.service_id != claim.service_id:
            removed = holder.version
        else:
            removed = await self._version_without(claim, holder)
        # The exact version that removed the address is not known here; the
        # service's current version is not older, so waiting for it is safe.
        retired = dataclasses.replace(claim, removed_version=removed)
        return _Found(retired, await self._update(retired, found.version))

    async def _version_without(
        self, claim: claims.AddressClaim, holder: repository.StoredService
    ) -> int:
        """Return a version from which `holder` cannot use the address."""
        if holder.in_force and claim.name in names_of(holder.document):
            raise _refuse(claim, f'is used by service {claim.service_name}')
        if holder.version < claim.expected_version:
            raise platform.Unavailable('the platform answers with old data')
        if holder.version > claim.expected_version:
            return holder.version
        if holder.document.phase is documents.ServicePhase.DELETED:
            return holder.version
        if self._clock.now() - claim.claimed_at < ABANDONED_AFTER:
            raise _refuse(
                claim,
                f'is claimed by a change of service {claim.service_name} that '
                'is in progress',
            )
        return await self._fence(holder)

    async def _fence(self, holder: repository.StoredService) -> int:
        """Give the service a new version, so that its open change fails."""
        document = holder.document
        if document.phase is documents.ServicePhase.PENDING:
            document = document.with_phase(
                documents.ServicePhase.DELETED,
                document.written_by,
                self._clock.now(),
            )
        written = await self._services.write(document, holder.version)
        return written.version

    async def _get(self, name: str) -> _Found:
        return _parsed(await self._store.get(documents.CLAIM_KIND, name))

    async def _update(self, claim: claims.AddressClaim, version: int) -> int:
        stored = await self._store.update(
            documents.CLAIM_KIND, claim.name, _value(claim), version
        )
        return stored.version


def names_of(document: documents.ServiceDocument) -> frozenset[str]:
    """Return the names of the claims that a service needs."""
    return frozenset(
        claims.claim_name(address) for address in document.addresses()
    )


def _refuse(
    claim: claims.AddressClaim, message: str
) -> findings.FindingsError:
    return findings.FindingsError.of(
        f'address {claim.address} cannot be claimed',
        [findings.Finding(str(claim.address), message)],
    )


def _value(claim: claims.AddressClaim) -> collections.abc.Mapping:
    return documents.to_json(documents.AddressClaimDocument.of(claim))


def _parsed(stored: platform.StoredObject) -> _Found:
    document = documents.parse(
        documents.AddressClaimDocument,
        f'{documents.CLAIM_KIND}.{stored.name}',
        stored.value,
    )
    return _Found(document.to_claim(), stored.version)
