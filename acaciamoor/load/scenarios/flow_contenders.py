"""Placements of streams that are compared, and the load they are put under."""

import collections.abc
import contextlib
import dataclasses
import datetime
import gc

from acaciamoor.flows import router as flow_routers
from acaciamoor.harness import network as networks
from acaciamoor.load import measurement
from acaciamoor.load.scenarios import flow_cluster
from acaciamoor.load.scenarios import flow_types
from acaciamoor.load.scenarios import registry
from acaciamoor.model import address as addresses
from acaciamoor.model import identifiers
from acaciamoor.model import service as services
from acaciamoor.model import upstream as upstreams
from acaciamoor.naive import flows as naive_flows
from acaciamoor.views import view as service_views
from acaciamoor.wire import envelope as envelopes

FLOWS = 20_000
DATA_CENTRE = identifiers.DataCentre('kgn-a')
# Upstreams of the second service, whose flows must not be mixed up.
_QUOTE_UPSTREAMS = 3
_QUOTE_SHARE = 0.1
_ORDER_DESK = identifiers.ServiceId(1)
_QUOTE_BENCH = identifiers.ServiceId(2)
_NAMES = {_ORDER_DESK: 'order-desk', _QUOTE_BENCH: 'quote-bench'}
_LEAST_KEEPALIVE = datetime.timedelta(seconds=12)
_KEEPALIVE_SPREAD = datetime.timedelta(seconds=3)
_WARM_UP = datetime.timedelta(seconds=5)
# Every flow sends at least one more packet after the last change.
_TAIL = datetime.timedelta(seconds=15)
_JITTER = datetime.timedelta(milliseconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class Contender:
    """One way to place streams.

    Parameters
    ----------
    name : str
        Name in the figures.
    variant : Variant
        Whether it is this product or a baseline.
    make_router : Callable
        Makes the router of a host.
    echo_token : bool
        Whether callers send back the name of their upstream.
    """

    name: str
    variant: measurement.Variant
    make_router: flow_types.MakeRouter
    echo_token: bool = False


ACACIAMOOR = Contender(
    'acaciamoor',
    measurement.Variant.ACACIAMOOR,
    flow_routers.FlowRouter,
)
REPLICATED = Contender(
    'every flow replicated',
    measurement.Variant.NAIVE,
    lambda host_id, clock: naive_flows.ReplicatingRouter(host_id),
)
TOKEN = Contender(
    'token echoed by callers',
    measurement.Variant.NAIVE,
    lambda host_id, clock: naive_flows.NaiveRouter(
        naive_flows.HashScheme.RENDEZVOUS, uses_token=True
    ),
    echo_token=True,
)


def _naive(placement: naive_flows.HashScheme, table: bool) -> Contender:
    suffix = ' with a local table' if table else ''
    return Contender(
        placement.value + suffix,
        measurement.Variant.NAIVE,
        lambda host_id, clock: naive_flows.NaiveRouter(placement, table),
    )


HASHES = tuple(
    _naive(placement, table)
    for placement in naive_flows.HashScheme
    for table in (False, True)
)


def view(
    version: int,
    count: int,
    draining: collections.abc.Container[int] = (),
    service_id: identifiers.ServiceId = _ORDER_DESK,
) -> service_views.ServiceView:
    """Return a view of a service with `count` upstreams."""
    name = _NAMES[service_id]
    created = [
        upstreams.Upstream(
            identifiers.UpstreamId(f'{name}-{number}'),
            DATA_CENTRE,
            addresses.Address('127.0.0.1', 9000 + 4000 * service_id + number),
            state=(
                upstreams.UpstreamState.DRAINING
                if number in draining
                else upstreams.UpstreamState.ACTIVE
            ),
        )
        for number in range(count)
    ]
    service = services.Service(
        service_id,
        name,
        addresses.Address('127.0.0.1', 8000 + service_id),
        {upstream.upstream_id: upstream for upstream in created},
        version,
    )
    return service_views.ServiceView.of(service, DATA_CENTRE)


@contextlib.contextmanager
def collector_paused() -> collections.abc.Iterator[None]:
    """Run without garbage collection.

    The collector visits all waiting events again and again, which takes
    almost half of the time of a run.
    """
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


class Experiment:
    """A cluster under the load of many long flows.

    Parameters
    ----------
    contender : Contender
        Placement to measure.
    options : Options
        Size of the experiment.
    """

    def __init__(
        self, contender: Contender, options: registry.Options
    ) -> None:
        self.options = options
        self.cluster = flow_cluster.FlowCluster(
            contender.make_router,
            options.seed,
            options.balancers,
            networks.LinkSettings(jitter=_JITTER),
            contender.echo_token,
        )
        self.peak_records = 0
        self.publish(1, options.upstreams)
        self.cluster.publish(
            view(1, _QUOTE_UPSTREAMS, service_id=_QUOTE_BENCH)
        )
        self.cluster.run_for(_WARM_UP)

    def publish(
        self,
        version: int,
        count: int,
        draining: collections.abc.Container[int] = (),
        spread: datetime.timedelta = datetime.timedelta(0),
        late: collections.abc.Collection[identifiers.HostId] = (),
    ) -> None:
        """Publish a view of the main service."""
        self.cluster.publish(view(version, count, draining), spread, late)

    def at(
        self, share: float, action: collections.abc.Callable[[], None]
    ) -> None:
        """Run `action` after a share of the experiment's duration."""
        self.cluster.network.call_later(share * self.options.duration, action)

    def run(self, count: int = FLOWS) -> None:
        """Open `count` long flows over the duration and let them go on."""
        for _ in range(count):
            self.at(self.cluster.random.random(), self._open_long)
        for second in range(int(self.options.duration.total_seconds())):
            self.cluster.network.call_later(
                datetime.timedelta(seconds=second), self._sample
            )
        with collector_paused():
            self.cluster.run_for(self.options.duration + _TAIL)

    def pick_service(self) -> identifiers.ServiceId:
        """Return the service of the next flow."""
        if self.cluster.random.random() < _QUOTE_SHARE:
            return _QUOTE_BENCH
        return _ORDER_DESK

    def _open_long(self) -> None:
        flow = self.cluster.open_flow(self.pick_service())
        self.cluster.network.call_later(
            self.cluster.random.random() * _LEAST_KEEPALIVE,
            lambda: self._keep(flow),
        )

    def _keep(self, flow: flow_types.CallerFlow) -> None:
        self.cluster.send(flow, envelopes.EnvelopeKind.KEEPALIVE)
        pause = self.cluster.random.random() * _KEEPALIVE_SPREAD
        self.cluster.network.call_later(
            _LEAST_KEEPALIVE + pause, lambda: self._keep(flow)
        )

    def _sample(self) -> None:
        self.peak_records = max(
            self.peak_records, self.cluster.recorded_flows()
        )
