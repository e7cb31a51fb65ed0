"""Naive placement: every balancer chooses an upstream on arrival."""

import collections
import collections.abc
import random
import typing

from acaciamoor import hashing
from acaciamoor import model

Counts = collections.Counter[model.UpstreamId]


class Placement(typing.Protocol):
    """Chooses an upstream for each request and never changes the choice."""

    def choose(
        self, flow: int, upstream_ids: collections.abc.Sequence[str]
    ) -> model.UpstreamId:
        """Return the upstream for a request of `flow`."""

    def started(self, upstream_id: model.UpstreamId) -> None:
        """Take that a request was sent."""

    def ended(self, upstream_id: model.UpstreamId) -> None:
        """Take that a request was answered."""


class HashPlacement:
    """Rendezvous hashing of the flow, without regard to load."""

    def choose(
        self, flow: int, upstream_ids: collections.abc.Sequence[str]
    ) -> model.UpstreamId:
        """Return the upstream with the best score."""
        return model.UpstreamId(hashing.ranked(flow, upstream_ids, 1)[0])

    def started(self, upstream_id: model.UpstreamId) -> None:
        """Ignore it."""

    def ended(self, upstream_id: model.UpstreamId) -> None:
        """Ignore it."""


class LeastOutstanding:
    """The upstream with the fewest outstanding requests.

    Parameters
    ----------
    rng : random.Random
        Breaks ties and draws candidates.
    counts : Counter
        Outstanding requests: the balancer's own, a shared exact count, or
        the last reports.
    candidates : int or None
        Number of upstreams that are drawn and compared; all by default.
    writes : bool
        Whether `started` and `ended` change the counts.

    References
    ----------
    .. [1] M. Mitzenmacher, "The power of two choices in randomized load
       balancing", IEEE Transactions on Parallel and Distributed Systems,
       2001.
    """

    def __init__(
        self,
        rng: random.Random,
        counts: Counts,
        candidates: int | None = None,
        writes: bool = True,
    ) -> None:
        self._rng = rng
        self._counts = counts
        self._candidates = candidates
        self._writes = writes

    def choose(
        self, flow: int, upstream_ids: collections.abc.Sequence[str]
    ) -> model.UpstreamId:
        """Return the least loaded candidate."""
        number = min(self._candidates or len(upstream_ids), len(upstream_ids))
        drawn = self._rng.sample(list(upstream_ids), number)
        return model.UpstreamId(
            min(drawn, key=lambda item: self._counts[item])
        )

    def started(self, upstream_id: model.UpstreamId) -> None:
        """Count a request."""
        if self._writes:
            self._counts[upstream_id] += 1

    def ended(self, upstream_id: model.UpstreamId) -> None:
        """Discount a request."""
        if self._writes:
            self._counts[upstream_id] -= 1
