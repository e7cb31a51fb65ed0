"""Storage of services and evacuations, and allocation of identifiers."""

import dataclasses
import logging

from acaciamoor import findings
from acaciamoor import model
from acaciamoor.model import documents
import acaciamoor.platform as platform

_LOG = logging.getLogger(__name__)
COUNTER_KIND = 'counters'
SERVICE_ID_COUNTER = 'service-ids'
_NEXT_ID_KEY = 'next'
# Bounds the retries when several operators increment the counter at once.
_MAX_ALLOCATION_ATTEMPTS = 10
MAX_SERVICE_ID = 2**32 - 1


@dataclasses.dataclass(frozen=True, slots=True)
class StoredService:
    """A service document and the version of its stored object."""

    document: documents.ServiceDocument
    version: int

    @property
    def is_active(self) -> bool:
        """Whether balancers serve the service: it is in the active phase."""
        return self.document.phase is documents.ServicePhase.ACTIVE


class ServiceRepository:
    """Reads and writes service documents.

    Parameters
    ----------
    store : ObjectStore
        Store that holds the service documents and the identifier counter.
    """

    def __init__(self, store: platform.ObjectStore) -> None:
        self._store = store

    async def find(self, name: str) -> StoredService | None:
        """Return the service in any phase, or None if it was never stored."""
        try:
            stored = await self._store.get(documents.SERVICE_KIND, name)
        except platform.NotFound:
            return None
        return _parse_stored(stored)

    async def list_active(self) -> tuple[int, tuple[StoredService, ...]]:
        """Return the version of the collection and its active services."""
        listing = await self._store.list(documents.SERVICE_KIND)
        found = tuple(_parse_stored(stored) for stored in listing.objects)
        return listing.version, tuple(item for item in found if item.is_active)

    async def collection_version(self) -> int:
        """Return the version of the last change to any service."""
        return (await self._store.list(documents.SERVICE_KIND)).version

    async def write(
        self, document: documents.ServiceDocument, expected_version: int | None
    ) -> StoredService:
        """Store a service if its version is still `expected_version`.

        Parameters
        ----------
        document : ServiceDocument
            New content.
        expected_version : int or None
            Version to replace; None creates the service.

        Raises
        ------
        FindingsError
            If the document is invalid; nothing is written.
        StoreError
            If the write fails, conflicts, or has an unknown outcome.
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
        """Return a service identifier that was never allocated before.

        An identifier that is allocated and then not used is not returned to
        the pool.

        Raises
        ------
        StoreError
            If the counter cannot be read or written, or if every attempt
            conflicts with other operators or has an unknown outcome.
        FindingsError
            If all identifiers have been allocated.
        """
        for _ in range(_MAX_ALLOCATION_ATTEMPTS):
            try:
                return await self._take_next_id()
            except (platform.Conflict, platform.OutcomeUnknown):
                continue
        raise platform.Unavailable('no service identifier could be allocated')

    async def _take_next_id(self) -> model.ServiceId:
        try:
            counter = await self._store.get(COUNTER_KIND, SERVICE_ID_COUNTER)
        except platform.NotFound:
            await self._store.create(
                COUNTER_KIND, SERVICE_ID_COUNTER, {_NEXT_ID_KEY: 2}
            )
            return model.ServiceId(1)
        service_id = int(counter.value[_NEXT_ID_KEY])
        if service_id > MAX_SERVICE_ID:
            raise findings.FindingsError.of(
                'no service can be created',
                [
                    findings.Finding(
                        'service_id', 'all identifiers are allocated'
                    )
                ],
            )
        await self._store.update(
            COUNTER_KIND,
            SERVICE_ID_COUNTER,
            {_NEXT_ID_KEY: service_id + 1},
            counter.version,
        )
        return model.ServiceId(service_id)


def _parse_stored(stored: platform.StoredObject) -> StoredService:
    return StoredService(
        documents.parse_service(stored.name, stored.value), stored.version
    )


@dataclasses.dataclass(frozen=True, slots=True)
class StoredEvacuation:
    """The evacuation of a data centre and the version of its object."""

    data_centre: model.DataCentre
    document: documents.EvacuationDocument
    version: int


class EvacuationRepository:
    """Reads, creates and deletes the evacuations of data centres.

    A data centre is evacuated while its object exists, whatever the value of
    the object: other programs write objects without fields.

    Parameters
    ----------
    store : ObjectStore
        Store that holds the evacuations.
    """

    def __init__(self, store: platform.ObjectStore) -> None:
        self._store = store

    async def find(self, data_centre: str) -> StoredEvacuation | None:
        """Return the evacuation; None if the data centre takes work."""
        try:
            stored = await self._store.get(
                documents.EVACUATION_KIND, data_centre
            )
        except platform.NotFound:
            return None
        return _parse_evacuation(stored)

    async def list_all(self) -> tuple[StoredEvacuation, ...]:
        """Return all evacuations, sorted by data centre."""
        listing = await self._store.list(documents.EVACUATION_KIND)
        return tuple(
            _parse_evacuation(stored)
            for stored in sorted(listing.objects, key=lambda item: item.name)
        )

    async def collection_version(self) -> int:
        """Return the version of the last change to any evacuation."""
        return (await self._store.list(documents.EVACUATION_KIND)).version

    async def create(
        self, data_centre: str, document: documents.EvacuationDocument
    ) -> StoredEvacuation:
        """Store an evacuation that does not exist yet.

        Raises
        ------
        StoreError
            If the write fails, conflicts, or has an unknown outcome.
        """
        stored = await self._store.create(
            documents.EVACUATION_KIND, data_centre, documents.to_json(document)
        )
        return _parse_evacuation(stored)

    async def delete(self, evacuation: StoredEvacuation) -> None:
        """Delete an evacuation if its version is unchanged.

        Raises
        ------
        StoreError
            If the deletion fails, conflicts, or has an unknown outcome.
        """
        await self._store.delete(
            documents.EVACUATION_KIND,
            evacuation.data_centre,
            evacuation.version,
        )


def _parse_evacuation(stored: platform.StoredObject) -> StoredEvacuation:
    try:
        document = documents.parse(
            documents.EvacuationDocument,
            f'{documents.EVACUATION_KIND}.{stored.name}',
            stored.value,
        )
    except findings.FindingsError as error:
        # The object evacuates all the same; only its writer is unknown.
        _LOG.warning('the writer of an evacuation cannot be read: %s', error)
        document = documents.EvacuationDocument()
    return StoredEvacuation(
        model.DataCentre(stored.name), document, stored.version
    )
