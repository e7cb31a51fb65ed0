"""Upstream server of a service."""

import dataclasses
import enum

from acaciamoor.model import address as addresses
from acaciamoor.model import identifiers


class UpstreamState(enum.Enum):
    """Administrative state of an upstream."""

    ACTIVE = 'active'
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """Server that handles one service in one data centre.

    Parameters
    ----------
    upstream_id : UpstreamId
        Identifier that is unique within the service.
    data_centre : DataCentre
        Data centre whose hosts send to the upstream.
    address : Address
        Address to which datagrams are sent.
    control : Address or None
        HTTP endpoint that reports health and load.
    weight : float
        Share of new flows relative to the other upstreams.
    slots : int
        Maximum number of concurrent requests.
    connections : int
        Maximum number of open streams.
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
