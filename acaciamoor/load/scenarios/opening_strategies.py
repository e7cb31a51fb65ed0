"""Strategies for the selection of upstreams for new flows, to compare."""

import datetime
import random

from acaciamoor import directory
from acaciamoor import openings
from acaciamoor.load.scenarios import opening_model


class RandomStrategy:
    """Baseline: selects an upstream at random."""

    def __init__(self, hosts: int, upstreams: int, seed: int) -> None:
        del hosts
        self._rng = random.Random(seed)
        self._upstream_ids = [
            item.upstream_id
            for item in opening_model.upstream_entries(upstreams)
        ]

    def choose(self, host: int, now: float) -> str:
        """Return the upstream for a new flow of a host."""
        return self._rng.choice(self._upstream_ids)

    def begin_request(self, host: int, upstream_id: str, now: float) -> None:
        """Record that a host forwards a request."""

    def end_request(self, host: int, upstream_id: str, now: float) -> None:
        """Record that a request of a host ends."""


class OwnLoadStrategy:
    """Acaciamoor: each host tracks the requests that it forwards itself.

    Parameters
    ----------
    hosts, upstreams : int
        Number of hosts and of upstreams.
    seed : int
        Seed of the random choice between equal upstreams.
    one_tracker : bool
        Whether all hosts share one tracker without delay, which real hosts
        cannot do.
    """

    def __init__(
        self, hosts: int, upstreams: int, seed: int, one_tracker: bool = False
    ) -> None:
        self._entries = opening_model.upstream_entries(upstreams)
        shared_tracker = self.new_tracker(0)
        self.trackers = [
            shared_tracker if one_tracker else self.new_tracker(host)
            for host in range(hosts)
        ]
        self._placers = [
            openings.OpeningPlacer(
                opening_model.DATA_CENTRE,
                tracker,
                openings.DemandTracker(),
                openings.FailureDetector(),
                random.Random(seed + host),
            )
            for host, tracker in enumerate(self.trackers)
        ]

    def new_tracker(self, host: int) -> openings.LoadTracker:
        """Return a new load tracker for a host."""
        del host
        return openings.LoadTracker()

    def choose(self, host: int, now: float) -> str:
        """Return the upstream for a new flow of a host."""
        chosen = self._placers[host].choose(
            self._entries,
            directory.RequestKind.IDEMPOTENT,
            (),
            datetime.timedelta(seconds=now),
        )
        return chosen.upstream_id

    def begin_request(self, host: int, upstream_id: str, now: float) -> None:
        """Record that a host forwards a request."""
        self.trackers[host].begin_request(
            upstream_id, datetime.timedelta(seconds=now)
        )

    def end_request(self, host: int, upstream_id: str, now: float) -> None:
        """Record that a request of a host ends."""
        self.trackers[host].end_request(
            upstream_id, datetime.timedelta(seconds=now)
        )


class _SharedTracker(openings.LoadTracker):
    """Adds the last reported loads of the other hosts to the host's own."""

    def __init__(self, host: int, owner: 'SharedLoadStrategy') -> None:
        super().__init__()
        self._host = host
        self._owner = owner

    def estimate(self, upstream_id, now: datetime.timedelta) -> float:
        own = super().estimate(upstream_id, now)
        return own + self._owner.load_elsewhere(self._host, upstream_id, now)


class SharedLoadStrategy(OwnLoadStrategy):
    """Baseline: hosts also exchange their loads every 200 ms.

    Between exchanges the loads of other hosts are out of date, and all hosts
    have the same outdated loads.
    """

    exchange_interval = datetime.timedelta(milliseconds=200)

    def __init__(self, hosts: int, upstreams: int, seed: int) -> None:
        self._exchanged_at = datetime.timedelta(0)
        self._reported_loads: list[dict[str, float]] = [
            {} for _ in range(hosts)
        ]
        self._total_loads: dict[str, float] = {}
        super().__init__(hosts, upstreams, seed)

    def new_tracker(self, host: int) -> openings.LoadTracker:
        """Return a new load tracker for a host."""
        return _SharedTracker(host, self)

    def load_elsewhere(
        self, host: int, upstream_id: str, now: datetime.timedelta
    ) -> float:
        """Return the load of an upstream, as last reported by other hosts."""
        if now - self._exchanged_at >= self.exchange_interval:
            self._exchanged_at = now
            self._exchange(now)
        own = self._reported_loads[host].get(upstream_id, 0.0)
        return self._total_loads.get(upstream_id, 0.0) - own

    def _exchange(self, now: datetime.timedelta) -> None:
        ids = [item.upstream_id for item in self._entries]
        self._reported_loads = [
            {
                name: openings.LoadTracker.estimate(tracker, name, now)
                for name in ids
            }
            for tracker in self.trackers
        ]
        self._total_loads = {
            name: sum(loads[name] for loads in self._reported_loads)
            for name in ids
        }
