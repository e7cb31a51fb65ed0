"""Flow routing implementations to compare, and the load that they receive."""

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

_FLOW_COUNT = 20_000
DATA_CENTRE = identifiers.DataCentre('kgn-a')
# A second service, to detect packets that are routed to the wrong service.
_QUOTE_BENCH_UPSTREAMS = 3
_QUOTE_BENCH_FLOW_SHARE = 0.1
_ORDER_DESK_ID = identifiers.ServiceId(1)
_QUOTE_BENCH_ID = identifiers.ServiceId(2)
_SERVICE_NAMES = {_ORDER_DESK_ID: 'order-desk', _QUOTE_BENCH_ID: 'quote-bench'}
_MIN_KEEPALIVE_INTERVAL = datetime.timedelta(seconds=12)
_KEEPALIVE_SPREAD = datetime.timedelta(seconds=3)
_WARM_UP = datetime.timedelta(seconds=5)
# Long enough for every flow to send another packet after the last change.
_COOL_DOWN = datetime.timedelta(seconds=15)
_JITTER = datetime.timedelta(milliseconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class Implementation:
    """A flow routing implementation.

    Parameters
    ----------
    name : str
        Name in the measurements.
    variant : Variant
        Acaciamoor or a naive baseline.
    make_router : Callable
        Creates the router of a host.
    echo_token : bool
        Whether callers include the identifier of their upstream in later
        packets.
    """

    name: str
    variant: measurement.Variant
    make_router: flow_types.RouterFactory
    echo_token: bool = False


ACACIAMOOR = Implementation(
    'acaciamoor',
    measurement.Variant.ACACIAMOOR,
    flow_routers.FlowRouter,
)
REPLICATED = Implementation(
    'every flow replicated',
    measurement.Variant.NAIVE,
    lambda host_id, clock: naive_flows.ReplicatingRouter(host_id),
)
CALLER_TOKEN = Implementation(
    'token echoed by callers',
    measurement.Variant.NAIVE,
    lambda host_id, clock: naive_flows.NaiveRouter(
        naive_flows.HashScheme.RENDEZVOUS, uses_token=True
    ),
    echo_token=True,
)


def _hash_baseline(
    placement: naive_flows.HashScheme, table: bool
) -> Implementation:
    suffix = ' with a local table' if table else ''
    return Implementation(
        placement.value + suffix,
        measurement.Variant.NAIVE,
        lambda host_id, clock: naive_flows.NaiveRouter(placement, table),
    )


HASH_BASELINES = tuple(
    _hash_baseline(placement, table)
    for placement in naive_flows.HashScheme
    for table in (False, True)
)


def make_view(
    version: int,
    count: int,
    draining: collections.abc.Container[int] = (),
    service_id: identifiers.ServiceId = _ORDER_DESK_ID,
) -> service_views.ServiceView:
    """Return a view of a service with `count` upstreams.

    The numbers in `draining` select the upstreams that drain.
    """
    name = _SERVICE_NAMES[service_id]
    upstream_list = [
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
        {upstream.upstream_id: upstream for upstream in upstream_list},
        version,
    )
    return service_views.ServiceView.of(service, DATA_CENTRE)


@contextlib.contextmanager
def garbage_collection_disabled() -> collections.abc.Iterator[None]:
    """Disable garbage collection in the context.

    Otherwise almost half of the time of a run is spent on repeated traversals
    of the pending events.
    """
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


class Experiment:
    """A cluster under the load of many long-lived flows.

    Parameters
    ----------
    implementation : Implementation
        Implementation to measure.
    options : Options
        Seed, size and duration.
    """

    def __init__(
        self, implementation: Implementation, options: registry.Options
    ) -> None:
        self.options = options
        self.cluster = flow_cluster.FlowCluster(
            implementation.make_router,
            options.seed,
            options.balancers,
            networks.LinkSettings(jitter=_JITTER),
            implementation.echo_token,
        )
        self.peak_records = 0
        self.publish(1, options.upstreams)
        self.cluster.publish(
            make_view(1, _QUOTE_BENCH_UPSTREAMS, service_id=_QUOTE_BENCH_ID)
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
        """Publish a view of the main service to all hosts."""
        self.cluster.publish(make_view(version, count, draining), spread, late)

    def schedule(
        self, fraction: float, action: collections.abc.Callable[[], None]
    ) -> None:
        """Call `action` after a fraction of the experiment's duration."""
        self.cluster.network.call_later(
            fraction * self.options.duration, action
        )

    def run(self, count: int = _FLOW_COUNT) -> None:
        """Run the experiment with `count` long-lived flows.

        The flows open at random times and stay open until the end.
        """
        for _ in range(count):
            self.schedule(self.cluster.random.random(), self._open_long_flow)
        for second in range(int(self.options.duration.total_seconds())):
            self.cluster.network.call_later(
                datetime.timedelta(seconds=second), self._sample_records
            )
        with garbage_collection_disabled():
            self.cluster.run_for(self.options.duration + _COOL_DOWN)

    def choose_service(self) -> identifiers.ServiceId:
        """Return the service of a new flow, chosen at random."""
        if self.cluster.random.random() < _QUOTE_BENCH_FLOW_SHARE:
            return _QUOTE_BENCH_ID
        return _ORDER_DESK_ID

    def _open_long_flow(self) -> None:
        flow = self.cluster.open_flow(self.choose_service())
        self.cluster.network.call_later(
            self.cluster.random.random() * _MIN_KEEPALIVE_INTERVAL,
            lambda: self._send_keepalives(flow),
        )

    def _send_keepalives(self, flow: flow_types.CallerFlow) -> None:
        self.cluster.send(flow, envelopes.EnvelopeKind.KEEPALIVE)
        pause = self.cluster.random.random() * _KEEPALIVE_SPREAD
        self.cluster.network.call_later(
            _MIN_KEEPALIVE_INTERVAL + pause,
            lambda: self._send_keepalives(flow),
        )

    def _sample_records(self) -> None:
        self.peak_records = max(
            self.peak_records, self.cluster.recorded_flows()
        )
