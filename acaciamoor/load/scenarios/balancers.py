"""Control traffic of complete balancers under load.

Complete balancer cores exchange signed messages on a virtual network, so the
measured bytes are those that a real balancer sends.
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
_SETTLE_SECONDS = 8
_SECONDS_BEFORE_DRAIN = 2
# Includes the activation of the new view and the records sent after it.
_SECONDS_AFTER_DRAIN = 6
_TARGET_BYTES_PER_SECOND = 4_096
_FIRST_PORT = 9_000


def run_control_traffic(
    options: registries.Options,
) -> list[measurement.Measurement]:
    """Drain an upstream at 2,000 new flows per second and balancer."""
    service = _make_service(options.upstreams)
    network = networks.BalancerNetwork(
        options.balancers, options.seed, (service,)
    )
    network.is_recording = False
    network.run(_SETTLE_SECONDS)
    rng = random.Random(options.seed)
    _open_flows(network, rng, _SECONDS_BEFORE_DRAIN)
    drained = next(iter(service.upstreams_by_id))
    network.update_service(service.drain_upstream(drained))
    before = _control_bytes_sent(network)
    _open_flows(network, rng, _SECONDS_AFTER_DRAIN)
    sent_per_second = {
        host: (count - before[host]) / _SECONDS_AFTER_DRAIN
        for host, count in _control_bytes_sent(network).items()
    }
    return [
        _make_measurement(
            'control traffic sent, busiest balancer',
            max(sent_per_second.values()),
            options.seed,
            measurement.Target(
                measurement.TargetOperator.LESS, _TARGET_BYTES_PER_SECOND
            ),
        ),
        _make_measurement(
            'control traffic sent, mean',
            sum(sent_per_second.values()) / len(sent_per_second),
            options.seed,
        ),
    ]


def register(registry: registries.ScenarioRegistry) -> None:
    """Add the scenario of complete balancers to `registry`."""
    registry.add(
        registries.Scenario(
            _SCENARIO,
            'Measure control traffic of balancers while an upstream drains.',
            run_control_traffic,
        )
    )


def _make_service(upstreams: int) -> model.Service:
    upstream_list = [
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
        {upstream.upstream_id: upstream for upstream in upstream_list},
        version=1,
    )


def _open_flows(
    network: networks.BalancerNetwork, rng: random.Random, seconds: float
) -> None:
    hosts = sorted(network.cores_by_host)
    flows_per_step = round(_NEW_FLOWS_PER_SECOND * _STEP_SECONDS)
    for _ in range(round(seconds / _STEP_SECONDS)):
        for host in hosts:
            batch = [
                networks.caller_datagram(
                    network.services[0],
                    wire.EnvelopeKind.OPEN,
                    rng.getrandbits(64),
                )
                for _ in range(flows_per_step)
            ]
            network.dispatch(host, cores.CallerDatagrams(batch))
        network.run(_STEP_SECONDS)


def _control_bytes_sent(network: networks.BalancerNetwork) -> dict[str, int]:
    metric = cores.Metric.CONTROL_BYTES_SENT
    return {
        host: sum(core.counters.counts_by_label(metric).values())
        for host, core in network.cores_by_host.items()
    }


def _make_measurement(
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
