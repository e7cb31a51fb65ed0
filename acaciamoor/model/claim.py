"""Claims of transport addresses by services."""

import dataclasses
import datetime
import enum
import ipaddress

from acaciamoor.model import address as addresses
from acaciamoor.model import identifiers


class ClaimRole(enum.Enum):
    """Purpose for which a service uses an address."""

    SERVICE = 'service'
    UPSTREAM = 'upstream'


@dataclasses.dataclass(frozen=True, slots=True)
class AddressClaim:
    """Exclusive claim of one service to an address.

    Parameters
    ----------
    address : Address
        Claimed address.
    role : ClaimRole
        Whether the address receives datagrams of callers or of balancers.
    service_id : ServiceId
        Service that holds the address or was the last to hold it.
    service_name : str
        Name of the service.
    data_centres : frozenset of DataCentre
        Data centres whose balancers may send to the address.
    expected_version : int
        Version of the service that the claiming change replaces. The change
        takes effect only if the service still has this version.
    claimed_at : datetime.datetime
        Wall-clock time of the claim, in UTC.
    removed_version : int or None
        First version of the service that does not use the address any more;
        None while the service holds the address.
    """

    address: addresses.Address
    role: ClaimRole
    service_id: identifiers.ServiceId
    service_name: str
    data_centres: frozenset[identifiers.DataCentre]
    expected_version: int
    claimed_at: datetime.datetime
    removed_version: int | None = None

    @property
    def name(self) -> str:
        """Name of the stored object, the same for equal addresses."""
        return claim_name(self.address)


def claim_name(address: addresses.Address) -> str:
    """Return the name of the object that claims `address`.

    All notations of an IP address result in the same name.

    Examples
    --------
    >>> claim_name(addresses.Address('10.0.0.1', 80))
    '10.0.0.1-80'
    >>> short = claim_name(addresses.Address('::1', 80))
    >>> short == claim_name(addresses.Address('0:0:0:0:0:0:0:1', 80))
    True
    """
    ip = ipaddress.ip_address(address.ip)
    mapped = getattr(ip, 'ipv4_mapped', None)
    text = (mapped or ip).exploded.replace(':', '-').replace('%', '-')
    return f'{text}-{address.port}'
