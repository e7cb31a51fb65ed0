"""Default upstream of every flow, as a table that hosts compute alike.

A flow falls into one of `BUCKETS` buckets, and a bucket has one default
upstream. Buckets choose by rendezvous hashing, but no upstream takes more
than its share with a small slack; a bucket that an upstream has no room for
goes to its next choice. The result is the stable matching in which every
bucket gets the best upstream it can have, so it depends on nothing but the
candidates, and a change of one candidate moves few buckets.

References
----------
.. [1] D. Thaler and C. Ravishankar, "Using name-based mappings to increase
   hit rates", IEEE/ACM Transactions on Networking, 1998.
.. [2] V. Mirrokni, M. Thorup and M. Zadimoghaddam, "Consistent hashing with
   bounded loads", SODA 2018.
.. [3] D. Gale and L. Shapley, "College admissions and the stability of
   marriage", The American Mathematical Monthly, 1962.
"""

import functools
import math

import numpy

from acaciamoor import hashing
from acaciamoor.model import upstream as upstreams

BUCKET_BITS = 13
BUCKETS = 1 << BUCKET_BITS
BUCKET_SHIFT = 64 - BUCKET_BITS
# Multiplier of Fibonacci hashing. Callers may choose flow identifiers that
# differ only in their low bits.
FLOW_MULTIPLIER = 0x9E3779B97F4A7C15
UINT64 = (1 << 64) - 1
# Share by which an upstream may exceed the mean. Without slack, a drain moves
# more buckets than those of the drained upstream; see docs/flows.md.
SLACK = 0.01
# Entry of a bucket for which no candidate exists.
NO_CANDIDATE = -1
# Tables are shared by views with the same candidates; 16 KB each.
_CACHED_TABLES = 256
_MIX_1 = numpy.uint64(0xBF58476D1CE4E5B9)
_MIX_2 = numpy.uint64(0x94D049BB133111EB)

Shares = tuple[tuple[str, float], ...]


def bucket_of(flow: int) -> int:
    """Return the bucket of `flow`."""
    return ((flow * FLOW_MULTIPLIER) & UINT64) >> BUCKET_SHIFT


def buckets_of(flows: numpy.ndarray) -> numpy.ndarray:
    """Return the buckets of many flows, an array of ``uint64``."""
    mixed = flows * numpy.uint64(FLOW_MULTIPLIER)
    return (mixed >> numpy.uint64(BUCKET_SHIFT)).astype(numpy.intp)


def score_matrix(keys: numpy.ndarray, names: tuple[str, ...]) -> numpy.ndarray:
    """Return `hashing.score` of every key (row) and name (column)."""
    seeds = numpy.array(
        [hashing.hash64(name) for name in names], dtype=numpy.uint64
    )
    value = keys[:, None] ^ seeds[None, :]
    value = (value ^ (value >> numpy.uint64(30))) * _MIX_1
    value = (value ^ (value >> numpy.uint64(27))) * _MIX_2
    return value ^ (value >> numpy.uint64(31))


def shares_of(candidates: tuple[upstreams.Upstream, ...]) -> Shares:
    """Return the name and the weight of every candidate, sorted."""
    return tuple(
        sorted((item.upstream_id, item.weight) for item in candidates)
    )


def choose_all(shares: Shares, slack: float = SLACK) -> numpy.ndarray:
    """Return the position in `shares` of every bucket's default.

    Parameters
    ----------
    shares : tuple
        Name and weight of every candidate.
    slack : float
        Share by which a candidate may exceed the mean; infinity gives plain
        weighted rendezvous hashing.

    Returns
    -------
    numpy.ndarray
        Read-only array of ``int16`` with `BUCKETS` entries.
    """
    return _choose_all(shares, slack)


@functools.lru_cache(maxsize=_CACHED_TABLES)
def _choose_all(shares: Shares, slack: float) -> numpy.ndarray:
    if not shares:
        choice = numpy.full(BUCKETS, NO_CANDIDATE)
    else:
        scores = _weighted_scores(shares)
        choice = _match(scores, _capacities(shares, slack))
    table = choice.astype(numpy.int16)
    table.setflags(write=False)
    return table


def _weighted_scores(shares: Shares) -> numpy.ndarray:
    keys = numpy.arange(BUCKETS, dtype=numpy.uint64)
    scores = score_matrix(keys, tuple(name for name, _ in shares))
    # Halved, so that subtraction and the mark for a rejection fit into int64.
    integers = (scores >> numpy.uint64(1)).astype(numpy.int64)
    weights = numpy.array([weight for _, weight in shares])
    if numpy.all(weights == weights[0]):
        # Integers, because logarithms may differ in the last bit on hosts
        # with other processors.
        return integers
    unit = (integers + 0.5) / float(1 << 63)
    return weights / -numpy.log(unit)


def _capacities(shares: Shares, slack: float) -> list[float]:
    total = sum(weight for _, weight in shares)
    return [
        math.inf
        if math.isinf(slack)
        else math.ceil(BUCKETS * weight / total * (1.0 + slack))
        for _, weight in shares
    ]


def _match(scores: numpy.ndarray, capacities: list[float]) -> numpy.ndarray:
    """Return the stable matching by deferred acceptance."""
    remaining = scores.copy()
    choice = numpy.argmax(remaining, axis=1)
    rejecting = True
    while rejecting:
        rejecting = False
        for candidate, capacity in enumerate(capacities):
            applicants = numpy.flatnonzero(choice == candidate)
            if len(applicants) <= capacity:
                continue
            rejecting = True
            order = numpy.argsort(
                -scores[applicants, candidate], kind='stable'
            )
            rejected = applicants[order[int(capacity) :]]
            remaining[rejected, candidate] = -1
            choice[rejected] = numpy.argmax(remaining[rejected], axis=1)
    return choice
