"""Size and behaviour of the virtual service of the experiments."""

import dataclasses
import datetime

from acaciamoor.model import policy as policies


@dataclasses.dataclass(frozen=True, slots=True)
class WorldSettings:
    """Size and behaviour of a world.

    Parameters
    ----------
    balancers, upstreams, slots : int
        Number of each, and slots of each upstream.
    seed : int
        Seed of all random choices.
    policy : policies.Policy
        Limits of the service.
    upstream_queue : int
        Requests that an upstream lets wait before it sheds.
    request_jitter : datetime.timedelta
        Upper bound of the random delay of a caller's datagram.
    tick : datetime.timedelta
        Time between two ticks of a placer.
    link_delay : datetime.timedelta
        One-way delay inside the data centre, between balancers and to
        upstreams. Callers are 1 ms away.
    """

    balancers: int = 8
    upstreams: int = 7
    slots: int = 2
    seed: int = 7
    policy: policies.Policy = dataclasses.field(
        default_factory=policies.Policy
    )
    upstream_queue: int = 1_000_000
    request_jitter: datetime.timedelta = datetime.timedelta(0)
    tick: datetime.timedelta = datetime.timedelta(milliseconds=10)
    link_delay: datetime.timedelta = datetime.timedelta(microseconds=200)
