"""The platform's list of hosts, which may be out of date."""

import dataclasses
import enum
import logging

import pydantic

from acaciamoor import findings
from acaciamoor import model
from acaciamoor.platform import objects

_LOG = logging.getLogger(__name__)
KIND = 'hosts'


class HostState(enum.Enum):
    """State of a host as recorded by the platform."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """A host in the list; its state may be out of date."""

    host_id: model.HostId
    data_centre: model.DataCentre
    address: model.Address
    state: HostState = HostState.LIVE


@dataclasses.dataclass(frozen=True, slots=True)
class HostList:
    """Hosts by identifier at one version of the list."""

    version: int
    hosts_by_id: dict[model.HostId, Host]

    def in_data_centre(
        self, data_centre: model.DataCentre
    ) -> tuple[Host, ...]:
        """Return the hosts of `data_centre`, sorted by identifier."""
        return tuple(
            host
            for _, host in sorted(self.hosts_by_id.items())
            if host.data_centre == data_centre
        )


class HostDocument(pydantic.BaseModel):
    """Schema of a host's stored value."""

    model_config = pydantic.ConfigDict(frozen=True)

    data_centre: str = pydantic.Field(min_length=1)
    address: str
    state: HostState = HostState.LIVE


def parse_host(stored: objects.StoredObject) -> Host:
    """Return the host that `stored` describes.

    Raises
    ------
    FindingsError
        If the object does not describe a valid host.
    """
    try:
        document = HostDocument.model_validate(dict(stored.value))
        return Host(
            model.HostId(stored.name),
            model.DataCentre(document.data_centre),
            model.Address.parse(document.address),
            document.state,
        )
    except ValueError as error:
        raise findings.FindingsError.of(
            f'the document of host {stored.name!r} is invalid',
            [findings.Finding(f'{KIND}.{stored.name}', str(error))],
        ) from error


async def list_hosts(
    store: objects.ObjectStore, data_centre: model.DataCentre
) -> HostList:
    """Return the hosts that the platform lists for a data centre.

    The platform filters the list: in a large fleet, reading all hosts would
    exceed each host's budget for control traffic.

    Raises
    ------
    StoreError
        If the list cannot be read.

    Notes
    -----
    Entries that do not describe a valid host are logged and left out. One such
    entry must not keep all hosts from reading the list.
    """
    listing = await store.list(
        KIND, objects.FieldSelector('data_centre', data_centre)
    )
    hosts_by_id = {}
    for stored in listing.objects:
        try:
            host = parse_host(stored)
        except findings.FindingsError as error:
            _LOG.warning(
                'ignoring a malformed host entry: %s',
                '; '.join(str(finding) for finding in error.findings),
            )
        else:
            hosts_by_id[host.host_id] = host
    return HostList(listing.version, hosts_by_id)
