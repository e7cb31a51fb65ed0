"""Routes, which map addresses to services."""

import collections.abc
import datetime
import enum

import msgspec

from acaciamoor import tokens


class RequestKind(enum.Enum):
    """Kind of a request: whether callers may retry it, and its size."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    # Non-idempotent, with a body that spans many packets.
    UPLOAD = 'upload'


class Route(msgspec.Struct, frozen=True):
    """Route for the flows to one address.

    Parameters
    ----------
    name : str
        Name given by the operator.
    address : ServiceAddress
        Address and port of the flows.
    weights_by_service : Mapping
        Relative share of new flows by service; all weights are positive.
    kind : RequestKind
        Kind of the requests that the flows carry.
    timeout : datetime.timedelta
        Time after which a response is useless to the caller.
    response_goal : datetime.timedelta
        Time within which callers expect a response.
    priority : int
        Priority of the route; 0 is the highest.
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
        Version given by the operator; versions only increase.
    routes_by_address : Mapping
        Routes by address and port.
    """

    version: int
    routes_by_address: collections.abc.Mapping[tokens.ServiceAddress, Route]
