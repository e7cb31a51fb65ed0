"""Baselines: every balancer chooses an upstream when a request arrives."""

import collections
import collections.abc
import random
import typing

from acaciamoor import hashing
from acaciamoor import model

RequestCounts = collections.Counter[model.UpstreamId]


class PlacementPolicy(typing.Protocol):
    """Chooses an upstream for each request; the choice is final."""

    def choose(
        self, flow: int, upstream_ids: collections.abc.Sequence[str]
    ) -> model.UpstreamId:
        """Return the upstream for a request of `flow`."""

    def on_request_start(self, upstream_id: model.UpstreamId) -> None:
        """Record that a request was sent to an upstream."""

    def on_request_end(self, upstream_id: model.UpstreamId) -> None:
        """Record that a request was answered or timed out."""


class HashPlacement:
    """Rendezvous hashing of the flow, regardless of load."""

    def choose(
        self, flow: int, upstream_ids: collections.abc.Sequence[str]
    ) -> model.UpstreamId:
        """Return the upstream with the highest score."""
        return model.UpstreamId(hashing.ranked(flow, upstream_ids, 1)[0])

    def on_request_start(self, upstream_id: model.UpstreamId) -> None:
        """Do nothing."""

    def on_request_end(self, upstream_id: model.UpstreamId) -> None:
        """Do nothing."""


class LeastOutstandingPlacement:
    """Chooses the upstream with the fewest outstanding requests.

    Parameters
    ----------
    rng : random.Random
        Samples the candidates and breaks ties.
    counts : Counter
        Outstanding requests by upstream: those of this balancer, exact counts
        shared by all balancers, or the last reported counts.
    candidate_count : int or None
        Number of upstreams that are sampled and compared; None compares all.
    updates_counts : bool
        Whether `on_request_start` and `on_request_end` update the counts.

    References
    ----------
    .. [1] M. Mitzenmacher, "The power of two choices in randomized load
       balancing", IEEE Transactions on Parallel and Distributed Systems,
       2001.
    """

    def __init__(
        self,
        rng: random.Random,
        counts: RequestCounts,
        candidate_count: int | None = None,
        updates_counts: bool = True,
    ) -> None:
        self._rng = rng
        self._counts = counts
        self._candidate_count = candidate_count
        self._updates_counts = updates_counts

    def choose(
        self, flow: int, upstream_ids: collections.abc.Sequence[str]
    ) -> model.UpstreamId:
        """Return the candidate with the fewest outstanding requests."""
        count = min(
            self._candidate_count or len(upstream_ids), len(upstream_ids)
        )
        candidates = self._rng.sample(list(upstream_ids), count)
        return model.UpstreamId(
            min(candidates, key=lambda item: self._counts[item])
        )

    def on_request_start(self, upstream_id: model.UpstreamId) -> None:
        """Increment the count of an upstream."""
        if self._updates_counts:
            self._counts[upstream_id] += 1

    def on_request_end(self, upstream_id: model.UpstreamId) -> None:
        """Decrement the count of an upstream."""
        if self._updates_counts:
            self._counts[upstream_id] -= 1
