"""Routes: where flows to an address may be sent."""

import collections.abc
import datetime
import enum

import msgspec

from acaciamoor import tokens


class RequestKind(enum.Enum):
    """What a caller may do with a request that failed."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    # Non-idempotent, with a body of many packets.
    UPLOAD = 'upload'


class Route(msgspec.Struct, frozen=True):
    """Rules for flows to one address.

    Parameters
    ----------
    name : str
        Name that the operator gave.
    address : ServiceAddress
        Destination of the flows.
    weights_by_service : Mapping
        Share of new flows of each service; all weights are above zero.
    kind : RequestKind
        Requests that the flows carry.
    timeout : datetime.timedelta
        Time after which an answer is of no use.
    response_goal : datetime.timedelta
        Time within which callers expect the answer.
    priority : int
        Importance; 0 is the highest.
    """

    name: str
    address: tokens.ServiceAddress
    weights_by_service: collections.abc.Mapping[str, float]
    kind: RequestKind = RequestKind.IDEMPOTENT
    timeout: datetime.timedelta = datetime.timedelta(seconds=1)
    response_goal: datetime.timedelta = datetime.timedelta(seconds=1)
    priority: int = 0


class RouteTable(msgspec.Struct, frozen=True):
    """All routes of one version of the configuration.

    Parameters
    ----------
    version : int
        Version that the operator gave; versions only grow.
    routes_by_address : Mapping
        Routes by their destination.
    """

    version: int
    routes_by_address: collections.abc.Mapping[tokens.ServiceAddress, Route]
