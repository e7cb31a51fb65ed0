"""Status that a data centre reports."""

import dataclasses

from acaciamoor.model import identifiers


@dataclasses.dataclass(frozen=True, slots=True)
class DataCentreStatus:
    """Configuration in force in a data centre.

    Parameters
    ----------
    data_centre : DataCentre
        The data centre.
    version : int
        Highest collection version in force on all live hosts.
    hosts : int
        Number of live hosts that confirmed the version.
    """

    data_centre: identifiers.DataCentre
    version: int
    hosts: int = 0
