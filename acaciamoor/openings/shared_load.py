"""Choice of upstreams by the load that all hosts share.

All hosts have the same picture, which is 100 to 400 ms old, so each of them
draws upstreams at random. If all took the best one, they would fill it before
the next summary shows it.
"""

import bisect
import collections
import collections.abc
import datetime
import itertools
import math
import random
import statistics

from acaciamoor import capacity as capacities
from acaciamoor import directory
from acaciamoor import evidence as evidences
from acaciamoor import load_reports
from acaciamoor import model
from acaciamoor.openings import failure_detector as detectors
from acaciamoor.openings import load as trackers

# Time constant of the averages of levels and demands. A snapshot of the
# requests in progress holds for about 50 ms, less than its age; averages over
# 0.6 s made hosts swing (docs/design/measured-capacity.md).
_AVERAGING_TIME = datetime.timedelta(seconds=2)
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
# Draws from a pool before all candidates are compared. Where half of them are
# suspected or were tried, six draws find two others with 0.89.
_MAX_DRAWS = 6
# Time for which an answer shows that an upstream is not silent, when an
# opening is repeated. Beyond it all upstreams in use have answered.
_ANSWER_MEMORY = datetime.timedelta(milliseconds=500)
# Share of the interval that must pass before the picture is taken in again.
_MIN_INTERVAL_SHARE = 0.75
# Changes of the rate by more than this are reported; see docs/parts.md.
_NOTED_RATIO = 2.0
# Updates over which the search for changes is spread: each upstream is looked
# at every 0.8 to 1.2 s. Looking at all of them each time took a seventh of the
# time of an update.
_NOTING_PERIOD = 4
_SECOND = datetime.timedelta(seconds=1)
# Of an upstream that no summary names.
_IDLE = load_reports.TotalLoad('')

ChangeHandler = collections.abc.Callable[
    [model.UpstreamId, capacities.Capacity, capacities.Capacity], None
]
EvidenceHandler = collections.abc.Callable[[evidences.Change], None]
CapacityFactor = collections.abc.Callable[
    [model.UpstreamId, datetime.timedelta], float
]


class SharedCosts:
    """Costs of the choice; see `placer.PlacementSettings`.

    Parameters
    ----------
    remote : float
        Cost of another data centre, in requests per slot.
    spill_over_load : float
        Share of the local capacity above which flows go elsewhere.
    """

    __slots__ = ('remote', 'spill_over_load')

    def __init__(self, remote: float, spill_over_load: float) -> None:
        self.remote = remote
        self.spill_over_load = spill_over_load


class _Pool:
    """Upstreams to draw from, in proportion to their weights."""

    __slots__ = ('_cumulative', '_numbers')

    def __init__(self, weights_by_number: dict[int, float]) -> None:
        self._numbers = list(weights_by_number)
        self._cumulative = list(
            itertools.accumulate(weights_by_number.values())
        )

    def __bool__(self) -> bool:
        return bool(self._cumulative) and self._cumulative[-1] > 0.0

    def draw(self, random_source: random.Random) -> int:
        point = random_source.random() * self._cumulative[-1]
        number = bisect.bisect_right(self._cumulative, point)
        return self._numbers[min(number, len(self._numbers) - 1)]


class _Average:
    __slots__ = ('updated_at', 'value')

    def __init__(self, value: float, now: datetime.timedelta) -> None:
        self.value = value
        self.updated_at = now

    def add(self, value: float, now: datetime.timedelta) -> float:
        """Add a value that has held since the last one."""
        decay = _decay(self.updated_at, now)
        self.value = value + (self.value - value) * decay
        self.updated_at = now
        return self.value


def _decay(before: datetime.timedelta, now: datetime.timedelta) -> float:
    """Return the weight that averages keep from one time to another."""
    return math.exp(-max(0.0, (now - before) / _AVERAGING_TIME))


class _Table:
    """What is computed for a service when the picture changes."""

    __slots__ = (
        'avoided',
        'built_at',
        'candidates',
        'demands',
        'doubtful',
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
        now: datetime.timedelta,
    ) -> None:
        self.candidates = candidates
        self.numbers_by_id = {
            entry.upstream_id: number
            for number, entry in enumerate(candidates)
        }
        self.revision = revision
        self.built_at = now
        # By number of the candidate.
        self.limits: list[float] = []
        self.loads: list[float] = []
        self.open_flows: list[int] = []
        self.rates: list[float] = []
        # Whether rates are requests a second, and not slots.
        self.measured = False
        self.local = _Pool({})
        self.remote = _Pool({})
        # Requests a second by data centre of the callers.
        self.demands: dict[str, float] = {}
        self.shares_by_load: dict[float, tuple[float, _Pool]] = {}
        # Upstreams that shared evidence speaks against, those that failed a
        # short time ago, and the share of the new flows that test the former.
        self.avoided: frozenset[model.UpstreamId] = frozenset()
        self.doubtful: frozenset[model.UpstreamId] = frozenset()
        self.trial_share = 0.0


class SharedLoadChoice:
    """Chooses upstreams by shared load and measured capacity.

    Parameters
    ----------
    data_centre : DataCentre
        Data centre of this host.
    picture : LoadPicture
        Load that all hosts share.
    estimator : CapacityEstimator
        Receives the shared load of all candidates.
    failure_detector : FailureDetector
        Tells which upstreams are suspected.
    evidence : SharedEvidence
        Tells which upstreams all hosts avoid.
    load_tracker : LoadTracker
        Tells which upstreams have answered this host.
    get_capacity_factor : callable
        Returns the share of its capacity that an unmeasured upstream has at
        a time; below 1 in warm-up.
    random_source : random.Random
        Source of the draws.
    handle_change : callable or None
        Called when the measured rate of an upstream has changed by more than
        a factor of two.
    handle_evidence : callable or None
        Called when hosts begin or cease to avoid an upstream together.
    """

    def __init__(
        self,
        data_centre: model.DataCentre,
        picture: load_reports.LoadPicture,
        estimator: capacities.CapacityEstimator,
        failure_detector: detectors.FailureDetector,
        evidence: evidences.SharedEvidence,
        load_tracker: trackers.LoadTracker,
        get_capacity_factor: CapacityFactor,
        random_source: random.Random,
        handle_change: ChangeHandler | None = None,
        handle_evidence: EvidenceHandler | None = None,
    ) -> None:
        self._data_centre = data_centre
        self._picture = picture
        self._estimator = estimator
        self._failure_detector = failure_detector
        self._get_capacity_factor = get_capacity_factor
        self._random = random_source
        self._handle_change = handle_change
        self._handle_evidence = handle_evidence
        self.evidence = evidence
        self._load_tracker = load_tracker
        self._tables_by_service: dict[str, _Table] = {}
        self._levels_by_id: dict[model.UpstreamId, _Average] = {}
        self._demands_by_key: dict[tuple[str, str], _Average] = {}
        self._opened: collections.deque[
            tuple[datetime.timedelta, model.UpstreamId]
        ] = collections.deque()
        self._opened_by_id: collections.Counter[model.UpstreamId] = (
            collections.Counter()
        )
        # Of the own summaries in the picture when it was last taken in.
        self._revision = 0
        self._updated_at = -_SECOND
        # Number of the update in a noting period.
        self._noting_turn = 0
        # Capacity that was last reported as changed.
        self.capacities_by_id: dict[model.UpstreamId, capacities.Capacity] = {}

    def is_fresh(self, now: datetime.timedelta) -> bool:
        """Return whether the picture can be used."""
        return self._picture.is_fresh(now)

    def is_full(
        self,
        upstream_id: model.UpstreamId,
        max_flows: int,
        now: datetime.timedelta,
    ) -> bool:
        """Return whether an upstream has its maximum number of flows."""
        load = self._picture.load_of(upstream_id, now)
        shared = 0 if load is None else load.open_flows
        return shared + self._opened_by_id[upstream_id] >= max_flows

    def record_opening(
        self, upstream_id: model.UpstreamId, now: datetime.timedelta
    ) -> None:
        """Count a flow that this host opens, until a summary contains it."""
        self._opened.append((now, upstream_id))
        self._opened_by_id[upstream_id] += 1

    def forget(self, upstream_id: model.UpstreamId) -> None:
        """Remove what is known of an upstream that no longer exists."""
        self._levels_by_id.pop(upstream_id, None)
        self.capacities_by_id.pop(upstream_id, None)
        self._estimator.forget(upstream_id)
        self.evidence.forget(upstream_id)

    def choose(
        self,
        candidates: collections.abc.Sequence[directory.UpstreamEntry],
        costs: SharedCosts,
        excluded: collections.abc.Container[model.UpstreamId],
        max_flows: int,
        now: datetime.timedelta,
    ) -> directory.UpstreamEntry | None:
        """Return the upstream for a new flow.

        None if all are suspected, full, or were tried for the flow.

        Parameters
        ----------
        candidates : sequence of UpstreamEntry
            Upstreams of the service that accept new flows.
        costs : SharedCosts
            Costs of the choice.
        excluded : container of UpstreamId
            Upstreams that were already tried for the flow.
        max_flows : int
            Flows that an upstream holds; 0 if no limit is set.
        now : datetime.timedelta
            Current time.
        """
        table = self._find_table(candidates, now)
        # The table may hold further upstreams, and entries that have changed.
        allowed: dict[model.UpstreamId, directory.UpstreamEntry] | None = None
        if candidates != table.candidates:
            allowed = {entry.upstream_id: entry for entry in candidates}

        def has_room(number: int) -> bool:
            upstream_id = table.candidates[number].upstream_id
            return (allowed is None or upstream_id in allowed) and not (
                max_flows
                and table.open_flows[number] + self._opened_by_id[upstream_id]
                >= max_flows
            )

        def accepts(number: int) -> bool:
            upstream_id = table.candidates[number].upstream_id
            return (
                upstream_id not in excluded
                and has_room(number)
                and not self._is_avoided(table, upstream_id, now)
            )

        def accepts_proven(number: int) -> bool:
            upstream_id = table.candidates[number].upstream_id
            return upstream_id not in table.doubtful and accepts(number)

        def accepts_suspected(number: int) -> bool:
            upstream_id = table.candidates[number].upstream_id
            return (
                upstream_id not in excluded
                and upstream_id not in table.avoided
                and has_room(number)
            )

        chosen = None
        if excluded:
            chosen = self._find_answering(table, accepts_proven, now)
            if chosen is None:
                chosen = self._draw_best(table, costs, accepts_proven)
        elif table.avoided and self._random.random() < table.trial_share:
            chosen = self._draw_trial(table, has_room)
        if chosen is None:
            chosen = self._draw_best(table, costs, accepts)
        if chosen is None and table.avoided:
            # The suspicion of this host says less than the evidence of all.
            chosen = self._draw_best(table, costs, accepts_suspected)
        if chosen is None:
            return None
        entry = table.candidates[chosen]
        return entry if allowed is None else allowed[entry.upstream_id]

    def _draw_best(
        self,
        table: _Table,
        costs: SharedCosts,
        accepts: collections.abc.Callable[[int], bool],
    ) -> int | None:
        """Return the least loaded of some upstreams, drawn by their rates."""
        share, distant = self._spill_over(table, costs.spill_over_load)
        elsewhere = share > 0.0 and self._random.random() < share
        if elsewhere:
            drawn = self._draw(distant or table.remote, 2, accepts)
        else:
            drawn = self._draw(table.local, 2, accepts)
            drawn += self._draw(table.remote, 1, accepts)
        if not drawn:
            drawn = [
                number
                for number in range(len(table.candidates))
                if accepts(number)
            ]
        return min(
            drawn,
            key=lambda number: self._rank(table, number, costs),
            default=None,
        )

    def _find_answering(
        self,
        table: _Table,
        accepts: collections.abc.Callable[[int], bool],
        now: datetime.timedelta,
    ) -> int | None:
        """Return the upstream that answered this host last.

        When several upstreams fall silent together, it is the one that most
        likely answers.
        """
        for upstream_id in self._load_tracker.list_answered(
            now - _ANSWER_MEMORY
        ):
            number = table.numbers_by_id.get(upstream_id)
            if number is not None and accepts(number):
                return number
        return None

    def _is_avoided(
        self,
        table: _Table,
        upstream_id: model.UpstreamId,
        now: datetime.timedelta,
    ) -> bool:
        return (
            upstream_id in table.avoided
            or self._failure_detector.is_suspected(upstream_id, now)
        )

    def _draw(
        self,
        pool: _Pool,
        count: int,
        accepts: collections.abc.Callable[[int], bool],
    ) -> list[int]:
        drawn: list[int] = []
        if not pool:
            return drawn
        for _ in range(_MAX_DRAWS):
            number = pool.draw(self._random)
            if number not in drawn and accepts(number):
                drawn.append(number)
                if len(drawn) == count:
                    break
        return drawn

    def _rank(self, table: _Table, number: int, costs: SharedCosts) -> float:
        """Return the load with the new flow, in requests per slot."""
        entry = table.candidates[number]
        own = self._opened_by_id[entry.upstream_id]
        rank = (table.loads[number] + own + 1.0) / table.limits[number]
        if entry.upstream.data_centre != self._data_centre:
            rank += costs.remote
        return rank

    def update(
        self,
        entries: collections.abc.Iterable[directory.UpstreamEntry],
        now: datetime.timedelta,
    ) -> None:
        """Take in the picture after a summary of the own data centre.

        A host that places one flow a second would miss most summaries if it
        only read them then. Summaries of other data centres are taken in
        with those of the own one, so that none counts several times.

        Parameters
        ----------
        entries : iterable of UpstreamEntry
            All upstreams; those without work are not in the picture.
        now : datetime.timedelta
            Current time.
        """
        picture = self._picture
        if (
            picture.own_revision == self._revision
            or now - self._updated_at < _MIN_INTERVAL_SHARE * picture.interval
            or not picture.is_fresh(now)
        ):
            return
        before, self._updated_at = self._updated_at, now
        self._revision = picture.own_revision
        self._discard_old_openings(now)
        self._update_evidence(now)
        interval = picture.interval / _SECOND
        loads_by_id = picture.loads(now)
        decay = _decay(before, now)
        update_estimate = self._estimator.update
        levels_by_id = self._levels_by_id
        services_by_id: dict[str, str] = {}
        for entry in entries:
            upstream_id = entry.upstream_id
            services_by_id[upstream_id] = entry.service
            if not self.evidence.is_measurable(upstream_id):
                continue
            load = loads_by_id.get(upstream_id, _IDLE)
            level = load.in_progress
            update_estimate(
                upstream_id,
                entry.upstream.slots,
                capacities.CapacitySample(
                    interval, level, load.finished, load.busy_seconds
                ),
                now,
                entry.service,
            )
            average = levels_by_id.get(upstream_id)
            if average is None:
                levels_by_id[upstream_id] = _Average(float(level), now)
            elif average.updated_at == before:
                # Nearly all of them; see `_Average.add`.
                average.value = level + (average.value - level) * decay
                average.updated_at = now
            else:
                average.add(level, now)
        for upstream_id in itertools.islice(
            services_by_id, self._noting_turn, None, _NOTING_PERIOD
        ):
            self._note_change(upstream_id, now)
        self._noting_turn = (self._noting_turn + 1) % _NOTING_PERIOD
        services = set(services_by_id.values())
        for service in self._tables_by_service.keys() - services:
            del self._tables_by_service[service]
        self._update_demands(services_by_id, now)

    def _find_table(
        self,
        candidates: collections.abc.Sequence[directory.UpstreamEntry],
        now: datetime.timedelta,
    ) -> _Table:
        service = candidates[0].service
        table = self._tables_by_service.get(service)
        if table is not None and table.revision == self._revision:
            known = table.numbers_by_id
            if table.candidates == candidates or all(
                entry.upstream_id in known for entry in candidates
            ):
                return table
        table = _Table(list(candidates), self._revision, now)
        table.demands = {
            data_centre: average.value
            for (name, data_centre), average in self._demands_by_key.items()
            if name == service
        }
        self._select_avoided(table, now)
        self._fill(table, now)
        self._tables_by_service[service] = table
        return table

    def _fill(self, table: _Table, now: datetime.timedelta) -> None:
        loads_by_id = self._picture.loads(now)
        loads = [
            loads_by_id.get(entry.upstream_id, _IDLE)
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
            average = self._levels_by_id.get(upstream_id)
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
            if self._is_avoided(table, upstream_id, now):
                weight = 0.0
            is_local = entry.upstream.data_centre == self._data_centre
            (local if is_local else remote)[number] = weight
        self._raise_hidden_loads(table)
        table.local = _make_pool(table, local)
        table.remote = _make_pool(table, remote)

    def _update_evidence(self, now: datetime.timedelta) -> None:
        """Take in the evidence; a recovery clears what this host suspects."""
        # Those of the last update exist.
        for change in self.evidence.update(
            self._picture.summaries(now), now, self._levels_by_id
        ):
            if change.answered:
                self._failure_detector.record_answer(change.upstream_id)
            if self._handle_evidence is not None:
                self._handle_evidence(change)

    def _select_avoided(self, table: _Table, now: datetime.timedelta) -> None:
        table.doubtful = self.evidence.list_doubtful(now)
        if not self.evidence.verdicts_by_id:
            return
        rate = 0.0
        for entry in table.candidates:
            found = self._estimator.estimate(entry.upstream_id, now)
            if found.service_time:
                rate += found.rate
        demand = sum(table.demands.values())
        table.avoided = self.evidence.select_avoided(
            table.candidates, demand / rate if rate else None
        )
        summary = self._picture.summaries(now).get(self._data_centre)
        if table.avoided and summary is not None:
            table.trial_share = self.evidence.trial_share(
                table.avoided,
                sum(
                    load.openings
                    for load in summary.upstreams
                    if load.upstream_id in table.numbers_by_id
                ),
            )

    def _draw_trial(
        self,
        table: _Table,
        has_room: collections.abc.Callable[[int], bool],
    ) -> int | None:
        """Return an avoided upstream that a flow of this host tests."""
        upstream_id = self._random.choice(sorted(table.avoided))
        number = table.numbers_by_id[upstream_id]
        return number if has_room(number) else None

    def _raise_hidden_loads(self, table: _Table) -> None:
        """Let silent upstreams look no idler than the others.

        They have lost their requests and would win each comparison, where
        they are not avoided.
        """
        verdicts = self.evidence.verdicts_by_id
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

    def _discard_old_openings(self, now: datetime.timedelta) -> None:
        age = self._picture.age(now)
        if age is None:
            return
        opened = self._opened
        while opened and opened[0][0] < now - age:
            _, upstream_id = opened.popleft()
            self._opened_by_id[upstream_id] -= 1
            if self._opened_by_id[upstream_id] <= 0:
                del self._opened_by_id[upstream_id]

    def _note_change(
        self, upstream_id: model.UpstreamId, now: datetime.timedelta
    ) -> None:
        found = self._estimator.estimate(upstream_id, now)
        before = self.capacities_by_id.get(upstream_id)
        if before is None or not before.known:
            self.capacities_by_id[upstream_id] = found
        elif found.known and not (
            before.rate / _NOTED_RATIO
            <= found.rate
            <= before.rate * _NOTED_RATIO
        ):
            self.capacities_by_id[upstream_id] = found
            if self._handle_change is not None:
                self._handle_change(upstream_id, before, found)

    def _update_demands(
        self,
        services_by_id: collections.abc.Mapping[str, str],
        now: datetime.timedelta,
    ) -> None:
        rates: dict[tuple[str, str], float] = {}
        for data_centre, summary in self._picture.summaries(now).items():
            if summary.interval <= 0.0:
                continue
            started_by_service: dict[str, int] = {}
            for load in summary.upstreams:
                service = services_by_id.get(load.upstream_id)
                if service is not None:
                    started_by_service[service] = (
                        started_by_service.get(service, 0) + load.started
                    )
            for service, started in started_by_service.items():
                rates[service, data_centre] = started / summary.interval
        for key in self._demands_by_key.keys() - rates.keys():
            del self._demands_by_key[key]
        for key, rate in rates.items():
            average = self._demands_by_key.get(key)
            if average is None:
                self._demands_by_key[key] = _Average(rate, now)
            else:
                average.add(rate, now)

    def _spill_over(
        self, table: _Table, spill_over_load: float
    ) -> tuple[float, _Pool]:
        """Return the share of flows that go elsewhere, and to where.

        Demand above `spill_over_load` of the capacity of a data centre goes
        to those that are below it. If all are above it together, the common
        load of all data centres takes its place.
        """
        if not table.measured:
            return 0.0, table.remote
        found = table.shares_by_load.get(spill_over_load)
        if found is None:
            found = self._find_spill_over(table, spill_over_load)
            table.shares_by_load[spill_over_load] = found
        return found

    def _find_spill_over(
        self, table: _Table, spill_over_load: float
    ) -> tuple[float, _Pool]:
        rates: collections.Counter[str] = collections.Counter()
        for entry, rate in zip(table.candidates, table.rates, strict=True):
            if not self._is_avoided(table, entry.upstream_id, table.built_at):
                rates[entry.upstream.data_centre] += rate
        own = rates[self._data_centre]
        if not own or not rates.total():
            return 1.0, table.remote
        demand = table.demands.get(self._data_centre, 0.0)
        level = max(
            spill_over_load, sum(table.demands.values()) / rates.total()
        )
        if demand <= level * own:
            return 0.0, table.remote
        free_shares = {
            data_centre: max(
                0.0, level - table.demands.get(data_centre, 0.0) / rate
            )
            for data_centre, rate in rates.items()
            if data_centre != self._data_centre
        }
        pool = _Pool(
            {
                number: rate
                * free_shares.get(
                    table.candidates[number].upstream.data_centre, 0.0
                )
                for number, rate in enumerate(table.rates)
                if table.candidates[number].upstream.data_centre
                != self._data_centre
            }
        )
        return (1.0 - level * own / demand) if pool else 0.0, pool


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


def _make_pool(table: _Table, weights_by_number: dict[int, float]) -> _Pool:
    """Return a pool; in proportion to rates where no upstream has room."""
    pool = _Pool(weights_by_number)
    if pool:
        return pool
    return _Pool({number: table.rates[number] for number in weights_by_number})
