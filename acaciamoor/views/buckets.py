"""Table of default upstreams, which all hosts compute identically.

A flow hashes to one of `BUCKET_COUNT` buckets, and each bucket has one default
upstream. Buckets rank the upstreams by rendezvous hashing, but the number of
buckets of an upstream is limited to its weighted share plus a small slack; a
bucket that its preferred upstream rejects is assigned to the next in rank. The
result is the stable matching that is optimal for the buckets. It depends only
on the candidates, and a change of one candidate remaps few buckets.

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
BUCKET_COUNT = 1 << BUCKET_BITS
BUCKET_SHIFT = 64 - BUCKET_BITS
# Multiplier of Fibonacci hashing, which also spreads flow identifiers that
# differ only in their low bits; callers may choose such identifiers.
FLOW_MULTIPLIER = 0x9E3779B97F4A7C15
UINT64_MASK = (1 << 64) - 1
# Fraction by which an upstream may exceed its weighted share. Without slack, a
# drain also remaps buckets of other upstreams; see docs/flows.md.
CAPACITY_SLACK = 0.01
# Entry of every bucket if there are no candidates.
NO_CANDIDATE = -1
# Number of cached tables, 16 KB each. Views with equal candidates share one.
_CACHED_TABLES = 256
# Multipliers of `hashing.score`.
_MIX_1 = numpy.uint64(0xBF58476D1CE4E5B9)
_MIX_2 = numpy.uint64(0x94D049BB133111EB)

CandidateWeights = tuple[tuple[str, float], ...]


def bucket_of(flow: int) -> int:
    """Return the bucket of `flow`."""
    return ((flow * FLOW_MULTIPLIER) & UINT64_MASK) >> BUCKET_SHIFT


def buckets_of(flows: numpy.ndarray) -> numpy.ndarray:
    """Return the buckets of an array of ``uint64`` flows."""
    mixed = flows * numpy.uint64(FLOW_MULTIPLIER)
    return (mixed >> numpy.uint64(BUCKET_SHIFT)).astype(numpy.intp)


def score_matrix(keys: numpy.ndarray, names: tuple[str, ...]) -> numpy.ndarray:
    """Return `hashing.score` for every key (row) and name (column)."""
    seeds = numpy.array(
        [hashing.hash64(name) for name in names], dtype=numpy.uint64
    )
    value = keys[:, None] ^ seeds[None, :]
    value = (value ^ (value >> numpy.uint64(30))) * _MIX_1
    value = (value ^ (value >> numpy.uint64(27))) * _MIX_2
    return value ^ (value >> numpy.uint64(31))


def candidate_weights(
    candidates: tuple[upstreams.Upstream, ...],
) -> CandidateWeights:
    """Return the identifier and weight of every candidate, sorted."""
    return tuple(
        sorted((item.upstream_id, item.weight) for item in candidates)
    )


def assign_buckets(
    candidates: CandidateWeights, slack: float = CAPACITY_SLACK
) -> numpy.ndarray:
    """Assign each bucket to the position of its default in `candidates`.

    Parameters
    ----------
    candidates : tuple
        Identifier and weight of every candidate.
    slack : float
        Fraction by which a candidate may exceed its weighted share; infinity
        gives plain weighted rendezvous hashing.

    Returns
    -------
    numpy.ndarray
        Read-only array of ``int16`` with `BUCKET_COUNT` entries.
    """
    return _assign_buckets_cached(candidates, slack)


@functools.lru_cache(maxsize=_CACHED_TABLES)
def _assign_buckets_cached(
    candidates: CandidateWeights, slack: float
) -> numpy.ndarray:
    if not candidates:
        choice = numpy.full(BUCKET_COUNT, NO_CANDIDATE)
    else:
        scores = _weighted_scores(candidates)
        choice = _stable_matching(scores, _capacities(candidates, slack))
    table = choice.astype(numpy.int16)
    table.setflags(write=False)
    return table


def _weighted_scores(candidates: CandidateWeights) -> numpy.ndarray:
    keys = numpy.arange(BUCKET_COUNT, dtype=numpy.uint64)
    scores = score_matrix(keys, tuple(name for name, _ in candidates))
    # Halved to fit into int64, in which -1 marks rejections and scores can be
    # negated.
    integers = (scores >> numpy.uint64(1)).astype(numpy.int64)
    weights = numpy.array([weight for _, weight in candidates])
    if numpy.all(weights == weights[0]):
        # Integers avoid logarithms, whose last bit may differ between hosts
        # with different processors.
        return integers
    unit = (integers + 0.5) / float(1 << 63)
    return weights / -numpy.log(unit)


def _capacities(candidates: CandidateWeights, slack: float) -> list[float]:
    total = sum(weight for _, weight in candidates)
    return [
        math.inf
        if math.isinf(slack)
        else math.ceil(BUCKET_COUNT * weight / total * (1.0 + slack))
        for _, weight in candidates
    ]


def _stable_matching(
    scores: numpy.ndarray, capacities: list[float]
) -> numpy.ndarray:
    """Return the stable matching, computed by deferred acceptance."""
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
