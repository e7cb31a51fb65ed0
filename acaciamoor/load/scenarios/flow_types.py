"""Data types of the simulated flow cluster."""

import collections.abc
import dataclasses
import datetime
import typing

from acaciamoor import clock as clocks
from acaciamoor import flows
from acaciamoor import model
from acaciamoor import views
from acaciamoor import wire


class Router(typing.Protocol):
    """Interface that the cluster expects; see `flows.FlowRouter`."""

    def set_members(self, members: model.MembershipView) -> None: ...

    def apply_view(
        self, view: views.ServiceView, age: datetime.timedelta
    ) -> bool: ...

    def retained_views(
        self,
    ) -> tuple[tuple[views.ServiceView, datetime.timedelta], ...]: ...

    def route(
        self,
        service_id: model.ServiceId,
        flow: int,
        kind: wire.EnvelopeKind,
        hop: flows.Hop | None = None,
    ) -> flows.Decision: ...

    def receive_records(self, message: flows.PutRecords) -> None: ...

    def receive_needs(
        self, sender: model.HostId, message: flows.ViewNeeds
    ) -> None: ...

    def tick(self) -> collections.abc.Sequence[flows.Message]: ...


RouterFactory = collections.abc.Callable[[model.HostId, clocks.Clock], Router]


@dataclasses.dataclass(slots=True)
class CallerFlow:
    """A flow as observed by its caller and the oracle.

    Parameters
    ----------
    service_id : model.ServiceId
        Service that the flow belongs to.
    flow_id : int
        Identifier of the flow, a random unsigned 64-bit number.
    opened_at : datetime.timedelta
        Virtual time at which the caller opened the flow.
    upstream_id : model.UpstreamId or None
        Upstream that the first delivered packet reached.
    last_delivered_at : datetime.timedelta or None
        Virtual time of the last delivery.
    broken : bool
        Whether a later packet was misrouted or permanently refused.
    closed : bool
        Whether the caller has sent CLOSE.
    """

    service_id: model.ServiceId
    flow_id: int
    opened_at: datetime.timedelta
    upstream_id: model.UpstreamId | None = None
    last_delivered_at: datetime.timedelta | None = None
    broken: bool = False
    closed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Packet:
    """A packet of a flow and the number of hosts that forwarded it."""

    flow: CallerFlow
    kind: wire.EnvelopeKind
    hop: flows.Hop | None = None
    hops: int = 0


@dataclasses.dataclass(slots=True)
class HostState:
    """A simulated balancer.

    Parameters
    ----------
    router : Router
        Routing implementation under test.
    last_active_at : datetime.timedelta
        Virtual time of the last event that the host handled.
    fresh : bool
        Whether the host may act on its views; see `model.MembershipView`.
    recovering : bool
        Whether the host is recovering after a pause.
    membership_version : int
        Version of the membership view that its router has.
    control_bytes_sent, control_bytes_received : int
        Bytes of control messages between hosts.
    applied_views : set
        Service identifiers and versions of the views that it has applied.
    """

    router: Router
    last_active_at: datetime.timedelta
    fresh: bool = True
    recovering: bool = False
    membership_version: int = 0
    control_bytes_sent: int = 0
    control_bytes_received: int = 0
    applied_views: set[tuple[model.ServiceId, views.ViewVersion]] = (
        dataclasses.field(default_factory=set)
    )
