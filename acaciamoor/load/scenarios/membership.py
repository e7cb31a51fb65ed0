"""Failure detection beside direct heartbeats.

All runs are on the virtual network in virtual time. Sizes of messages are
estimates of their Cap'n Proto form.
"""

import collections
import datetime
import statistics

from acaciamoor.harness import control
from acaciamoor.harness import network
from acaciamoor.load import measurement
from acaciamoor.load.scenarios import registry as registries

PLANNED_HOSTS = 367
TRAFFIC_SIZES = (8, 64, PLANNED_HOSTS)
# Bounds of the control traffic of one host, in bytes per second.
SITE_LIMIT = measurement.Target(measurement.TargetOperator.LESS, 4000)
PLANNED_LIMIT = measurement.Target(measurement.TargetOperator.LESS, 9000)
_WARM_UP_SECONDS = 4.0
_DETECTION_LIMIT_SECONDS = 6.0
_STEP_SECONDS = 0.05
_MILLISECOND = datetime.timedelta(milliseconds=1)
_KILLS = 5
# Direct heartbeats of 367 hosts are 270,000 messages in a virtual second.
_NAIVE_LIMIT = 64


def variants(
    hosts: int = 0,
) -> list[tuple[measurement.Variant, bool]]:
    """Return the variants that are feasible for a number of hosts."""
    system = (measurement.Variant.ACACIAMOOR, False)
    if hosts > _NAIVE_LIMIT:
        return [system]
    return [system, (measurement.Variant.NAIVE, True)]


def run_detection(
    options: registries.Options,
) -> list[measurement.Measurement]:
    """Kill hosts and measure when the others remove them."""
    return _detection('membership-detection', options, options.balancers)


def run_detection_planned(
    options: registries.Options,
) -> list[measurement.Measurement]:
    """Kill a host of a data centre of the planned size."""
    return _detection(
        'membership-detection-planned', options, PLANNED_HOSTS, kills=1
    )


def run_false_removals(
    options: registries.Options,
) -> list[measurement.Measurement]:
    """Count removals of healthy hosts at 1% loss and one-way cuts."""
    found = []
    for variant, is_naive in variants():
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
        lossy = counter.removals
        # One direction of one link of every host is broken.
        for host, other in zip(
            fleet.host_ids, fleet.host_ids[1:], strict=False
        ):
            fleet.network.cut(host, other)
        fleet.run(seconds / 2)
        for measure, value in (
            ('false removals at 1% loss', lossy),
            (
                'false removals at 1% loss and one-way cuts',
                counter.removals - lossy,
            ),
        ):
            found.append(
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
    return found


def run_traffic(
    options: registries.Options,
) -> list[measurement.Measurement]:
    """Measure messages and bytes of one host for several sizes."""
    limits = {8: SITE_LIMIT, PLANNED_HOSTS: PLANNED_LIMIT}
    found = []
    for hosts in TRAFFIC_SIZES:
        seconds = 2.0 if hosts > _NAIVE_LIMIT else 10.0
        for variant, is_naive in variants(hosts):
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
            # Who is probed how often is random, so the busiest host of a
            # short window is well above its own long-term mean.
            for measure, value, unit, target in (
                (
                    'bytes sent by a host, mean',
                    statistics.mean(sent.values()),
                    'B/s',
                    limits.get(hosts),
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
                found.append(
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
    return found


def register(registry: registries.ScenarioRegistry) -> None:
    """Add the scenarios of this module."""
    for name, summary, run in (
        (
            'membership-detection',
            'Time until a killed host is removed.',
            run_detection,
        ),
        (
            'membership-detection-planned',
            'The same with 367 hosts.',
            run_detection_planned,
        ),
        (
            'membership-false-removals',
            'Healthy hosts removed under loss and one-way cuts.',
            run_false_removals,
        ),
        (
            'membership-traffic',
            'Control traffic of a host with 8, 64 and 367 hosts.',
            run_traffic,
        ),
    ):
        registry.add(registries.Scenario(name, summary, run))


class _RemovalCounter:
    def __init__(self, fleet: control.ControlFleet) -> None:
        self.removals = 0
        self._live_by_id: dict[str, frozenset[str]] = {}
        fleet.observers.append(self._observe)

    def _observe(self, node: control.Node) -> None:
        live = frozenset(node.table.view().live)
        known = self._live_by_id.get(node.host_id, live)
        self.removals += len(known - live)
        self._live_by_id[node.host_id] = live


def _detection(
    scenario: str,
    options: registries.Options,
    hosts: int,
    kills: int = _KILLS,
) -> list[measurement.Measurement]:
    found = []
    for variant, is_naive in variants(hosts):
        times: list[float] = []
        for kill in range(kills):
            times.extend(_kill(hosts, options.seed + kill, is_naive))
        for measure, value in (
            ('detection of a kill, p50', statistics.median(times)),
            ('detection of a kill, max', max(times)),
        ):
            found.append(
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
    return found


def _kill(hosts: int, seed: int, is_naive: bool) -> list[float]:
    """Return the time until each host removed a killed one, in ms."""
    fleet = control.ControlFleet(hosts, seed, is_naive=is_naive)
    fleet.warm_up()
    fleet.run(_WARM_UP_SECONDS if hosts <= _NAIVE_LIMIT else 1.0)
    victim = fleet.network.random.choice(fleet.host_ids)
    fleet.kill(victim)
    killed_at = fleet.clock.monotonic()
    removed_at: collections.OrderedDict = collections.OrderedDict()

    def observe(node: control.Node) -> None:
        if victim not in node.table.view().live:
            removed_at.setdefault(node.host_id, fleet.clock.monotonic())

    fleet.observers.append(observe)
    elapsed = 0.0
    while len(removed_at) < hosts - 1 and elapsed < _DETECTION_LIMIT_SECONDS:
        fleet.run(_STEP_SECONDS)
        elapsed += _STEP_SECONDS
    # A host that did not notice counts with the whole run.
    missing = hosts - 1 - len(removed_at)
    times = [(at - killed_at) / _MILLISECOND for at in removed_at.values()]
    return times + [elapsed * 1000] * missing
