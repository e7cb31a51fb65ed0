"""Routes, which map addresses to services."""

import collections.abc
import datetime
import enum
import types

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


class ServiceLimits(msgspec.Struct, frozen=True):
    """Limits of the upstreams of a service.

    Parameters
    ----------
    max_flows : int
        Open flows that an upstream holds; 0 if no limit is set.
    warm_up : datetime.timedelta
        Time after its start for which an upstream is slow.
    warm_up_rate : float
        Requests a second that an upstream bears meanwhile; 0 if no limit is
        set.
    """

    max_flows: int = 0
    warm_up: datetime.timedelta = datetime.timedelta(0)
    warm_up_rate: float = 0.0


class RouteTable(msgspec.Struct, frozen=True):
    """All routes of one version of the configuration.

    Parameters
    ----------
    version : int
        Version given by the operator; versions only increase.
    routes_by_address : Mapping
        Routes by address and port.
    limits_by_service : Mapping
        Limits of the services that have any.
    """

    version: int
    routes_by_address: collections.abc.Mapping[tokens.ServiceAddress, Route]
    limits_by_service: collections.abc.Mapping[str, ServiceLimits] = (
        types.MappingProxyType({})
    )
