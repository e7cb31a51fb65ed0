"""Configuration changes beside pushes without versions.

All runs are on the virtual network in virtual time. The baseline has no
activation delay: a change is in force where it arrives.
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

IN_FORCE_LIMIT = measurement.Target(measurement.TargetOperator.LESS, 5000)
NO_REVERSAL = measurement.Target(measurement.TargetOperator.EQUAL, 0)
_MILLISECOND = datetime.timedelta(milliseconds=1)
_CHANGES = 10
_LIMIT_SECONDS = 20.0
_STEP_SECONDS = 0.05


def make_service(service_id: int, upstreams: int) -> services.Service:
    """Return a service for the platform to store."""
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
    """Measure when changes are in force on all hosts, at 1% loss."""
    found = []
    for variant, is_naive in membership.variants():
        fleet = _fleet(options, options.balancers, is_naive)
        times = [_change(fleet, options) for _ in range(_CHANGES)]
        found.append(
            _time(
                'configuration-in-force',
                variant,
                f'slowest of {_CHANGES} changes in force everywhere',
                max(times),
                IN_FORCE_LIMIT,
                options,
            )
        )
    return found


def run_in_force_planned(
    options: registries.Options,
) -> list[measurement.Measurement]:
    """Measure one change in a data centre of the planned size."""
    fleet = _fleet(options, membership.PLANNED_HOSTS, False, seconds=0.5)
    return [
        _time(
            'configuration-in-force-planned',
            measurement.Variant.ACACIAMOOR,
            f'change in force on {membership.PLANNED_HOSTS} hosts',
            _change(fleet, options),
            IN_FORCE_LIMIT,
            options,
        )
    ]


def run_reversals(
    options: registries.Options,
) -> list[measurement.Measurement]:
    """Count reversals with stale watches, restarts and lost messages."""
    found = []
    for variant, is_naive in membership.variants():
        fleet = _fleet(options, options.balancers, is_naive)
        counter = _ReversalCounter(fleet)
        for index in range(2 * _CHANGES):
            fleet.platform.write(1, make_service(1, options.upstreams))
            fleet.run(0.7)
            host_id = fleet.host_ids[index % options.balancers]
            # The watch starts again from an old version.
            fleet.nodes_by_id[host_id].watch_version = 0
            if index % 4 == 3:
                fleet.kill(host_id)
                fleet.start(host_id)
            fleet.run(0.7)
        found.append(
            measurement.Measurement(
                'configuration-reversals',
                variant,
                'hosts that went back to an older version',
                counter.reversals,
                'reversals',
                NO_REVERSAL,
                options.seed,
            )
        )
    return found


def run_restart_in_outage(
    options: registries.Options,
) -> list[measurement.Measurement]:
    """Restart a host while the platform is down."""
    found = []
    for variant, is_naive in membership.variants():
        fleet = _fleet(options, options.balancers, is_naive)
        elapsed = _restart_in_outage(fleet, options)
        found.append(
            _time(
                'configuration-restart-in-outage',
                variant,
                'restarted host has the newest version',
                elapsed,
                None,
                options,
            )
        )
    return found


def register(registry: registries.ScenarioRegistry) -> None:
    """Add the scenarios of this module."""
    for name, summary, run in (
        (
            'configuration-in-force',
            'Time until a change is in force on all hosts.',
            run_in_force,
        ),
        (
            'configuration-in-force-planned',
            'The same with 367 hosts.',
            run_in_force_planned,
        ),
        (
            'configuration-reversals',
            'Hosts that go back to an older version.',
            run_reversals,
        ),
        (
            'configuration-restart-in-outage',
            'Restart of a host while the platform is down.',
            run_restart_in_outage,
        ),
    ):
        registry.add(registries.Scenario(name, summary, run))


class _ReversalCounter:
    def __init__(self, fleet: control.ControlFleet) -> None:
        self.reversals = 0
        # The store is the key: a restarted host has another one.
        self._version_by_store: dict[object, int] = {}
        fleet.observers.append(self._observe)

    def _observe(self, node: control.Node) -> None:
        held = node.store.services_by_id.get(identifiers.ServiceId(1))
        version = held.version if held else 0
        known = self._version_by_store.get(node.store, 0)
        self.reversals += version < known
        self._version_by_store[node.store] = version


def _fleet(
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


def _change(
    fleet: control.ControlFleet, options: registries.Options
) -> datetime.timedelta:
    """Write a change and return the time until all hosts have it in force."""
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


def _restart_in_outage(
    fleet: control.ControlFleet, options: registries.Options
) -> datetime.timedelta:
    """Return the time until a restarted host has the newest version."""
    _change(fleet, options)
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
    limit = since + datetime.timedelta(seconds=_LIMIT_SECONDS)
    while not is_done() and fleet.clock.monotonic() < limit:
        fleet.run(_STEP_SECONDS)
    return fleet.clock.monotonic() - since


def _time(
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
