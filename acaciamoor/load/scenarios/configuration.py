"""Configuration scenarios, compared with pushes that ignore versions.

All runs use the virtual network and virtual time. The baseline has no
activation delay: a change is in force on a host as soon as it arrives.
"""

import datetime

from acaciamoor.harness import control
from acaciamoor.harness import network
from acaciamoor.load import measurement
from acaciamoor.load.scenarios import membership
from acaciamoor.load.scenarios import registry as registries
from acaciamoor.model import address
from acaciamoor.model import identifiers
from acaciamoor.model import service as services
from acaciamoor.model import upstream

IN_FORCE_TARGET = measurement.Target(measurement.TargetOperator.LESS, 5000)
NO_REVERSALS_TARGET = measurement.Target(measurement.TargetOperator.EQUAL, 0)
_MILLISECOND = datetime.timedelta(milliseconds=1)
_CHANGE_COUNT = 10
_TIMEOUT_SECONDS = 20.0
_STEP_SECONDS = 0.05


def make_service(service_id: int, upstreams: int) -> services.Service:
    """Return a service with `upstreams` upstreams."""
    return services.Service(
        service_id=identifiers.ServiceId(service_id),
        name=f'service-{service_id}',
        address=address.Address('127.0.0.1', 8000 + service_id),
        upstreams_by_id={
            identifiers.UpstreamId(f'upstream-{index}'): upstream.Upstream(
                identifiers.UpstreamId(f'upstream-{index}'),
                identifiers.DataCentre('kgn-a'),
                address.Address('127.0.0.1', 9000 + index),
            )
            for index in range(upstreams)
        },
    )


def run_in_force(
    options: registries.Options,
) -> list[measurement.Measurement]:
    """Measure the time until changes are in force on all hosts, at 1% loss."""
    measurements = []
    for variant, is_naive in membership.feasible_variants():
        fleet = _start_fleet(options, options.balancers, is_naive)
        times = [_measure_change(fleet, options) for _ in range(_CHANGE_COUNT)]
        measurements.append(
            _make_measurement(
                'configuration-in-force',
                variant,
                f'slowest of {_CHANGE_COUNT} changes in force everywhere',
                max(times),
                IN_FORCE_TARGET,
                options,
            )
        )
    return measurements


def run_in_force_planned(
    options: registries.Options,
) -> list[measurement.Measurement]:
    """Measure the time until one change is in force on 367 hosts."""
    fleet = _start_fleet(
        options, membership.PLANNED_HOST_COUNT, False, seconds=0.5
    )
    return [
        _make_measurement(
            'configuration-in-force-planned',
            measurement.Variant.ACACIAMOOR,
            f'change in force on {membership.PLANNED_HOST_COUNT} hosts',
            _measure_change(fleet, options),
            IN_FORCE_TARGET,
            options,
        )
    ]


def run_reversals(
    options: registries.Options,
) -> list[measurement.Measurement]:
    """Count the times that a host returns to an older version.

    Watches restart from an old version, hosts restart, and messages are lost.
    """
    measurements = []
    for variant, is_naive in membership.feasible_variants():
        fleet = _start_fleet(options, options.balancers, is_naive)
        counter = _ReversalCounter(fleet)
        for index in range(2 * _CHANGE_COUNT):
            fleet.platform.write(1, make_service(1, options.upstreams))
            fleet.run(0.7)
            host_id = fleet.host_ids[index % options.balancers]
            # Makes the watch start again from the oldest version.
            fleet.nodes_by_id[host_id].watch_version = 0
            if index % 4 == 3:
                fleet.kill(host_id)
                fleet.start(host_id)
            fleet.run(0.7)
        measurements.append(
            measurement.Measurement(
                'configuration-reversals',
                variant,
                'hosts that went back to an older version',
                counter.reversals,
                'reversals',
                NO_REVERSALS_TARGET,
                options.seed,
            )
        )
    return measurements


def run_restart_in_outage(
    options: registries.Options,
) -> list[measurement.Measurement]:
    """Measure the time until a host restarted in an outage is up to date."""
    measurements = []
    for variant, is_naive in membership.feasible_variants():
        fleet = _start_fleet(options, options.balancers, is_naive)
        elapsed = _measure_restart_in_outage(fleet, options)
        measurements.append(
            _make_measurement(
                'configuration-restart-in-outage',
                variant,
                'restarted host has the newest version',
                elapsed,
                None,
                options,
            )
        )
    return measurements


def register(registry: registries.ScenarioRegistry) -> None:
    """Add the configuration scenarios to `registry`."""
    for name, summary, run in (
        (
            'configuration-in-force',
            'Measure the time until a change is in force on all hosts.',
            run_in_force,
        ),
        (
            'configuration-in-force-planned',
            'Measure the time until a change is in force on 367 hosts.',
            run_in_force_planned,
        ),
        (
            'configuration-reversals',
            'Count the times that a host returns to an older version.',
            run_reversals,
        ),
        (
            'configuration-restart-in-outage',
            'Measure the restart of a host while the platform is down.',
            run_restart_in_outage,
        ),
    ):
        registry.add(registries.Scenario(name, summary, run))


class _ReversalCounter:
    """Counts the times that a store returns to an older version."""

    def __init__(self, fleet: control.ControlFleet) -> None:
        self.reversals = 0
        # Keyed by store, since a restarted host starts with an empty one.
        self._version_by_store: dict[object, int] = {}
        fleet.observers.append(self._observe)

    def _observe(self, node: control.Node) -> None:
        service = node.store.services_by_id.get(identifiers.ServiceId(1))
        version = service.version if service else 0
        previous = self._version_by_store.get(node.store, 0)
        self.reversals += version < previous
        self._version_by_store[node.store] = version


def _start_fleet(
    options: registries.Options,
    hosts: int,
    is_naive: bool,
    seconds: float = 4.0,
) -> control.ControlFleet:
    fleet = control.ControlFleet(
        hosts, options.seed, network.LinkSettings(loss=0.01), is_naive
    )
    fleet.warm_up()
    fleet.run(seconds)
    return fleet


def _measure_change(
    fleet: control.ControlFleet, options: registries.Options
) -> datetime.timedelta:
    """Write a change; return the time until it is in force on all hosts."""
    written_at = fleet.clock.monotonic()
    version = fleet.platform.write(1, make_service(1, options.upstreams))
    return _run_until(
        fleet,
        lambda: all(
            node.store.version_in_force() >= version
            for node in fleet.nodes_by_id.values()
        ),
        written_at,
    )


def _measure_restart_in_outage(
    fleet: control.ControlFleet, options: registries.Options
) -> datetime.timedelta:
    """Restart a host; return the time until it has the newest version."""
    _measure_change(fleet, options)
    fleet.platform.is_up = False
    fleet.run(10.0)
    host_id = fleet.host_ids[2]
    fleet.kill(host_id)
    store = fleet.start(host_id).store
    return _run_until(
        fleet,
        lambda: store.version == fleet.platform.version and store.fresh,
        fleet.clock.monotonic(),
    )


def _run_until(
    fleet: control.ControlFleet, is_done, since: datetime.timedelta
) -> datetime.timedelta:
    limit = since + datetime.timedelta(seconds=_TIMEOUT_SECONDS)
    while not is_done() and fleet.clock.monotonic() < limit:
        fleet.run(_STEP_SECONDS)
    return fleet.clock.monotonic() - since


def _make_measurement(
    scenario: str,
    variant: measurement.Variant,
    measure: str,
    elapsed: datetime.timedelta,
    target: measurement.Target | None,
    options: registries.Options,
) -> measurement.Measurement:
    return measurement.Measurement(
        scenario,
        variant,
        measure,
        elapsed / _MILLISECOND,
        'ms',
        target,
        options.seed,
    )
