"""Placements of new flows at a site, to compare."""

import datetime
import functools
import random

from acaciamoor import directory
from acaciamoor import openings
from acaciamoor.load.scenarios import opening_model
from acaciamoor.load.scenarios import site_patterns

# Cost of distance of the baseline, and weight of its random choice.
_FIXED_COST = 0.5
_TIE = 1e-6
_SECOND = datetime.timedelta(seconds=1)
_IDEMPOTENT = directory.RequestKind.IDEMPOTENT


class OwnViewPlacement:
    """Acaciamoor: each host knows what it has seen itself.

    Parameters
    ----------
    pattern : SitePattern
        Pattern with the size of the site.
    seed : int
        Seed of ties between upstreams.
    settings : PlacementSettings
        Costs of the choice.
    shared : bool
        Whether all hosts share their knowledge without delay, which real
        hosts cannot do.
    """

    placer_class = openings.OpeningPlacer

    def __init__(
        self,
        pattern: site_patterns.SitePattern,
        seed: int,
        settings: openings.PlacementSettings | None = None,
        shared: bool = False,
    ) -> None:
        trackers = [openings.LoadTracker() for _ in range(pattern.hosts)]
        detectors = [openings.FailureDetector() for _ in range(pattern.hosts)]
        self.demand_trackers = [
            openings.DemandTracker() for _ in range(pattern.hosts)
        ]
        self.trackers = [trackers[0]] * pattern.hosts if shared else trackers
        self.detectors = (
            [detectors[0]] * pattern.hosts if shared else detectors
        )
        self._placers = [
            self.placer_class(
                opening_model.data_centre_of(host, pattern.data_centres),
                self.trackers[host],
                self.demand_trackers[host],
                self.detectors[host],
                random.Random(seed + host),
                settings,
            )
            for host in range(pattern.hosts)
        ]
        for placer in self._placers:
            placer.local_hosts = pattern.hosts // pattern.data_centres

    def choose(
        self,
        host: int,
        candidates: list[directory.UpstreamEntry],
        excluded: list[str],
        now: float,
    ) -> directory.UpstreamEntry | None:
        """Return the upstream for a new flow."""
        return self._placers[host].choose(
            candidates, _IDEMPOTENT, excluded, now * _SECOND
        )

    def set_warm_up(self, upstream_id: str, seconds: float, now: float):
        """Tell all hosts that an upstream warms up."""
        for placer in self._placers:
            placer.set_warm_up(upstream_id, seconds * _SECOND, now * _SECOND)

    def forget(self) -> None:
        """Lose all knowledge, as hosts do that lose power."""
        for item in (
            *self.trackers,
            *self.demand_trackers,
            *self.detectors,
        ):
            item.__init__()

    def begin_request(self, host: int, upstream_id: str, now: float) -> None:
        """Record that a host forwards a request."""
        self.trackers[host].begin_request(upstream_id, now * _SECOND)
        self.demand_trackers[host].begin_request(
            opening_model.SERVICE, now * _SECOND
        )

    def end_request(
        self, host: int, upstream_id: str, now: float, seconds: float
    ) -> None:
        """Record that a request ends; `seconds` is 0 without an answer."""
        self.trackers[host].end_request(upstream_id, now * _SECOND)
        if seconds:
            self.demand_trackers[host].add_answered(
                opening_model.SERVICE, seconds * _SECOND
            )


class RandomPlacement(OwnViewPlacement):
    """Baseline: chooses any listed upstream of the local data centre.

    Upstreams of other data centres are used if it has none.
    """

    def __init__(self, pattern: site_patterns.SitePattern, seed: int) -> None:
        super().__init__(pattern, seed)
        self._data_centres = pattern.data_centres
        self._rng = random.Random(seed)

    def choose(
        self,
        host: int,
        candidates: list[directory.UpstreamEntry],
        excluded: list[str],
        now: float,
    ) -> directory.UpstreamEntry | None:
        """Return the upstream for a new flow."""
        own = opening_model.data_centre_of(host, self._data_centres)
        local = [
            entry for entry in candidates if entry.upstream.data_centre == own
        ]
        return self._rng.choice(local or candidates) if candidates else None


class _FixedCostPlacer(openings.OpeningPlacer):
    """Compares loads alone; distance has a fixed cost."""

    def _spills_over(self, candidates, kind, now) -> bool:
        return False

    def _cost(self, entry, kind, now) -> float:
        load = self._load_tracker.estimate(entry.upstream_id, now)
        cost = (load + 1.0) / self._capacity(entry, now)
        cost += _TIE * self._random.random()
        return cost + (0.0 if self._is_local(entry) else _FIXED_COST)


class FixedCostPlacement(OwnViewPlacement):
    """Baseline: the least loaded upstream by what the host sees itself."""

    placer_class = _FixedCostPlacer


PLACEMENTS_BY_NAME = {
    'acaciamoor': OwnViewPlacement,
    'fixed cost of distance': FixedCostPlacement,
    'random': RandomPlacement,
    'one table for all hosts': functools.partial(
        OwnViewPlacement, shared=True
    ),
}
