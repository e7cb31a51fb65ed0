"""Test data for the balancer core."""

import acaciamoor.harness.balancers as balancers
import acaciamoor.model as model
import acaciamoor.model.tests.builders as model_builders

SECOND = balancers.SECOND
datagram = balancers.caller_datagram


def network(
    hosts: int = 3,
    seed: int = 7,
    services: tuple[model.Service, ...] | None = None,
) -> balancers.BalancerNetwork:
    """Return balancers, by default with one service of seven upstreams."""
    return balancers.BalancerNetwork(
        hosts, seed, services or (model_builders.service(),)
    )
