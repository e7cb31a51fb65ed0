"""Balancers that keep the record of a flow."""

import numpy

from acaciamoor.model import identifiers
from acaciamoor.model import members as membership
from acaciamoor.views import buckets

OWNER_BITS = 12
OWNER_BUCKETS = 1 << OWNER_BITS
_OWNER_SHIFT = 64 - OWNER_BITS
# Other than the multiplier of the upstream buckets, so that the owners of a
# flow do not follow from its upstream.
_OWNER_MULTIPLIER = 0xD1B54A32D192ED03
_OWNERS = 2


class OwnerTable:
    """Owners of every flow for one set of live hosts.

    A flow has two owners, the best live hosts in rendezvous order that are
    not leaving. The third host of its chain is the best of all other hosts,
    leaving ones included: it was an owner before if two hosts joined or left
    at the same time.

    Parameters
    ----------
    members : MembershipView
        The hosts.
    """

    def __init__(self, members: membership.MembershipView) -> None:
        self.hosts = members.live
        self._chains: list[tuple[identifiers.HostId, ...]]
        leaving = set(members.leaving)
        owning = [host not in leaving for host in self.hosts]
        if not any(owning):
            owning = [True] * len(self.hosts)
        self.owner_matrix, third = self._rank(numpy.array(owning, dtype=bool))
        self._chains = self._name_chains(third)

    def chain(self, flow: int) -> tuple[identifiers.HostId, ...]:
        """Return the hosts that may hold the record, best first."""
        return self._chains[
            ((flow * _OWNER_MULTIPLIER) & buckets.UINT64) >> _OWNER_SHIFT
        ]

    def owners(self, flow: int) -> tuple[identifiers.HostId, ...]:
        """Return the two hosts that keep the record, best first."""
        return self.chain(flow)[: self.owner_matrix.shape[1]]

    def _rank(
        self, owning: numpy.ndarray
    ) -> tuple[numpy.ndarray, numpy.ndarray | None]:
        """Return owner positions by bucket and the third of each chain."""
        keys = numpy.arange(OWNER_BUCKETS, dtype=numpy.uint64)
        scores = buckets.score_matrix(keys, self.hosts)
        # Halved to make room for the mark of excluded hosts.
        scores = (scores >> numpy.uint64(1)).astype(numpy.int64)
        eligible = numpy.where(owning[None, :], scores, -1)
        rows = numpy.arange(OWNER_BUCKETS)
        owners = []
        for _ in range(min(_OWNERS, int(owning.sum()))):
            best = numpy.argmax(eligible, axis=1)
            owners.append(best)
            eligible[rows, best] = -1
            scores[rows, best] = -1
        matrix = (
            numpy.stack(owners, axis=1)
            if owners
            else numpy.zeros((OWNER_BUCKETS, 0), dtype=numpy.intp)
        )
        if len(self.hosts) <= matrix.shape[1]:
            return matrix, None
        return matrix, numpy.argmax(scores, axis=1)

    def _name_chains(
        self, third: numpy.ndarray | None
    ) -> list[tuple[identifiers.HostId, ...]]:
        columns = list(self.owner_matrix.T)
        if third is not None:
            columns.append(third)
        if not columns:
            return [()] * OWNER_BUCKETS
        rows = numpy.stack(columns, axis=1).tolist()
        hosts = self.hosts
        return [tuple(hosts[index] for index in row) for row in rows]


def owner_buckets_of(flows: numpy.ndarray) -> numpy.ndarray:
    """Return the owner buckets of many flows, an array of ``uint64``."""
    mixed = flows * numpy.uint64(_OWNER_MULTIPLIER)
    return (mixed >> numpy.uint64(_OWNER_SHIFT)).astype(numpy.intp)
