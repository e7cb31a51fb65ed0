"""Assignment of flow records to the balancers that own them."""

import functools

import numpy

from acaciamoor.model import identifiers
from acaciamoor.model import members as membership
from acaciamoor.views import buckets

OWNER_BITS = 12
OWNER_BUCKET_COUNT = 1 << OWNER_BITS
_OWNER_SHIFT = 64 - OWNER_BITS
# Differs from the multiplier of the upstream buckets, so that the owners of a
# flow are independent of its upstream.
_OWNER_MULTIPLIER = 0xD1B54A32D192ED03
_OWNER_COUNT = 2
# Hosts whose scores are cached across membership changes; 32 KB each.
_CACHED_HOSTS = 512


class OwnerTable:
    """Record owners of every flow for one set of hosts.

    Hosts are ranked by rendezvous hashing. The two highest-ranked live hosts
    that are not leaving own a flow. The third host of its chain is the
    highest-ranked of all other hosts, including leaving ones: if two hosts
    joined or left at the same time, it is a former owner.

    Parameters
    ----------
    members : MembershipView
        Live and leaving hosts.
    """

    def __init__(self, members: membership.MembershipView) -> None:
        self.hosts = tuple(sorted({*members.live, *members.leaving}))
        self._chains: list[tuple[identifiers.HostId, ...]]
        leaving = set(members.leaving)
        eligible = [host not in leaving for host in self.hosts]
        if not any(eligible):
            eligible = [True] * len(self.hosts)
        self.owner_matrix, third = self._rank_hosts(
            numpy.array(eligible, dtype=bool)
        )
        self._chains = self._build_chains(third)

    def chain(self, flow: int) -> tuple[identifiers.HostId, ...]:
        """Return the hosts that may hold the record, by rank."""
        return self._chains[
            ((flow * _OWNER_MULTIPLIER) & buckets.UINT64_MASK) >> _OWNER_SHIFT
        ]

    def owners(self, flow: int) -> tuple[identifiers.HostId, ...]:
        """Return the two hosts that own the record, by rank."""
        return self.chain(flow)[: self.owner_matrix.shape[1]]

    def _rank_hosts(
        self, eligible: numpy.ndarray
    ) -> tuple[numpy.ndarray, numpy.ndarray | None]:
        """Return the owners and the third chain host of each bucket.

        Hosts are given as positions in `hosts`.
        """
        if not self.hosts:
            return numpy.zeros((OWNER_BUCKET_COUNT, 0), dtype=numpy.intp), None
        scores = numpy.stack([_host_scores(host) for host in self.hosts])
        columns = numpy.arange(OWNER_BUCKET_COUNT)
        excluded = scores[~eligible]
        scores[~eligible] = -1
        owners = []
        for _ in range(min(_OWNER_COUNT, int(eligible.sum()))):
            best = _highest_rows(scores)
            owners.append(best)
            scores[best, columns] = -1
        scores[~eligible] = excluded
        matrix = numpy.stack(owners, axis=1)
        if len(self.hosts) <= matrix.shape[1]:
            return matrix, None
        return matrix, _highest_rows(scores)

    def _build_chains(
        self, third: numpy.ndarray | None
    ) -> list[tuple[identifiers.HostId, ...]]:
        columns = list(self.owner_matrix.T)
        if third is not None:
            columns.append(third)
        if not columns:
            return [()] * OWNER_BUCKET_COUNT
        hosts = self.hosts
        host_columns = [
            [hosts[index] for index in item.tolist()] for item in columns
        ]
        return list(zip(*host_columns, strict=True))


@functools.lru_cache(maxsize=_CACHED_HOSTS)
def _host_scores(host_id: identifiers.HostId) -> numpy.ndarray:
    """Return the score of one host for every owner bucket.

    Scores are halved to fit into ``int64``, in which -1 marks excluded hosts.
    """
    keys = numpy.arange(OWNER_BUCKET_COUNT, dtype=numpy.uint64)
    scores = buckets.score_matrix(keys, (host_id,))[:, 0]
    return (scores >> numpy.uint64(1)).astype(numpy.int64)


def _highest_rows(scores: numpy.ndarray) -> numpy.ndarray:
    """Return the row with the highest score for every column.

    Faster than `numpy.argmax` over the rows: 7 ms against 33 ms for 367
    hosts.
    """
    highest = scores[0].copy()
    best = numpy.zeros(len(highest), dtype=numpy.intp)
    for row, values in enumerate(scores[1:], start=1):
        higher = values > highest
        numpy.copyto(highest, values, where=higher)
        best[higher] = row
    return best


def owner_buckets_of(flows: numpy.ndarray) -> numpy.ndarray:
    """Return the owner buckets of an array of ``uint64`` flows."""
    mixed = flows * numpy.uint64(_OWNER_MULTIPLIER)
    return (mixed >> numpy.uint64(_OWNER_SHIFT)).astype(numpy.intp)
