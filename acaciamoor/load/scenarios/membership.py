"""Membership scenarios, compared with direct heartbeats between all hosts.

All runs use the virtual network and virtual time. Message sizes are estimates
of the Cap'n Proto encoding.
"""

import collections
import datetime
import statistics

from acaciamoor.harness import control
from acaciamoor.harness import network
from acaciamoor.load import measurement
from acaciamoor.load.scenarios import registry as registries

# Number of hosts in a data centre of the planned size.
PLANNED_HOST_COUNT = 367
TRAFFIC_HOST_COUNTS = (8, 64, PLANNED_HOST_COUNT)
# Targets of the control traffic of one host, in bytes per second.
SMALL_SITE_TRAFFIC_TARGET = measurement.Target(
    measurement.TargetOperator.LESS, 4000
)
PLANNED_TRAFFIC_TARGET = measurement.Target(
    measurement.TargetOperator.LESS, 9000
)
_WARM_UP_SECONDS = 4.0
_DETECTION_TIMEOUT_SECONDS = 6.0
_STEP_SECONDS = 0.05
_MILLISECOND = datetime.timedelta(milliseconds=1)
_KILL_COUNT = 5
# 367 hosts would exchange 270,000 direct heartbeats per virtual second.
_MAX_NAIVE_HOSTS = 64


def feasible_variants(
    hosts: int = 0,
) -> list[tuple[measurement.Variant, bool]]:
    """Return the variants to run with `hosts` hosts, and if each is naive.

    The naive variant is left out if there are too many hosts.
    """
    acaciamoor_variant = (measurement.Variant.ACACIAMOOR, False)
    if hosts > _MAX_NAIVE_HOSTS:
        return [acaciamoor_variant]
    return [acaciamoor_variant, (measurement.Variant.NAIVE, True)]


def run_detection(
    options: registries.Options,
) -> list[measurement.Measurement]:
    """Measure the time from the kill of a host to its removal."""
    return _measure_detection(
        'membership-detection', options, options.balancers
    )


def run_detection_planned(
    options: registries.Options,
) -> list[measurement.Measurement]:
    """Measure the removal of a killed host in a data centre of 367 hosts."""
    return _measure_detection(
        'membership-detection-planned', options, PLANNED_HOST_COUNT, kills=1
    )


def run_false_removals(
    options: registries.Options,
) -> list[measurement.Measurement]:
    """Count removals of healthy hosts under packet loss and one-way cuts."""
    measurements = []
    for variant, is_naive in feasible_variants():
        fleet = control.ControlFleet(
            options.balancers,
            options.seed,
            network.LinkSettings(loss=0.01),
            is_naive,
        )
        fleet.warm_up()
        fleet.run(_WARM_UP_SECONDS)
        counter = _RemovalCounter(fleet)
        seconds = options.duration.total_seconds()
        fleet.run(seconds / 2)
        removals_at_loss = counter.removals
        # Cuts the link from each host to the next one, in this direction only.
        for host, other in zip(
            fleet.host_ids, fleet.host_ids[1:], strict=False
        ):
            fleet.network.cut(host, other)
        fleet.run(seconds / 2)
        for measure, value in (
            ('false removals at 1% loss', removals_at_loss),
            (
                'false removals at 1% loss and one-way cuts',
                counter.removals - removals_at_loss,
            ),
        ):
            measurements.append(
                measurement.Measurement(
                    'membership-false-removals',
                    variant,
                    measure,
                    value,
                    'removals',
                    None,
                    options.seed,
                )
            )
    return measurements


def run_traffic(
    options: registries.Options,
) -> list[measurement.Measurement]:
    """Measure the messages and bytes that a host sends, by number of hosts."""
    targets = {
        8: SMALL_SITE_TRAFFIC_TARGET,
        PLANNED_HOST_COUNT: PLANNED_TRAFFIC_TARGET,
    }
    measurements = []
    for hosts in TRAFFIC_HOST_COUNTS:
        seconds = 2.0 if hosts > _MAX_NAIVE_HOSTS else 10.0
        for variant, is_naive in feasible_variants(hosts):
            fleet = control.ControlFleet(
                hosts, options.seed, is_naive=is_naive
            )
            fleet.warm_up()
            fleet.run(2.0)
            sent = fleet.bytes_sent_by_id.copy()
            messages = fleet.messages_sent_by_id.copy()
            fleet.run(seconds)
            sent = fleet.bytes_sent_by_id - sent
            messages = fleet.messages_sent_by_id - messages
            # Hosts are probed at random, so the maximum in a short window is
            # well above the long-term mean of the same host.
            for measure, value, unit, target in (
                (
                    'bytes sent by a host, mean',
                    statistics.mean(sent.values()),
                    'B/s',
                    targets.get(hosts),
                ),
                (
                    f'bytes sent by a host in {seconds:.0f} s, max',
                    max(sent.values()),
                    'B/s',
                    None,
                ),
                (
                    'messages sent by a host, mean',
                    statistics.mean(messages.values()),
                    '1/s',
                    None,
                ),
            ):
                measurements.append(
                    measurement.Measurement(
                        'membership-traffic',
                        variant,
                        f'{measure} of {hosts} hosts',
                        value / seconds,
                        unit,
                        target,
                        options.seed,
                    )
                )
    return measurements


def register(registry: registries.ScenarioRegistry) -> None:
    """Add the membership scenarios to `registry`."""
    for name, summary, run in (
        (
            'membership-detection',
            'Measure the time until a killed host is removed.',
            run_detection,
        ),
        (
            'membership-detection-planned',
            'Measure the time until a killed host is removed, with 367 hosts.',
            run_detection_planned,
        ),
        (
            'membership-false-removals',
            'Count removals of healthy hosts under loss and one-way cuts.',
            run_false_removals,
        ),
        (
            'membership-traffic',
            'Measure the control traffic per host with 8, 64 and 367 hosts.',
            run_traffic,
        ),
    ):
        registry.add(registries.Scenario(name, summary, run))


class _RemovalCounter:
    """Counts hosts that any host removes from its live hosts."""

    def __init__(self, fleet: control.ControlFleet) -> None:
        self.removals = 0
        self._live_by_id: dict[str, frozenset[str]] = {}
        fleet.observers.append(self._observe)

    def _observe(self, node: control.Node) -> None:
        live = frozenset(node.table.view().live)
        previous = self._live_by_id.get(node.host_id, live)
        self.removals += len(previous - live)
        self._live_by_id[node.host_id] = live


def _measure_detection(
    scenario: str,
    options: registries.Options,
    hosts: int,
    kills: int = _KILL_COUNT,
) -> list[measurement.Measurement]:
    measurements = []
    for variant, is_naive in feasible_variants(hosts):
        times_ms: list[float] = []
        for kill_index in range(kills):
            times_ms.extend(
                _measure_removal(hosts, options.seed + kill_index, is_naive)
            )
        for measure, value in (
            ('detection of a kill, p50', statistics.median(times_ms)),
            ('detection of a kill, max', max(times_ms)),
        ):
            measurements.append(
                measurement.Measurement(
                    scenario,
                    variant,
                    f'{measure} of {hosts} hosts',
                    value,
                    'ms',
                    None,
                    options.seed,
                )
            )
    return measurements


def _measure_removal(hosts: int, seed: int, is_naive: bool) -> list[float]:
    """Kill a host; return the time until each other one removes it, in ms."""
    fleet = control.ControlFleet(hosts, seed, is_naive=is_naive)
    fleet.warm_up()
    fleet.run(_WARM_UP_SECONDS if hosts <= _MAX_NAIVE_HOSTS else 1.0)
    victim = fleet.network.random.choice(fleet.host_ids)
    fleet.kill(victim)
    killed_at = fleet.clock.monotonic()
    removed_at: collections.OrderedDict = collections.OrderedDict()

    def observe(node: control.Node) -> None:
        if victim not in node.table.view().live:
            removed_at.setdefault(node.host_id, fleet.clock.monotonic())

    fleet.observers.append(observe)
    elapsed = 0.0
    while len(removed_at) < hosts - 1 and elapsed < _DETECTION_TIMEOUT_SECONDS:
        fleet.run(_STEP_SECONDS)
        elapsed += _STEP_SECONDS
    # A host that did not remove it in time counts with the whole time.
    missing = hosts - 1 - len(removed_at)
    times_ms = [(at - killed_at) / _MILLISECOND for at in removed_at.values()]
    return times_ms + [elapsed * 1000] * missing
