"""Document of an upstream."""

import pydantic

from acaciamoor import model
from acaciamoor.model.documents import checks


class UpstreamDocument(checks.Document):
    """Stored form of `Upstream`, whose identifier is its key."""

    data_centre: checks.Name
    address: checks.AddressText
    control: checks.AddressText | None = None
    weight: float = pydantic.Field(1.0, gt=0.0, le=1000.0)
    slots: int = pydantic.Field(2, ge=1, le=10_000)
    connections: int = pydantic.Field(2000, ge=1, le=10_000_000)
    state: model.UpstreamState = model.UpstreamState.ACTIVE

    @classmethod
    def of(cls, upstream: model.Upstream) -> 'UpstreamDocument':
        """Return the document of `upstream`."""
        return cls(
            data_centre=upstream.data_centre,
            address=str(upstream.address),
            control=str(upstream.control) if upstream.control else None,
            weight=upstream.weight,
            slots=upstream.slots,
            connections=upstream.connections,
            state=upstream.state,
        )

    def to_upstream(self, upstream_id: str) -> model.Upstream:
        """Return the domain object."""
        return model.Upstream(
            upstream_id=model.UpstreamId(upstream_id),
            data_centre=model.DataCentre(self.data_centre),
            address=model.Address.parse(self.address),
            control=(
                model.Address.parse(self.control) if self.control else None
            ),
            weight=self.weight,
            slots=self.slots,
            connections=self.connections,
            state=self.state,
        )
