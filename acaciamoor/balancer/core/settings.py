"""Settings and states of a balancer core."""

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
        Identifier of this balancer.
    data_centre : DataCentre
        Data centre of this balancer.
    grace_period : datetime.timedelta
        Time for which a leaving balancer goes on forwarding after the last
        answer to a bound request.
    """

    host_id: model.HostId
    data_centre: model.DataCentre
    grace_period: datetime.timedelta = datetime.timedelta(seconds=10)


class State(enum.Enum):
    """State of the balancer, as reported to the fabric."""

    JOINING = 'joining'
    SERVING = 'serving'
    LEAVING = 'leaving'
