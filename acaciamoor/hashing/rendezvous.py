"""Highest random weight ("rendezvous") hashing.

Every candidate gets a pseudo-random score from the key and its own name, and
the highest score wins. Removing a candidate moves only the keys that it had
won; adding one takes only the keys that it wins.

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

# More names than one data centre has hosts and upstreams.
_CACHED_NAMES = 16384
_UINT64 = (1 << 64) - 1
_UNIT = 1.0 / (1 << 64)
# Odd multipliers of the 64-bit finalizer of splitmix64.
_MIX_1 = 0xBF58476D1CE4E5B9
_MIX_2 = 0x94D049BB133111EB


@functools.lru_cache(maxsize=_CACHED_NAMES)
def hash64(text: str) -> int:
    """Return a 64-bit hash of `text` that is equal on all hosts."""
    return xxhash.xxh3_64_intdigest(text.encode())


def score(key: int, seed: int) -> int:
    """Return the 64-bit score of the candidate with hash `seed` for `key`."""
    value = (key ^ seed) & _UINT64
    value = ((value ^ (value >> 30)) * _MIX_1) & _UINT64
    value = ((value ^ (value >> 27)) * _MIX_2) & _UINT64
    return value ^ (value >> 31)


def ranked(
    key: int, names: collections.abc.Iterable[str], limit: int
) -> tuple[str, ...]:
    """Return the `limit` best candidates for `key`, best first.

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
    """Return the weighted choice for `key`, or None without candidates.

    Parameters
    ----------
    key : int
        Key to place, an unsigned 64-bit number.
    weights_by_name : Mapping
        Relative weight of each candidate; a weight of zero excludes it.
    """
    best = None
    best_rank = (-math.inf, '')
    for name, weight in weights_by_name.items():
        if weight <= 0.0:
            continue
        unit = (score(key, hash64(name)) + 0.5) * _UNIT
        rank = (weight / -math.log(unit), name)
        if rank > best_rank:
            best, best_rank = name, rank
    return best
