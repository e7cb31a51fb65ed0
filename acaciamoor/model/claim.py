"""Claims of transport addresses by services."""

import dataclasses
import datetime
import enum
import ipaddress

from acaciamoor.model import address as addresses
from acaciamoor.model import identifiers


class ClaimRole(enum.Enum):
    """What a service uses an address for."""

    SERVICE = 'service'
    UPSTREAM = 'upstream'


@dataclasses.dataclass(frozen=True, slots=True)
class AddressClaim:
    """The right of one service to an address.

    Parameters
    ----------
    address : Address
        The claimed address.
    role : ClaimRole
        Whether callers or balancers send to the address.
    service_id : ServiceId
        The service that holds, or last held, the address.
    service_name : str
        Its name.
    data_centres : frozenset of DataCentre
        Data centres whose balancers may send to the address.
    expected_version : int
        Version of the service that the claiming change replaces. The change
        can take effect only while the service has this version.
    claimed_at : datetime.datetime
        Wall-clock time of the claim, in UTC.
    removed_version : int or None
        Version of the service from which it no longer uses the address; None
        while the address is held.
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
        """Name of the claim's object, equal for equal addresses."""
        return claim_name(self.address)


def claim_name(address: addresses.Address) -> str:
    """Return the name of the object that claims `address`.

    All spellings of one IP address give the same name.

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
