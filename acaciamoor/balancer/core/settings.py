"""Settings and state of a balancer core."""

import dataclasses
import datetime
import enum

from acaciamoor import model


@dataclasses.dataclass(frozen=True, slots=True)
class CoreSettings:
    """Settings of a balancer core.

    Parameters
    ----------
    host_id : HostId
        This balancer.
    data_centre : DataCentre
        Its data centre.
    grace_period : datetime.timedelta
        Time for which a leaving balancer goes on forwarding after its last
        bound answer.
    """

    host_id: model.HostId
    data_centre: model.DataCentre
    grace_period: datetime.timedelta = datetime.timedelta(seconds=10)


class State(enum.Enum):
    """What the fabric is told."""

    JOINING = 'joining'
    SERVING = 'serving'
    LEAVING = 'leaving'
