"""What the choice of upstreams needs to know of a service.

It is computed once for each summary, as a choice must take little time.
"""

import collections.abc
import datetime
import math
import statistics

from acaciamoor import capacity as capacities
from acaciamoor import directory
from acaciamoor import evidence as evidences
from acaciamoor import load_reports
from acaciamoor import model
from acaciamoor.openings import draws
from acaciamoor.openings import failure_detector as detectors
from acaciamoor.openings import load_averages

# Weight of the load that open flows cause on average, beside that of their
# requests in progress. Flows stay at their upstream, and one that happens to
# be idle has no request in progress.
_FLOW_WEIGHT = 0.5
# Distance of the mean number in progress from a knee, in standard deviations.
# Slots that are full only make requests wait, but beyond a knee the upstream
# answers less, and its open flows keep it there. One deviation left more flows
# to the other upstreams, which rejected 0.054 of the arrivals of the replay
# instead of 0.046; without any, 0.061 of the new flows were late.
_KNEE_DISTANCE = 0.7
# An upstream has a knee if its best rate uses less than this share of its
# slots. Without one it uses all of them, but for rounding.
_KNEE_SHARE = 0.99
_SECOND = datetime.timedelta(seconds=1)
# Load of an upstream that no summary names.
IDLE = load_reports.TotalLoad('')

CapacityFactor = collections.abc.Callable[
    [model.UpstreamId, datetime.timedelta], float
]


class ServiceTable:
    """What is computed for a service when the picture changes."""

    __slots__ = (
        'avoided',
        'built_at',
        'candidates',
        'demands',
        'doubtful',
        'failure_detector',
        'limits',
        'loads',
        'local',
        'measured',
        'numbers_by_id',
        'open_flows',
        'rates',
        'remote',
        'revision',
        'shares_by_load',
        'trial_share',
    )

    def __init__(
        self,
        candidates: list[directory.UpstreamEntry],
        revision: int,
        failure_detector: detectors.FailureDetector,
        now: datetime.timedelta,
    ) -> None:
        self.candidates = candidates
        self.numbers_by_id = {
            entry.upstream_id: number
            for number, entry in enumerate(candidates)
        }
        self.revision = revision
        self.failure_detector = failure_detector
        self.built_at = now
        # By number of the candidate.
        self.limits: list[float] = []
        self.loads: list[float] = []
        self.open_flows: list[int] = []
        self.rates: list[float] = []
        # Whether rates are requests a second, and not slots.
        self.measured = False
        self.local = draws.WeightedPool({})
        self.remote = draws.WeightedPool({})
        # Requests a second by data centre of the callers.
        self.demands: dict[str, float] = {}
        self.shares_by_load: dict[float, tuple[float, draws.WeightedPool]] = {}
        # Upstreams that shared evidence speaks against, those that failed a
        # short time ago, and the share of the new flows that test the former.
        self.avoided: frozenset[model.UpstreamId] = frozenset()
        self.doubtful: frozenset[model.UpstreamId] = frozenset()
        self.trial_share = 0.0

    def is_avoided(
        self, upstream_id: model.UpstreamId, now: datetime.timedelta
    ) -> bool:
        """Return whether new flows avoid an upstream."""
        return (
            upstream_id in self.avoided
            or self.failure_detector.is_suspected(upstream_id, now)
        )


class TableBuilder:
    """Computes the tables of services.

    Parameters
    ----------
    data_centre : DataCentre
        Data centre of this host.
    picture : LoadPicture
        Load that all hosts share.
    estimator : CapacityEstimator
        Measured capacity of the upstreams.
    averages : LoadAverages
        Averages of what the picture showed.
    failure_detector : FailureDetector
        Tells which upstreams are suspected.
    evidence : SharedEvidence
        Tells which upstreams all hosts avoid.
    get_capacity_factor : callable
        Returns the share of its capacity that an unmeasured upstream has at
        a time; below 1 in warm-up.
    """

    def __init__(
        self,
        data_centre: model.DataCentre,
        picture: load_reports.LoadPicture,
        estimator: capacities.CapacityEstimator,
        averages: load_averages.LoadAverages,
        failure_detector: detectors.FailureDetector,
        evidence: evidences.SharedEvidence,
        get_capacity_factor: CapacityFactor,
    ) -> None:
        self._data_centre = data_centre
        self._picture = picture
        self._estimator = estimator
        self._averages = averages
        self._failure_detector = failure_detector
        self._evidence = evidence
        self._get_capacity_factor = get_capacity_factor

    def build(
        self,
        candidates: collections.abc.Sequence[directory.UpstreamEntry],
        revision: int,
        now: datetime.timedelta,
    ) -> ServiceTable:
        """Return the table of the service of some upstreams.

        Parameters
        ----------
        candidates : sequence of UpstreamEntry
            Upstreams of the service that accept new flows; at least one.
        revision : int
            Revision of the picture.
        now : datetime.timedelta
            Current time.
        """
        table = ServiceTable(
            list(candidates), revision, self._failure_detector, now
        )
        table.demands = self._averages.demands_of(candidates[0].service)
        self._select_avoided(table, now)
        self._fill(table, now)
        return table

    def _fill(self, table: ServiceTable, now: datetime.timedelta) -> None:
        loads_by_id = self._picture.loads(now)
        loads = [
            loads_by_id.get(entry.upstream_id, IDLE)
            for entry in table.candidates
        ]
        interval = self._picture.interval / _SECOND
        flows = sum(load.open_flows for load in loads)
        finished = sum(load.finished for load in loads)
        request_rate = 0.0
        if flows and interval > 0.0:
            request_rate = finished / flows / interval
        local: dict[int, float] = {}
        remote: dict[int, float] = {}
        for number, (entry, load) in enumerate(
            zip(table.candidates, loads, strict=True)
        ):
            upstream_id = entry.upstream_id
            found = self._estimator.estimate(upstream_id, now)
            limit, rate = found.limit, found.rate
            if not found.known:
                factor = self._get_capacity_factor(upstream_id, now)
                limit, rate = limit * factor, rate * factor
            average = self._averages.levels_by_id.get(upstream_id)
            level = load.in_progress if average is None else average.value
            if found.service_time:
                table.measured = True
                expected = load.open_flows * request_rate * limit / rate
                level += _FLOW_WEIGHT * (expected - level)
            best = _slots_at_best(found, entry.upstream.slots)
            if best < entry.upstream.slots:
                limit *= _mean_below(best) / best
            table.limits.append(limit)
            table.rates.append(rate)
            table.loads.append(level)
            table.open_flows.append(load.open_flows)
            # The draw follows what changes slowly. In proportion to free
            # room, all hosts go where a summary 0.3 s ago showed most of it.
            weight = rate * min(1.0, limit / best)
            if table.is_avoided(upstream_id, now):
                weight = 0.0
            is_local = entry.upstream.data_centre == self._data_centre
            (local if is_local else remote)[number] = weight
        self._raise_hidden_loads(table)
        table.local = _make_pool(table, local)
        table.remote = _make_pool(table, remote)

    def _select_avoided(
        self, table: ServiceTable, now: datetime.timedelta
    ) -> None:
        table.doubtful = self._evidence.list_doubtful(now)
        if not self._evidence.verdicts_by_id:
            return
        rate = 0.0
        for entry in table.candidates:
            found = self._estimator.estimate(entry.upstream_id, now)
            if found.service_time:
                rate += found.rate
        demand = sum(table.demands.values())
        table.avoided = self._evidence.select_avoided(
            table.candidates, demand / rate if rate else None
        )
        summary = self._picture.summaries(now).get(self._data_centre)
        if table.avoided and summary is not None:
            table.trial_share = self._evidence.trial_share(
                table.avoided,
                sum(
                    load.openings
                    for load in summary.upstreams
                    if load.upstream_id in table.numbers_by_id
                ),
            )

    def _raise_hidden_loads(self, table: ServiceTable) -> None:
        """Let silent upstreams look no idler than the others.

        They have lost their requests and would win each comparison, where
        they are not avoided.
        """
        verdicts = self._evidence.verdicts_by_id
        if not verdicts:
            return
        # Those that failed a short time ago may still look idle.
        loads = [
            table.loads[number] / table.limits[number]
            for number, entry in enumerate(table.candidates)
            if entry.upstream_id not in table.doubtful
        ] or [
            table.loads[number] / table.limits[number]
            for number, entry in enumerate(table.candidates)
            if verdicts.get(entry.upstream_id) is not evidences.Verdict.SILENT
        ]
        if not loads:
            return
        typical = statistics.median(loads)
        for number, entry in enumerate(table.candidates):
            if verdicts.get(entry.upstream_id) is evidences.Verdict.SILENT:
                table.loads[number] = max(
                    table.loads[number], typical * table.limits[number]
                )


def _slots_at_best(capacity: capacities.Capacity, slots: int) -> float:
    """Return the slots in use at the best rate; fewer than all with a knee.

    They follow from Little's law.

    Examples
    --------
    >>> _slots_at_best(capacities.Capacity(8.0, 200.0, 0.04, True), 8)
    8.0
    >>> _slots_at_best(capacities.Capacity(2.0, 50.0, 0.04, True), 8)
    2.0
    """
    best = capacity.rate * capacity.service_time
    if capacity.known and 0.0 < best < _KNEE_SHARE * slots:
        return best
    return float(max(1, slots))


def _mean_below(knee: float) -> float:
    """Return the mean number in progress that keeps its distance from a knee.

    The number in progress of random arrivals has a variance like its mean.
    """
    half = _KNEE_DISTANCE / 2.0
    return (math.sqrt(knee + half**2) - half) ** 2


def _make_pool(
    table: ServiceTable, weights_by_number: dict[int, float]
) -> draws.WeightedPool:
    """Return a pool; in proportion to rates where no upstream has room."""
    pool = draws.WeightedPool(weights_by_number)
    if pool:
        return pool
    return draws.WeightedPool(
        {number: table.rates[number] for number in weights_by_number}
    )
