"""Sharding of a large service over several placers."""

import collections.abc

from acaciamoor import hashing
from acaciamoor import model

# A service with more upstreams than this is split into shards.
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
    """Return the index of the shard that serves `flow`."""
    return _rendezvous_shard(flow, shards)


def shard_upstreams(
    upstreams: collections.abc.Iterable[model.Upstream],
    shard: int,
    shards: int,
) -> tuple[model.Upstream, ...]:
    """Return the subset of `upstreams` that belongs to `shard`.

    The shard of an upstream depends only on its identifier and the number of
    shards, so adding or removing another upstream does not change it.
    """
    return tuple(
        upstream
        for upstream in upstreams
        if _rendezvous_shard(hashing.hash64(upstream.upstream_id), shards)
        == shard
    )


def _rendezvous_shard(key: int, shards: int) -> int:
    # With rendezvous hashing, an additional shard takes over only the keys
    # for which it has the highest score; no key moves between other shards.
    return max(
        range(shards),
        key=lambda shard: hashing.score(key, hashing.hash64(f'shard-{shard}')),
    )
