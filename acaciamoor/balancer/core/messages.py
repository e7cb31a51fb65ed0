"""Messages between balancers about health, retained views and hosts."""

import dataclasses
import datetime

from acaciamoor.balancer.core import events
import acaciamoor.configuration as configuration
import acaciamoor.flows as flows
import acaciamoor.membership as membership
import acaciamoor.model as model
import acaciamoor.views as views


@dataclasses.dataclass(frozen=True, slots=True)
class HealthUpdate:
    """Health of a service's upstreams, published by the leader of shard 0.

    Parameters
    ----------
    service_id : ServiceId
        The service.
    version : int
        Health version; the highest one wins.
    unhealthy : tuple of UpstreamId
        Upstreams that get no new flows.
    lost : tuple of UpstreamId
        Dead upstreams, whose flows are refused.
    age : datetime.timedelta
        Time since its publication.
    """

    service_id: model.ServiceId
    version: int
    unhealthy: tuple[model.UpstreamId, ...]
    lost: tuple[model.UpstreamId, ...]
    age: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class HealthReport:
    """Health change in a shard, sent to the leader that publishes the health.

    Parameters
    ----------
    service_id : ServiceId
        The service.
    upstream_id : UpstreamId
        The upstream.
    healthy : bool
        Whether it gets new flows.
    dead : bool
        Whether its flows are refused.
    """

    service_id: model.ServiceId
    upstream_id: model.UpstreamId
    healthy: bool
    dead: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ViewsRequest:
    """Requests all retained views of a service."""

    service_id: model.ServiceId


@dataclasses.dataclass(frozen=True, slots=True)
class AgedView:
    """A view and the time since it was published."""

    view: views.ServiceView
    age: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class RetainedViews:
    """All retained views of a service.

    Parameters
    ----------
    service_id : ServiceId
        The service.
    views : tuple of AgedView
        The retained views.
    complete : bool
        Whether the sender has the retained views of all services.
    """

    service_id: model.ServiceId
    views: tuple[AgedView, ...]
    complete: bool


@dataclasses.dataclass(frozen=True, slots=True)
class HostsRequest:
    """Requests the host list, for a host that starts in a platform outage."""


@dataclasses.dataclass(frozen=True, slots=True)
class HostsReply:
    """Host list of the platform, as last read by the sender."""

    hosts: tuple[events.Host, ...]


TYPES_BY_NAME = {
    cls.__name__: cls
    for cls in (
        membership.Probe,
        membership.ProbeAck,
        membership.IndirectProbe,
        configuration.SnapshotRequest,
        configuration.Snapshot,
        configuration.Delta,
        flows.PutRecords,
        flows.ViewNeeds,
        HealthUpdate,
        HealthReport,
        ViewsRequest,
        RetainedViews,
        HostsRequest,
        HostsReply,
    )
}
