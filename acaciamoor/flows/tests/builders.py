"""Test data and small teams of routers."""

import collections.abc
import datetime

from acaciamoor import clock as clocks
from acaciamoor import flows
from acaciamoor import model
from acaciamoor import views
from acaciamoor import wire
from acaciamoor.model.tests import builders as model_builders
from acaciamoor.views import buckets

SERVICE = model.ServiceId(1)
ZERO = datetime.timedelta(0)
OLD = datetime.timedelta(hours=1)


def seconds(value: float) -> datetime.timedelta:
    """Return `value` seconds."""
    return datetime.timedelta(seconds=value)


def view(
    version: int,
    upstreams: int = 7,
    draining: collections.abc.Container[int] = (),
    lost: collections.abc.Iterable[str] = (),
    health: int = 0,
    service_id: int = SERVICE,
    name: str = 'desk',
) -> views.ServiceView:
    """Return a view with the upstreams ``desk-1``, ``desk-2`` and so on."""
    service = model_builders.service(
        upstreams=[
            model_builders.upstream(
                f'{name}-{number}',
                port=9000 + 1000 * service_id + number,
                draining=number in draining,
            )
            for number in range(1, upstreams + 1)
        ],
        service_id=service_id,
        version=version,
    )
    return views.ServiceView.of(
        service,
        model_builders.DATA_CENTRE,
        health,
        lost=frozenset(model.UpstreamId(item) for item in lost),
    )


def default(of_view: views.ServiceView, flow: int) -> str:
    """Return the name of the upstream that a view alone gives."""
    shares = buckets.shares_of(of_view.candidates)
    choice = buckets.choose_all(shares)[buckets.bucket_of(flow)]
    return shares[int(choice)][0]


def flow_where(
    condition: collections.abc.Callable[[int], bool], start: int = 1
) -> int:
    """Return a flow for which `condition` holds."""
    return next(flow for flow in range(start, 10**6) if condition(flow))


def moved_flow(
    before: views.ServiceView, after: views.ServiceView, start: int = 1
) -> int:
    """Return a flow whose default differs between two views."""
    return flow_where(
        lambda flow: default(before, flow) != default(after, flow), start
    )


class Team:
    """Routers that pass packets to each other without delay.

    Parameters
    ----------
    names : str
        One letter for each host.
    settings : RouterSettings or None
        Limits of the routers.
    """

    def __init__(
        self, names: str = 'abcd', settings: flows.RouterSettings | None = None
    ) -> None:
        self.clock = clocks.ManualClock()
        self.clock.advance(OLD)
        self.settings = settings
        self.routers: dict[str, flows.FlowRouter] = {}
        self.leaving: str = ''
        self.muted: set[str] = set()
        self.sent: list[flows.Message] = []
        for name in names:
            self.add(name)
        self.learn(names)

    def add(self, name: str) -> None:
        """Start a host that no other host knows."""
        self.routers[name] = flows.FlowRouter(
            model.HostId(name), self.clock, self.settings
        )

    def learn(self, live: str, by: str | None = None, **changes) -> None:
        """Let the hosts in `by` (all of them) learn who is live."""
        members = model.MembershipView(
            1,
            tuple(sorted(live)),
            tuple(item for item in sorted(self.leaving) if item in live),
            **changes,
        )
        for name in by if by is not None else self.routers:
            self.routers[name].set_members(members)

    def apply(
        self,
        of_view: views.ServiceView,
        age: datetime.timedelta = OLD,
        by: str | None = None,
    ) -> None:
        """Give a view to the hosts in `by` (all of them)."""
        for name in by if by is not None else self.routers:
            self.routers[name].apply_view(of_view, age)

    def route(
        self,
        name: str,
        flow: int,
        kind: wire.EnvelopeKind = wire.EnvelopeKind.DATA,
        service_id: model.ServiceId = SERVICE,
    ) -> tuple[str, list[str]]:
        """Send a packet to a host; return its end and the hosts it passed.

        The end is the name of the upstream or the reason of the refusal.
        """
        path = [name]
        decision = self.routers[name].route(service_id, flow, kind)
        while isinstance(decision, flows.ToPeer):
            path.append(decision.host_id)
            if decision.host_id not in self.routers or len(path) > 9:
                return 'not delivered', path
            decision = self.routers[decision.host_id].route(
                service_id, flow, kind, decision.hop
            )
        if isinstance(decision, flows.Refuse):
            return decision.reason.value, path
        return decision.upstream.upstream_id, path

    def owners(self, flow: int, live: str | None = None) -> tuple[str, ...]:
        """Return the names of the owners of `flow` among `live`."""
        hosts = tuple(sorted(live or self.routers))
        table = flows.OwnerTable(model.MembershipView(1, hosts))
        return table.owners(flow)

    def wait(self, duration: float, step: float = 1.0) -> None:
        """Let time pass with ticks; muted hosts lose what they send."""
        for _ in range(round(duration / step)):
            self.clock.advance(seconds(step))
            for name, router in list(self.routers.items()):
                for message in router.tick():
                    self.sent.append(message)
                    if name not in self.muted:
                        self._deliver(name, message)

    def _deliver(self, sender: str, message: flows.Message) -> None:
        if isinstance(message, flows.PutRecords):
            if message.host_id in self.routers:
                self.routers[message.host_id].receive_records(message)
            return
        for name, router in self.routers.items():
            if name != sender:
                router.receive_needs(model.HostId(sender), message)
