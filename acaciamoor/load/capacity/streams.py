"""Slopes of views, owners and records of streams."""

import datetime
import random

from acaciamoor import flows
from acaciamoor import model
from acaciamoor import views
from acaciamoor import wire
from acaciamoor.flows import owners
from acaciamoor.load import scaling
from acaciamoor.load.capacity import control
from acaciamoor.load.capacity import samples

_LOOKUPS = 20_000
_UPSTREAM_COUNTS = (2, 7, 64)
_SERVICE_COUNTS = (50, 200, 800)
_RECORD_COUNTS = (10_000, 100_000, 1_000_000)
# Upstreams of a mean service of the plan, rounded up.
_UPSTREAMS_PER_SERVICE = 3
_ZERO = datetime.timedelta(0)


def record_slopes(seed: int) -> list[scaling.ScalingFit]:
    """Return the memory of flow records by records."""
    points = []
    for count in _RECORD_COUNTS:
        rng = random.Random(seed)
        records = flows.FlowRecords()
        for _ in range(count):
            records.put(rng.getrandbits(64), 1, 60)
        points.append(scaling.Sample(count, records.nbytes))
    return [scaling.fit_samples('memory of records', 'B', 'records', points)]


def view_slopes(seed: int) -> list[scaling.ScalingFit]:
    """Return memory of views by services, and time of a new view."""
    memory = [
        scaling.Sample(
            count, samples.memory_of(lambda count=count: _router(count))
        )
        for count in _SERVICE_COUNTS
    ]
    change = [
        scaling.Sample(count, _seconds_of_view(count))
        for count in _UPSTREAM_COUNTS
    ]
    return [
        scaling.fit_samples('memory of views', 'B', 'services', memory),
        scaling.fit_samples(
            'processor time of a view', 's', 'upstreams', change
        ),
    ]


def owner_slopes(seed: int) -> list[scaling.ScalingFit]:
    """Return the time to choose owners anew by hosts."""
    points = []
    for count in control.HOSTS:
        view = _members(count)
        points.append(
            scaling.Sample(
                count,
                samples.seconds_of(lambda view=view: owners.OwnerTable(view)),
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


def lookup_slopes(seed: int) -> list[scaling.ScalingFit]:
    """Return the time of a default lookup by services."""
    points = []
    for count in _SERVICE_COUNTS:
        router = _router(count)
        rng = random.Random(seed)
        keys = [
            (1 + index % count, rng.getrandbits(64))
            for index in range(_LOOKUPS)
        ]

        def lookups(router=router, keys=keys) -> None:
            for service_id, flow in keys:
                router.route(service_id, flow, wire.EnvelopeKind.DATA)

        points.append(
            scaling.Sample(count, samples.seconds_of(lookups) / _LOOKUPS)
        )
    return [
        scaling.fit_samples(
            'processor time of a default lookup', 's', 'services', points
        )
    ]


def _members(count: int) -> model.MembershipView:
    hosts = tuple(sorted(f'kgn-a-{index}' for index in range(count)))
    return model.MembershipView(1, tuple(map(model.HostId, hosts)))


def _router(services: int) -> flows.FlowRouter:
    router = flows.FlowRouter(model.HostId('kgn-a-0'), samples.clock())
    router.set_members(_members(8))
    for number in range(1, services + 1):
        router.apply_view(
            views.ServiceView.of(
                samples.service(number, _UPSTREAMS_PER_SERVICE),
                samples.DATA_CENTRE,
            ),
            _ZERO,
        )
    return router


def _seconds_of_view(upstreams: int) -> float:
    numbers = iter(range(1, 1000))
    router = flows.FlowRouter(model.HostId('kgn-a-0'), samples.clock())

    def apply() -> None:
        # Another service each time, so that no table is shared.
        number = next(numbers)
        router.apply_view(
            views.ServiceView.of(
                samples.service(number, upstreams), samples.DATA_CENTRE
            ),
            _ZERO,
        )

    return samples.seconds_of(apply)
