"""Settings of the simulated service in the placement scenarios."""

import dataclasses
import datetime

from acaciamoor.model import policy as policies


@dataclasses.dataclass(frozen=True, slots=True)
class WorldSettings:
    """Settings of a simulated service, its balancers and upstreams.

    Parameters
    ----------
    balancers, upstreams, slots : int
        Number of balancers, of upstreams, and of slots per upstream.
    seed : int
        Seed of all random choices.
    policy : policies.Policy
        Limits of the service, such as the length of its queue.
    upstream_queue : int
        Maximum number of requests that wait at an upstream; it sheds
        further ones.
    request_jitter : datetime.timedelta
        Maximum random delay that is added to a caller's datagram.
    tick : datetime.timedelta
        Interval between calls of `Placer.tick`.
    link_delay : datetime.timedelta
        One-way delay inside the data centre, between balancers and to
        upstreams. The delay between callers and balancers is always 1 ms.
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
