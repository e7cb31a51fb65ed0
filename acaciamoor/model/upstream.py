"""One back end of a service."""

import dataclasses
import enum

from acaciamoor.model import address as addresses
from acaciamoor.model import identifiers


class UpstreamState(enum.Enum):
    """Whether an upstream takes new work."""

    ACTIVE = 'active'
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """A back end, which serves one service in one data centre.

    Parameters
    ----------
    upstream_id : UpstreamId
        Name that is unique within the service.
    data_centre : DataCentre
        Only the hosts of this data centre send to the upstream.
    address : Address
        Where datagrams are sent.
    control : Address or None
        HTTP endpoint for health and load.
    weight : float
        Share of new flows relative to the other upstreams.
    slots : int
        Requests that run at the same time.
    connections : int
        Open streams that the upstream takes.
    state : UpstreamState
        Whether new work is sent to it.
    """

    upstream_id: identifiers.UpstreamId
    data_centre: identifiers.DataCentre
    address: addresses.Address
    control: addresses.Address | None = None
    weight: float = 1.0
    slots: int = 2
    connections: int = 2000
    state: UpstreamState = UpstreamState.ACTIVE

    @property
    def takes_new_work(self) -> bool:
        """Whether new flows and requests may be sent to the upstream."""
        return self.state is UpstreamState.ACTIVE
