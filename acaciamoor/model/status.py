"""What a data centre reports about itself."""

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
        Highest collection version that is in force on all its live hosts.
    hosts : int
        Live hosts that the version was confirmed by.
    """

    data_centre: identifiers.DataCentre
    version: int
    hosts: int = 0
