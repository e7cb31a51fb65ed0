"""Control traffic of whole balancers under load.

Complete decision cores exchange sealed messages on a virtual network, so the
bytes are those that a balancer sends.
"""

import random

from acaciamoor import model
from acaciamoor import wire
from acaciamoor.balancer import core as cores
import acaciamoor.harness.balancers as networks
from acaciamoor.load import measurement
from acaciamoor.load.scenarios import registry as registries

_SCENARIO = 'balancer-control-traffic'
_NEW_FLOWS_PER_SECOND = 2_000
_STEP_SECONDS = 0.01
_SETTLED_SECONDS = 8
_SECONDS_BEFORE = 2
# Covers the activation of the new view and the records after it.
_SECONDS_AFTER = 6
_LIMIT_BYTES_PER_SECOND = 4_096
_FIRST_PORT = 9_000


def run_control_traffic(
    options: registries.Options,
) -> list[measurement.Measurement]:
    """Drain an upstream while 2,000 new flows a second reach each balancer."""
    service = _service(options.upstreams)
    network = networks.BalancerNetwork(
        options.balancers, options.seed, (service,)
    )
    network.is_recording = False
    network.run(_SETTLED_SECONDS)
    source = random.Random(options.seed)
    _open_flows(network, source, _SECONDS_BEFORE)
    drained = next(iter(service.upstreams_by_id))
    network.update_service(service.drain_upstream(drained))
    before = _sent(network)
    _open_flows(network, source, _SECONDS_AFTER)
    sent = {
        host: (count - before[host]) / _SECONDS_AFTER
        for host, count in _sent(network).items()
    }
    return [
        _figure(
            'control traffic sent, busiest balancer',
            max(sent.values()),
            options.seed,
            measurement.Target(
                measurement.TargetOperator.LESS, _LIMIT_BYTES_PER_SECOND
            ),
        ),
        _figure(
            'control traffic sent, mean',
            sum(sent.values()) / len(sent),
            options.seed,
        ),
    ]


def register(registry: registries.ScenarioRegistry) -> None:
    """Add the scenarios of whole balancers to `registry`."""
    registry.add(
        registries.Scenario(
            _SCENARIO,
            'Control traffic of whole balancers while an upstream drains.',
            run_control_traffic,
        )
    )


def _service(upstreams: int) -> model.Service:
    members = [
        model.Upstream(
            model.UpstreamId(f'desk-{index}'),
            networks.DATA_CENTRE,
            model.Address('127.0.0.1', _FIRST_PORT + index),
        )
        for index in range(1, upstreams + 1)
    ]
    return model.Service(
        model.ServiceId(1),
        'order-desk',
        model.Address('127.0.0.1', _FIRST_PORT),
        {member.upstream_id: member for member in members},
        version=1,
    )


def _open_flows(
    network: networks.BalancerNetwork, source: random.Random, seconds: float
) -> None:
    hosts = sorted(network.cores_by_host)
    each_step = round(_NEW_FLOWS_PER_SECOND * _STEP_SECONDS)
    for _ in range(round(seconds / _STEP_SECONDS)):
        for host in hosts:
            batch = [
                networks.caller_datagram(
                    network.services[0],
                    wire.EnvelopeKind.OPEN,
                    source.getrandbits(64),
                )
                for _ in range(each_step)
            ]
            network.dispatch(host, cores.CallerDatagrams(batch))
        network.run(_STEP_SECONDS)


def _sent(network: networks.BalancerNetwork) -> dict[str, int]:
    metric = cores.Metric.CONTROL_BYTES_SENT
    return {
        host: sum(core.counters.counts_by_label(metric).values())
        for host, core in network.cores_by_host.items()
    }


def _figure(
    measure: str,
    value: float,
    seed: int,
    target: measurement.Target | None = None,
) -> measurement.Measurement:
    return measurement.Measurement(
        _SCENARIO,
        measurement.Variant.ACACIAMOOR,
        measure,
        value,
        'B/s',
        target,
        seed,
    )
