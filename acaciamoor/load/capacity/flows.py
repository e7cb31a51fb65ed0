"""Measurements of views, owners and flow records against size."""

import datetime
import random

from acaciamoor import flows
from acaciamoor import model
from acaciamoor import views
from acaciamoor import wire
from acaciamoor.flows import owners
from acaciamoor.load import scaling
from acaciamoor.load.capacity import control
from acaciamoor.load.capacity import measuring

_LOOKUP_COUNT = 20_000
_UPSTREAM_COUNTS = (2, 7, 64)
_SERVICE_COUNTS = (50, 200, 800)
_RECORD_COUNTS = (10_000, 100_000, 1_000_000)
# Mean number of upstreams per service in the plan, rounded up.
_UPSTREAMS_PER_SERVICE = 3
_ZERO = datetime.timedelta(0)


def measure_records(seed: int) -> list[scaling.ScalingFit]:
    """Measure memory of flow records, by record count."""
    points = []
    for count in _RECORD_COUNTS:
        rng = random.Random(seed)
        records = flows.FlowRecords()
        for _ in range(count):
            records.put(rng.getrandbits(64), 1, 60)
        points.append(scaling.Sample(count, records.nbytes))
    return [scaling.fit_samples('memory of records', 'B', 'records', points)]


def measure_views(seed: int) -> list[scaling.ScalingFit]:
    """Measure the memory of views, and the processor time to apply one."""
    memory = [
        scaling.Sample(
            count,
            measuring.allocated_bytes(
                lambda count=count: _build_router(count)
            ),
        )
        for count in _SERVICE_COUNTS
    ]
    times = [
        scaling.Sample(count, _measure_view_seconds(count))
        for count in _UPSTREAM_COUNTS
    ]
    return [
        scaling.fit_samples('memory of views', 'B', 'services', memory),
        scaling.fit_samples(
            'processor time of a view', 's', 'upstreams', times
        ),
    ]


def measure_owners(seed: int) -> list[scaling.ScalingFit]:
    """Measure processor time to reassign record owners, by host count."""
    points = []
    for count in control.HOST_COUNTS:
        view = _build_members(count)
        points.append(
            scaling.Sample(
                count,
                measuring.min_processor_seconds(
                    lambda view=view: owners.OwnerTable(view)
                ),
            )
        )
    return [
        scaling.fit_samples(
            'processor time of a change of members',
            's',
            'hosts of the data centre',
            points,
        )
    ]


def measure_lookups(seed: int) -> list[scaling.ScalingFit]:
    """Measure processor time of a default lookup, by service count."""
    points = []
    for count in _SERVICE_COUNTS:
        router = _build_router(count)
        rng = random.Random(seed)
        keys = [
            (1 + index % count, rng.getrandbits(64))
            for index in range(_LOOKUP_COUNT)
        ]

        def look_up_flows(router=router, keys=keys) -> None:
            for service_id, flow in keys:
                router.route(service_id, flow, wire.EnvelopeKind.DATA)

        points.append(
            scaling.Sample(
                count,
                measuring.min_processor_seconds(look_up_flows) / _LOOKUP_COUNT,
            )
        )
    return [
        scaling.fit_samples(
            'processor time of a default lookup', 's', 'services', points
        )
    ]


def _build_members(count: int) -> model.MembershipView:
    hosts = tuple(sorted(f'kgn-a-{index}' for index in range(count)))
    return model.MembershipView(1, tuple(map(model.HostId, hosts)))


def _build_router(services: int) -> flows.FlowRouter:
    router = flows.FlowRouter(
        model.HostId('kgn-a-0'), measuring.manual_clock()
    )
    router.set_members(_build_members(8))
    for number in range(1, services + 1):
        router.apply_view(
            views.ServiceView.of(
                measuring.build_service(number, _UPSTREAMS_PER_SERVICE),
                measuring.DATA_CENTRE,
            ),
            _ZERO,
        )
    return router


def _measure_view_seconds(upstreams: int) -> float:
    numbers = iter(range(1, 1000))
    router = flows.FlowRouter(
        model.HostId('kgn-a-0'), measuring.manual_clock()
    )

    def apply() -> None:
        # A different service each time, so that cached tables are not reused.
        number = next(numbers)
        router.apply_view(
            views.ServiceView.of(
                measuring.build_service(number, upstreams),
                measuring.DATA_CENTRE,
            ),
            _ZERO,
        )

    return measuring.min_processor_seconds(apply)
