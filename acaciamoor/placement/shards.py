"""Split of a large service over several placers."""

import collections.abc

from acaciamoor import hashing
from acaciamoor import model

# One placer handles this many upstreams; a larger service is split.
UPSTREAMS_PER_SHARD = 64


def shard_count(upstreams: int) -> int:
    """Return the number of shards of a service in one data centre.

    Examples
    --------
    >>> [shard_count(number) for number in (0, 64, 65)]
    [1, 1, 2]
    """
    return max(1, -(-upstreams // UPSTREAMS_PER_SHARD))


def shard_of_flow(flow: int, shards: int) -> int:
    """Return the shard that serves `flow`."""
    return _choose(flow, shards)


def shard_upstreams(
    upstreams: collections.abc.Iterable[model.Upstream],
    shard: int,
    shards: int,
) -> tuple[model.Upstream, ...]:
    """Return the fixed subset of `upstreams` that `shard` owns.

    An upstream's shard depends only on its name and the number of shards, so
    adding or removing another upstream does not move it.
    """
    return tuple(
        upstream
        for upstream in upstreams
        if _choose(hashing.hash64(upstream.upstream_id), shards) == shard
    )


def _choose(key: int, shards: int) -> int:
    # Rendezvous hashing: a further shard takes only the keys that it wins.
    return max(
        range(shards),
        key=lambda shard: hashing.score(key, hashing.hash64(f'shard-{shard}')),
    )
