"""Document of an address claim."""

import datetime

import pydantic

from acaciamoor import model
import acaciamoor.model.claim as claims
from acaciamoor.model.documents import checks
from acaciamoor.model.documents import services

CLAIM_KIND = 'addressclaims'


class AddressClaimDocument(checks.Document):
    """Stored form of `AddressClaim`."""

    address: checks.AddressText
    role: claims.ClaimRole
    service_id: int = pydantic.Field(ge=1, le=services.MAX_SERVICE_ID)
    service_name: checks.Name
    data_centres: tuple[checks.Name, ...]
    expected_version: int = pydantic.Field(ge=0)
    claimed_at: datetime.datetime
    removed_version: int | None = pydantic.Field(None, ge=0)

    @classmethod
    def of(cls, claim: claims.AddressClaim) -> 'AddressClaimDocument':
        """Return the document of `claim`."""
        return cls(
            address=str(claim.address),
            role=claim.role,
            service_id=claim.service_id,
            service_name=claim.service_name,
            data_centres=tuple(sorted(claim.data_centres)),
            expected_version=claim.expected_version,
            claimed_at=claim.claimed_at,
            removed_version=claim.removed_version,
        )

    def to_claim(self) -> claims.AddressClaim:
        """Return the domain object."""
        return claims.AddressClaim(
            address=model.Address.parse(self.address),
            role=self.role,
            service_id=model.ServiceId(self.service_id),
            service_name=self.service_name,
            data_centres=frozenset(
                model.DataCentre(name) for name in self.data_centres
            ),
            expected_version=self.expected_version,
            claimed_at=self.claimed_at,
            removed_version=self.removed_version,
        )
