"""When an address may go to another service."""

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
        If they cannot be read.
    FindingsError
        If one of them is not valid.
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


async def check_name(
    store: platform.ObjectStore, name: str, removed_version: int
) -> None:
    """Check that a removed service is gone in all data centres.

    A host that resumes its watch late reads the objects that exist then. It
    learns that a service is gone from its tombstone, so the tombstone must
    stay until every data centre has seen it.

    Raises
    ------
    FindingsError
        With one finding for each data centre that has not confirmed.
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
        raise findings.FindingsError.of(f'{name} is retired', problems)


async def check_confirmed(
    store: platform.ObjectStore, claim: claims.AddressClaim
) -> None:
    """Check that no balancer sends to a retired address any more.

    Raises
    ------
    FindingsError
        With one finding for each data centre that has not confirmed the
        version that removed the address.
    """
    if claim.removed_version == 0:
        return
    problems = [
        findings.Finding(str(claim.address), message)
        for message in missing(claim, await read_statuses(store))
    ]
    if problems:
        raise findings.FindingsError.of(
            f'address {claim.address} is retired', problems
        )


def missing(
    claim: claims.AddressClaim, statuses_by_data_centre: StatusesByDataCentre
) -> collections.abc.Iterator[str]:
    """Yield a message for each data centre that has not confirmed yet.

    The balancers of an upstream's own data centre send to it. A service
    address is known to the balancers of all data centres.
    """
    data_centres = set(claim.data_centres)
    if claim.role is claims.ClaimRole.SERVICE:
        data_centres |= statuses_by_data_centre.keys()
    removed = claim.removed_version or 0
    for data_centre in sorted(data_centres):
        status = statuses_by_data_centre.get(data_centre)
        reached = 0 if status is None else status.version
        if reached < removed:
            yield (
                f'was used by service {claim.service_name}; data centre '
                f'{data_centre} is at version {reached} and must reach '
                f'{removed}'
            )
