"""Types of the flow cluster."""

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
    """What the cluster needs of a router; see `flows.FlowRouter`."""

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


MakeRouter = collections.abc.Callable[[model.HostId, clocks.Clock], Router]


@dataclasses.dataclass(slots=True)
class CallerFlow:
    """A stream as its caller and the oracle see it."""

    service_id: model.ServiceId
    flow: int
    opened: datetime.timedelta
    upstream_id: model.UpstreamId | None = None
    delivered: datetime.timedelta | None = None
    broken: bool = False
    closed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Packet:
    flow: CallerFlow
    kind: wire.EnvelopeKind
    hop: flows.Hop | None = None
    hops: int = 0


@dataclasses.dataclass(slots=True)
class Host:
    router: Router
    active: datetime.timedelta
    fresh: bool = True
    relearning: bool = False
    version: int = 0
    control_sent: int = 0
    control_received: int = 0
    applied: set[tuple[model.ServiceId, views.ViewVersion]] = (
        dataclasses.field(default_factory=set)
    )
