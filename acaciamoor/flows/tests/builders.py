"""Views and small clusters of routers for tests."""

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
LARGE_AGE = datetime.timedelta(hours=1)


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


def default_upstream(of_view: views.ServiceView, flow: int) -> str:
    """Return the identifier of the default upstream of `flow` in a view."""
    weights = buckets.candidate_weights(of_view.candidates)
    choice = buckets.assign_buckets(weights)[buckets.bucket_of(flow)]
    return weights[int(choice)][0]


def find_flow(
    condition: collections.abc.Callable[[int], bool], start: int = 1
) -> int:
    """Return the first flow from `start` on that satisfies `condition`."""
    return next(flow for flow in range(start, 10**6) if condition(flow))


def moved_flow(
    before: views.ServiceView, after: views.ServiceView, start: int = 1
) -> int:
    """Return a flow whose default upstream differs between two views."""
    return find_flow(
        lambda flow: (
            default_upstream(before, flow) != default_upstream(after, flow)
        ),
        start,
    )


class RouterCluster:
    """Routers that forward packets to each other without delay.

    Parameters
    ----------
    names : str
        Names of the hosts, one letter each.
    settings : RouterSettings or None
        Limits of the routers; None selects the defaults.

    Attributes
    ----------
    leaving : str
        Names of the hosts that `set_members` reports as leaving.
    muted : set of str
        Names of the hosts whose messages are dropped.
    sent : list of Message
        All messages that the routers have sent.
    """

    def __init__(
        self, names: str = 'abcd', settings: flows.RouterSettings | None = None
    ) -> None:
        self.clock = clocks.ManualClock()
        self.clock.advance(LARGE_AGE)
        self.settings = settings
        self.routers: dict[str, flows.FlowRouter] = {}
        self.leaving: str = ''
        self.muted: set[str] = set()
        self.sent: list[flows.Message] = []
        for name in names:
            self.add_host(name)
        self.set_members(names)

    def add_host(self, name: str) -> None:
        """Start a host that the other hosts do not know yet."""
        self.routers[name] = flows.FlowRouter(
            model.HostId(name), self.clock, self.settings
        )

    def set_members(self, live: str, by: str | None = None, **changes) -> None:
        """Give the hosts in `by`, by default all, a new membership view."""
        members = model.MembershipView(
            1,
            tuple(sorted(live)),
            tuple(item for item in sorted(self.leaving) if item in live),
            **changes,
        )
        for name in by if by is not None else self.routers:
            self.routers[name].set_members(members)

    def apply_view(
        self,
        of_view: views.ServiceView,
        age: datetime.timedelta = LARGE_AGE,
        by: str | None = None,
    ) -> None:
        """Give a service view to the hosts in `by`, by default all."""
        for name in by if by is not None else self.routers:
            self.routers[name].apply_view(of_view, age)

    def route(
        self,
        name: str,
        flow: int,
        kind: wire.EnvelopeKind = wire.EnvelopeKind.DATA,
        service_id: model.ServiceId = SERVICE,
    ) -> tuple[str, list[str]]:
        """Send a packet to a host; return the outcome and the path of hosts.

        The outcome is the upstream identifier or the reason of the refusal.
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
        """Return the owners of `flow` among `live`, by default all hosts."""
        hosts = tuple(sorted(live or self.routers))
        table = flows.OwnerTable(model.MembershipView(1, hosts))
        return table.owners(flow)

    def run_for(self, duration: float, step: float = 1.0) -> None:
        """Advance the clock by `duration` seconds, ticking the routers."""
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
