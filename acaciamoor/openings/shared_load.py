"""Choice of upstreams by the load that all hosts share.

All hosts have the same picture, which is 100 to 400 ms old, so each of them
draws upstreams at random. If all took the best one, they would fill it before
the next summary shows it.
"""

import collections.abc
import datetime
import random

from acaciamoor import capacity as capacities
from acaciamoor import directory
from acaciamoor import evidence as evidences
from acaciamoor import load_reports
from acaciamoor import model
from acaciamoor.openings import draws
from acaciamoor.openings import failure_detector as detectors
from acaciamoor.openings import load as trackers
from acaciamoor.openings import load_averages
from acaciamoor.openings import own_openings
from acaciamoor.openings import picture_intake
from acaciamoor.openings import service_table
from acaciamoor.openings import spill_over

# Draws from a pool before all candidates are compared. Where half of them are
# suspected or were tried, six draws find two others with 0.89.
_MAX_DRAWS = 6
# Time for which an answer shows that an upstream is not silent, when an
# opening is repeated. Beyond it all upstreams in use have answered.
_ANSWER_MEMORY = datetime.timedelta(milliseconds=500)


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
        get_capacity_factor: service_table.CapacityFactor,
        random_source: random.Random,
        handle_change: picture_intake.ChangeHandler | None = None,
        handle_evidence: picture_intake.EvidenceHandler | None = None,
    ) -> None:
        self._data_centre = data_centre
        self._picture = picture
        self._estimator = estimator
        self._random = random_source
        self.evidence = evidence
        self._load_tracker = load_tracker
        self._averages = load_averages.LoadAverages()
        self._table_builder = service_table.TableBuilder(
            data_centre,
            picture,
            estimator,
            self._averages,
            failure_detector,
            evidence,
            get_capacity_factor,
        )
        self._tables_by_service: dict[str, service_table.ServiceTable] = {}
        self._own_openings = own_openings.OwnOpenings()
        # Shared with `_own_openings`, for the choice.
        self._opened_by_id = self._own_openings.counts_by_id
        self._intake = picture_intake.PictureIntake(
            picture,
            estimator,
            self._averages,
            self._own_openings,
            failure_detector,
            evidence,
            handle_change,
            handle_evidence,
        )
        # Capacity that was last reported as changed.
        self.capacities_by_id = self._intake.capacities_by_id

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
        self._own_openings.record(upstream_id, now)

    def forget(self, upstream_id: model.UpstreamId) -> None:
        """Remove what is known of an upstream that no longer exists."""
        self._averages.levels_by_id.pop(upstream_id, None)
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
                and not table.is_avoided(upstream_id, now)
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
        table: service_table.ServiceTable,
        costs: SharedCosts,
        accepts: collections.abc.Callable[[int], bool],
    ) -> int | None:
        """Return the least loaded of some upstreams, drawn by their rates."""
        share, distant = spill_over.find_spill_over(
            table, self._data_centre, costs.spill_over_load
        )
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
        table: service_table.ServiceTable,
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

    def _draw(
        self,
        pool: draws.WeightedPool,
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

    def _rank(
        self,
        table: service_table.ServiceTable,
        number: int,
        costs: SharedCosts,
    ) -> float:
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

        Parameters
        ----------
        entries : iterable of UpstreamEntry
            All upstreams; those without work are not in the picture.
        now : datetime.timedelta
            Current time.
        """
        services = self._intake.update(entries, now)
        if services is not None:
            for service in self._tables_by_service.keys() - services:
                del self._tables_by_service[service]

    def _find_table(
        self,
        candidates: collections.abc.Sequence[directory.UpstreamEntry],
        now: datetime.timedelta,
    ) -> service_table.ServiceTable:
        service = candidates[0].service
        table = self._tables_by_service.get(service)
        if table is not None and table.revision == self._intake.revision:
            known = table.numbers_by_id
            if table.candidates == candidates or all(
                entry.upstream_id in known for entry in candidates
            ):
                return table
        table = self._table_builder.build(
            candidates, self._intake.revision, now
        )
        self._tables_by_service[service] = table
        return table

    def _draw_trial(
        self,
        table: service_table.ServiceTable,
        has_room: collections.abc.Callable[[int], bool],
    ) -> int | None:
        """Return an avoided upstream that a flow of this host tests."""
        upstream_id = self._random.choice(sorted(table.avoided))
        number = table.numbers_by_id[upstream_id]
        return number if has_room(number) else None
