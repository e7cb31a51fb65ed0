"""Placements of new flows at a site, to compare."""

import collections
import datetime
import functools
import math
import random
import sys

import msgspec

from acaciamoor import directory
from acaciamoor import evidence
from acaciamoor import load_reports
from acaciamoor import openings
from acaciamoor.load.scenarios import opening_model
from acaciamoor.load.scenarios import site_patterns

# Cost of distance of the baseline, and weight of its random choice.
_FIXED_COST = 0.5
_TIE = 1e-6
_SECOND = datetime.timedelta(seconds=1)
# Interval of the reports of hosts, and how long they are on their way.
REPORT_INTERVAL_S = 0.2
REPORT_DELAYS_S = (0.1, 0.3)
_LEVELS = frozenset(('in_progress', 'open_flows'))
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
            self.new_placer(
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

    def new_placer(self, *arguments) -> openings.OpeningPlacer:
        """Return the placer of a host."""
        return self.placer_class(*arguments)

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

    def record_opening(self, host: int, upstream_id: str) -> None:
        """Record that an opening packet is sent to an upstream."""

    def record_timeout(self, host: int, upstream_id: str, now: float) -> None:
        """Record that an upstream did not answer an opening packet."""
        self.detectors[host].record_timeout(upstream_id, now * _SECOND)

    def record_answer(self, host: int, upstream_id: str) -> None:
        """Record that an upstream answered an opening packet."""
        self.detectors[host].record_answer(upstream_id)

    def open_flow(self, host: int, upstream_id: str) -> None:
        """Record that a flow is open at an upstream."""

    def close_flow(self, host: int, upstream_id: str) -> None:
        """Record that a flow of an upstream has ended."""

    def take_reports(self, now: float) -> list[load_reports.LoadSummary]:
        """Return what hosts report to each other; nothing by default."""
        return []

    def receive_report(
        self, summary: load_reports.LoadSummary, now: float
    ) -> None:
        """Take in what hosts report."""

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
        self,
        host: int,
        upstream_id: str,
        now: float,
        seconds: float,
        rejected: bool = False,
    ) -> None:
        """Record that a request ends; `seconds` is 0 without an answer."""
        self.trackers[host].end_request(upstream_id, now * _SECOND)
        if seconds or rejected:
            self.trackers[host].record_answer(upstream_id, now * _SECOND)
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


class SharedLoadPlacement(OwnViewPlacement):
    """Acaciamoor with a picture of the load that all hosts share."""

    def __init__(
        self,
        pattern: site_patterns.SitePattern,
        seed: int,
        settings: openings.PlacementSettings | None = None,
    ) -> None:
        self.data_centres = [
            opening_model.data_centre_of(number, pattern.data_centres)
            for number in range(pattern.data_centres)
        ]
        self._hosts = pattern.hosts // pattern.data_centres
        self.pictures_by_data_centre = {
            name: load_reports.LoadPicture(name) for name in self.data_centres
        }
        self._counts: list[dict[str, collections.Counter]] = [
            collections.defaultdict(collections.Counter)
            for _ in self.data_centres
        ]
        # Unanswered openings and answers of each host, by upstream.
        self._signs: list[dict[str, collections.Counter]] = [
            collections.defaultdict(collections.Counter)
            for _ in range(pattern.hosts)
        ]
        self._filters = [evidence.ReportFilter() for _ in self._signs]
        self._serial = 0
        self._entries = opening_model.upstream_entries(
            pattern.upstreams, pattern.data_centres, pattern.slots
        )
        super().__init__(pattern, seed, settings)

    def new_placer(self, *arguments) -> openings.OpeningPlacer:
        """Return the placer of a host."""
        picture = self.pictures_by_data_centre[arguments[0]]
        return self.placer_class(*arguments, picture=picture)

    def open_flow(self, host: int, upstream_id: str) -> None:
        """Record that a flow is open at an upstream."""
        self._find_counts(host, upstream_id)['open_flows'] += 1

    def record_opening(self, host: int, upstream_id: str) -> None:
        """Record that an opening packet is sent to an upstream."""
        self._find_counts(host, upstream_id)['openings'] += 1

    def record_timeout(self, host: int, upstream_id: str, now: float) -> None:
        """Record that an upstream did not answer an opening packet."""
        super().record_timeout(host, upstream_id, now)
        self._signs[host][upstream_id]['unanswered'] += 1

    def close_flow(self, host: int, upstream_id: str) -> None:
        """Record that a flow of an upstream has ended."""
        self._find_counts(host, upstream_id)['open_flows'] -= 1

    def begin_request(self, host: int, upstream_id: str, now: float) -> None:
        """Record that a host forwards a request."""
        super().begin_request(host, upstream_id, now)
        counts = self._find_counts(host, upstream_id)
        counts['in_progress'] += 1
        counts['started'] += 1

    def end_request(
        self,
        host: int,
        upstream_id: str,
        now: float,
        seconds: float,
        rejected: bool = False,
    ) -> None:
        """Record that a request ends; `seconds` is 0 without an answer."""
        super().end_request(host, upstream_id, now, seconds, rejected)
        counts = self._find_counts(host, upstream_id)
        counts['in_progress'] -= 1
        if seconds:
            counts['finished'] += 1
            counts['busy_seconds'] += seconds
        counts['rejected'] += rejected
        if seconds or rejected:
            self._signs[host][upstream_id]['finished'] += 1

    def take_reports(self, now: float) -> list[load_reports.LoadSummary]:
        """Return the sum of each data centre since the last call."""
        self._serial += 1
        self._add_evidence(now)
        summaries = []
        for name, counts_by_id in zip(
            self.data_centres, self._counts, strict=True
        ):
            summaries.append(
                load_reports.LoadSummary(
                    name,
                    f'{name}-1',
                    1,
                    self._serial,
                    self._hosts,
                    now,
                    REPORT_INTERVAL_S,
                    [
                        load_reports.UpstreamLoad(upstream_id, **counts)
                        for upstream_id, counts in counts_by_id.items()
                    ],
                )
            )
            for counts in counts_by_id.values():
                for key in tuple(counts):
                    if key not in _LEVELS:
                        del counts[key]
        return summaries

    def _add_evidence(self, now: float) -> None:
        """Add what each host reports of unanswered openings."""
        for host, signs_by_id in enumerate(self._signs):
            report = load_reports.HostReport(
                f'host-{host}',
                self.data_centres[host % len(self.data_centres)],
                1,
                self._serial,
                REPORT_INTERVAL_S,
                [
                    load_reports.UpstreamLoad(
                        upstream_id, openings=signs['unanswered'], **signs
                    )
                    for upstream_id, signs in signs_by_id.items()
                ],
            )
            filtered = self._filters[host].apply(report, True, now * _SECOND)
            for load in filtered.upstreams:
                counts = self._find_counts(host, load.upstream_id)
                signs = signs_by_id[load.upstream_id]
                counts['unanswered'] += load.unanswered
                # Some were sent in the interval before.
                left_out = signs['unanswered'] - load.openings
                counts['openings'] = max(0, counts['openings'] - left_out)
            signs_by_id.clear()

    def receive_report(
        self, summary: load_reports.LoadSummary, now: float
    ) -> None:
        """Take in a sum; its age is the time at which it was taken."""
        aged = msgspec.structs.replace(summary, age=now - summary.age)
        for picture in self.pictures_by_data_centre.values():
            picture.record(aged, now * _SECOND)
        for host, placer in enumerate(self._placers):
            if self.data_centres[host % len(self.data_centres)] == (
                summary.data_centre
            ):
                placer.update_load(self._entries, now * _SECOND)

    def _find_counts(self, host: int, upstream_id: str) -> collections.Counter:
        return self._counts[host % len(self._counts)][upstream_id]


class AlonePlacement(SharedLoadPlacement):
    """Baseline: the shared load, but each host finds failures alone."""

    def __init__(self, pattern: site_patterns.SitePattern, seed: int) -> None:
        alone = evidence.EvidenceSettings(
            min_unanswered=math.inf,
            min_mixed=sys.maxsize,
            min_partial=math.inf,
        )
        super().__init__(
            pattern, seed, openings.PlacementSettings(evidence=alone)
        )


class LeastSharedLoadPlacement(SharedLoadPlacement):
    """Baseline: all hosts choose the least load in the picture."""

    def choose(
        self,
        host: int,
        candidates: list[directory.UpstreamEntry],
        excluded: list[str],
        now: float,
    ) -> directory.UpstreamEntry | None:
        """Return the upstream for a new flow."""
        own = self.data_centres[host % len(self.data_centres)]
        picture = self.pictures_by_data_centre[own]

        def cost(entry: directory.UpstreamEntry) -> float:
            load = picture.load_of(entry.upstream_id, now * _SECOND)
            level = 0 if load is None else load.in_progress
            distance = 0.0 if entry.upstream.data_centre == own else 0.5
            return level / entry.upstream.slots + distance

        return min(candidates, key=cost, default=None)


PLACEMENTS_BY_NAME = {
    'acaciamoor': OwnViewPlacement,
    'fixed cost of distance': FixedCostPlacement,
    'random': RandomPlacement,
    'one table for all hosts': functools.partial(
        OwnViewPlacement, shared=True
    ),
    # What hosts do that share their load, without and with the evidence.
    'shared load': AlonePlacement,
    'shared evidence': SharedLoadPlacement,
}
# Placements on the patterns of upstreams whose capacity must be measured.
CAPACITY_PLACEMENTS_BY_NAME = {
    'acaciamoor': SharedLoadPlacement,
    'own view': OwnViewPlacement,
    'least shared load': LeastSharedLoadPlacement,
    'random': RandomPlacement,
    'one table for all hosts': PLACEMENTS_BY_NAME['one table for all hosts'],
}
