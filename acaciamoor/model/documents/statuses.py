"""Document of the status of a data centre."""

import pydantic

from acaciamoor import model
from acaciamoor.model.documents import checks
import acaciamoor.model.status as statuses

STATUS_KIND = 'datacentrestatuses'


class DataCentreStatusDocument(checks.Document):
    """Stored form of `DataCentreStatus`, named after the data centre."""

    data_centre: checks.Name
    version: int = pydantic.Field(ge=0)
    hosts: int = pydantic.Field(0, ge=0)

    @classmethod
    def of(
        cls, status: statuses.DataCentreStatus
    ) -> 'DataCentreStatusDocument':
        """Return the document of `status`."""
        return cls(
            data_centre=status.data_centre,
            version=status.version,
            hosts=status.hosts,
        )

    def to_status(self) -> statuses.DataCentreStatus:
        """Return the domain object."""
        return statuses.DataCentreStatus(
            model.DataCentre(self.data_centre), self.version, self.hosts
        )
