"""Highest random weight ("rendezvous") hashing.

Every candidate has a pseudo-random score that depends on the key and on the
name of the candidate. A key is assigned to the candidate with the highest
score. Removing a candidate remaps only the keys assigned to it; adding one
remaps only the keys for which it has the highest score.

References
----------
.. [1] D. Thaler and C. Ravishankar, "Using name-based mappings to increase
   hit rates", IEEE/ACM Transactions on Networking, 1998.
.. [2] C. Schindelhauer and G. Schomaker, "Weighted distributed hash tables",
   SPAA 2005 (the logarithmic method for weights).
"""

import collections.abc
import functools
import heapq
import math

import xxhash

# Exceeds the number of hosts and upstreams in one data centre.
_HASH_CACHE_SIZE = 16384
_UINT64_MASK = (1 << 64) - 1
# Scales an unsigned 64-bit integer to the unit interval.
_UNIT_SCALE = 1.0 / (1 << 64)
# Odd multipliers of the 64-bit finalizer of SplitMix64.
_MIX_1 = 0xBF58476D1CE4E5B9
_MIX_2 = 0x94D049BB133111EB


@functools.lru_cache(maxsize=_HASH_CACHE_SIZE)
def hash64(text: str) -> int:
    """Return a 64-bit hash of `text` that is identical on all hosts."""
    return xxhash.xxh3_64_intdigest(text.encode())


def score(key: int, seed: int) -> int:
    """Return the 64-bit score for `key` of the candidate with hash `seed`."""
    value = (key ^ seed) & _UINT64_MASK
    value = ((value ^ (value >> 30)) * _MIX_1) & _UINT64_MASK
    value = ((value ^ (value >> 27)) * _MIX_2) & _UINT64_MASK
    return value ^ (value >> 31)


def ranked(
    key: int, names: collections.abc.Iterable[str], limit: int
) -> tuple[str, ...]:
    """Return the `limit` highest-ranked candidates for `key`, best first.

    Examples
    --------
    >>> ranked(7, ['a', 'b', 'c'], 2) == ranked(7, ['c', 'b', 'a'], 2)
    True
    """
    return tuple(
        heapq.nlargest(
            limit, names, key=lambda name: (score(key, hash64(name)), name)
        )
    )


def choose_weighted(
    key: int, weights_by_name: collections.abc.Mapping[str, float]
) -> str | None:
    """Return the candidate chosen for `key`, or None without candidates.

    Over many keys, candidates are chosen in proportion to their weights.

    Parameters
    ----------
    key : int
        Unsigned 64-bit key.
    weights_by_name : Mapping
        Relative weight of each candidate; a weight of zero excludes it.
    """
    best = None
    best_rank = (-math.inf, '')
    for name, weight in weights_by_name.items():
        if weight <= 0.0:
            continue
        unit = (score(key, hash64(name)) + 0.5) * _UNIT_SCALE
        rank = (weight / -math.log(unit), name)
        if rank > best_rank:
            best, best_rank = name, rank
    return best
