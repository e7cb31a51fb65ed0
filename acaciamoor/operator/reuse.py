"""Checks that names and addresses of removed services can be reused."""

import collections.abc

from acaciamoor import findings
from acaciamoor import model
from acaciamoor.model import claim as claims
from acaciamoor.model import documents
from acaciamoor.model import status as statuses
import acaciamoor.platform as platform

StatusesByDataCentre = collections.abc.Mapping[
    model.DataCentre, statuses.DataCentreStatus
]


async def read_statuses(store: platform.ObjectStore) -> StatusesByDataCentre:
    """Return the status of every data centre that has written one.

    Raises
    ------
    StoreError
        If the statuses cannot be read.
    FindingsError
        If a status is invalid.
    """
    listing = await store.list(documents.STATUS_KIND)
    found = [
        documents.parse(
            documents.DataCentreStatusDocument,
            f'{documents.STATUS_KIND}.{stored.name}',
            stored.value,
        ).to_status()
        for stored in listing.objects
    ]
    return {status.data_centre: status for status in found}


async def check_name_removed(
    store: platform.ObjectStore, name: str, removed_version: int
) -> None:
    """Check that all data centres have applied the removal of a service.

    A host that resumes its watch after a long gap reads the objects that
    exist at that time. It learns of a deletion only from the tombstone, so
    the tombstone must not be replaced until every data centre has read it.

    Raises
    ------
    FindingsError
        If data centres have not confirmed `removed_version`; has one finding
        for each of them.
    """
    place = f'{documents.SERVICE_KIND}.{name}'
    problems = [
        findings.Finding(
            place,
            f'was deleted; data centre {data_centre} is at version '
            f'{status.version} and must reach {removed_version}',
        )
        for data_centre, status in (await read_statuses(store)).items()
        if status.version < removed_version
    ]
    if problems:
        raise findings.FindingsError.of(
            f'{name} cannot be reused yet', problems
        )


async def check_address_removed(
    store: platform.ObjectStore, claim: claims.AddressClaim
) -> None:
    """Check that no balancer still sends to a retired address.

    A claim with `removed_version` 0 was released by a change without effect
    and needs no confirmation.

    Raises
    ------
    FindingsError
        If data centres have not confirmed the version that removed the
        address; has one finding for each of them.
    """
    if claim.removed_version == 0:
        return
    problems = [
        findings.Finding(str(claim.address), message)
        for message in unconfirmed_messages(claim, await read_statuses(store))
    ]
    if problems:
        raise findings.FindingsError.of(
            f'address {claim.address} cannot be reused yet', problems
        )


def unconfirmed_messages(
    claim: claims.AddressClaim, statuses_by_data_centre: StatusesByDataCentre
) -> collections.abc.Iterator[str]:
    """Yield a message for each data centre that may still use the address.

    Only the balancers of an upstream's own data centre send to the upstream,
    whereas the balancers of all data centres know a service address.
    """
    data_centres = set(claim.data_centres)
    if claim.role is claims.ClaimRole.SERVICE:
        data_centres |= statuses_by_data_centre.keys()
    removed_version = claim.removed_version or 0
    for data_centre in sorted(data_centres):
        status = statuses_by_data_centre.get(data_centre)
        confirmed = 0 if status is None else status.version
        if confirmed < removed_version:
            yield (
                f'was used by service {claim.service_name}; data centre '
                f'{data_centre} is at version {confirmed} and must reach '
                f'{removed_version}'
            )
