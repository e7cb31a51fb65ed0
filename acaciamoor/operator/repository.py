"""Services on the platform, and the numbers that identify them."""

import dataclasses

from acaciamoor import findings
from acaciamoor import model
from acaciamoor.model import documents
import acaciamoor.platform as platform

COUNTER_KIND = 'counters'
SERVICE_ID_COUNTER = 'service-ids'
_NEXT = 'next'
# Attempts to take a number against other operators.
_ALLOCATION_ATTEMPTS = 10
MAX_SERVICE_ID = 2**32 - 1


@dataclasses.dataclass(frozen=True, slots=True)
class StoredService:
    """A service document and its version."""

    document: documents.ServiceDocument
    version: int

    @property
    def in_force(self) -> bool:
        """Whether balancers serve the service."""
        return self.document.phase is documents.ServicePhase.ACTIVE


class ServiceRepository:
    """Reads and writes service documents.

    Parameters
    ----------
    store : ObjectStore
        Where services are kept.
    """

    def __init__(self, store: platform.ObjectStore) -> None:
        self._store = store

    async def find(self, name: str) -> StoredService | None:
        """Return a service in any phase, or None if there never was one."""
        try:
            stored = await self._store.get(documents.SERVICE_KIND, name)
        except platform.NotFound:
            return None
        return _parsed(stored)

    async def list(self) -> tuple[int, tuple[StoredService, ...]]:
        """Return the collection's version and the services in force."""
        listing = await self._store.list(documents.SERVICE_KIND)
        found = tuple(_parsed(stored) for stored in listing.objects)
        return listing.version, tuple(item for item in found if item.in_force)

    async def version(self) -> int:
        """Return the version of the last change of any service."""
        return (await self._store.list(documents.SERVICE_KIND)).version

    async def write(
        self, document: documents.ServiceDocument, expected_version: int | None
    ) -> StoredService:
        """Store a service that has `expected_version`; None creates it.

        Raises
        ------
        FindingsError
            If the document breaks a rule; nothing is written.
        StoreError
            As the object store raises it.
        """
        value = documents.to_json(document)
        documents.parse_service(document.name, value)
        if expected_version is None:
            stored = await self._store.create(
                documents.SERVICE_KIND, document.name, value
            )
        else:
            stored = await self._store.update(
                documents.SERVICE_KIND, document.name, value, expected_version
            )
        return StoredService(document, stored.version)

    async def allocate_id(self) -> model.ServiceId:
        """Return a number that no service has had.

        A number that is taken and then not used stays unused.

        Raises
        ------
        StoreError
            If the counter cannot be written.
        FindingsError
            If all numbers are used.
        """
        for _ in range(_ALLOCATION_ATTEMPTS):
            try:
                return await self._next_id()
            except (platform.Conflict, platform.OutcomeUnknown):
                continue
        raise platform.Unavailable('no service identifier could be allocated')

    async def _next_id(self) -> model.ServiceId:
        try:
            counter = await self._store.get(COUNTER_KIND, SERVICE_ID_COUNTER)
        except platform.NotFound:
            await self._store.create(
                COUNTER_KIND, SERVICE_ID_COUNTER, {_NEXT: 2}
            )
            return model.ServiceId(1)
        number = int(counter.value[_NEXT])
        if number > MAX_SERVICE_ID:
            raise findings.FindingsError.of(
                'no service can be created',
                [findings.Finding('service_id', 'all numbers are used')],
            )
        await self._store.update(
            COUNTER_KIND,
            SERVICE_ID_COUNTER,
            {_NEXT: number + 1},
            counter.version,
        )
        return model.ServiceId(number)


def _parsed(stored: platform.StoredObject) -> StoredService:
    return StoredService(
        documents.parse_service(stored.name, stored.value), stored.version
    )
