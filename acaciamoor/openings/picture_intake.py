"""What a host takes from each new summary of the load that hosts share."""

import collections.abc
import datetime
import itertools

from acaciamoor import capacity as capacities
from acaciamoor import directory
from acaciamoor import evidence as evidences
from acaciamoor import load_reports
from acaciamoor import model
from acaciamoor.openings import failure_detector as detectors
from acaciamoor.openings import load_averages
from acaciamoor.openings import own_openings
from acaciamoor.openings import service_table

# Share of the interval that must pass before the picture is taken in again.
_MIN_INTERVAL_SHARE = 0.75
# Changes of the rate by more than this are reported; see docs/parts.md.
_NOTED_RATIO = 2.0
# Updates over which the search for changes is spread: each upstream is looked
# at every 0.8 to 1.2 s. Looking at all of them each time took a seventh of the
# time of an update.
_NOTING_PERIOD = 4
_SECOND = datetime.timedelta(seconds=1)

ChangeHandler = collections.abc.Callable[
    [model.UpstreamId, capacities.Capacity, capacities.Capacity], None
]
EvidenceHandler = collections.abc.Callable[[evidences.Change], None]


class PictureIntake:
    """Takes the picture in once for each summary of the own data centre.

    Parameters
    ----------
    picture : LoadPicture
        Load that all hosts share.
    estimator : CapacityEstimator
        Receives the shared load of all upstreams.
    averages : LoadAverages
        Receives the same.
    openings : OwnOpenings
        Loses the flows that the picture contains.
    failure_detector : FailureDetector
        Loses its suspicion of upstreams that have recovered.
    evidence : SharedEvidence
        Receives the sums of the summaries.
    handle_change : callable or None
        Called when the measured rate of an upstream has changed by more than
        a factor of two.
    handle_evidence : callable or None
        Called when hosts begin or cease to avoid an upstream together.

    Attributes
    ----------
    revision : int
        Revision of the own summaries when the picture was last taken in.
    capacities_by_id : dict
        Capacity that was last reported as changed, by upstream.
    """

    def __init__(
        self,
        picture: load_reports.LoadPicture,
        estimator: capacities.CapacityEstimator,
        averages: load_averages.LoadAverages,
        openings: own_openings.OwnOpenings,
        failure_detector: detectors.FailureDetector,
        evidence: evidences.SharedEvidence,
        handle_change: ChangeHandler | None,
        handle_evidence: EvidenceHandler | None,
    ) -> None:
        self._picture = picture
        self._estimator = estimator
        self._averages = averages
        self._own_openings = openings
        self._failure_detector = failure_detector
        self._evidence = evidence
        self._handle_change = handle_change
        self._handle_evidence = handle_evidence
        self.revision = 0
        self._updated_at = -_SECOND
        # Number of the update in a noting period.
        self._noting_turn = 0
        self.capacities_by_id: dict[model.UpstreamId, capacities.Capacity] = {}

    def update(
        self,
        entries: collections.abc.Iterable[directory.UpstreamEntry],
        now: datetime.timedelta,
    ) -> set[str] | None:
        """Take in the picture after a summary of the own data centre.

        A host that places one flow a second would miss most summaries if it
        only read them then. Summaries of other data centres are taken in
        with those of the own one, so that none counts several times.

        Returns the services that have upstreams; None if there is nothing
        new.

        Parameters
        ----------
        entries : iterable of UpstreamEntry
            All upstreams; those without work are not in the picture.
        now : datetime.timedelta
            Current time.
        """
        picture = self._picture
        if (
            picture.own_revision == self.revision
            or now - self._updated_at < _MIN_INTERVAL_SHARE * picture.interval
            or not picture.is_fresh(now)
        ):
            return None
        before, self._updated_at = self._updated_at, now
        self.revision = picture.own_revision
        if (age := picture.age(now)) is not None:
            self._own_openings.discard(now - age)
        self._update_evidence(now)
        interval = picture.interval / _SECOND
        loads_by_id = picture.loads(now)
        decay = load_averages.find_decay(before, now)
        update_estimate = self._estimator.update
        levels_by_id = self._averages.levels_by_id
        services_by_id: dict[str, str] = {}
        for entry in entries:
            upstream_id = entry.upstream_id
            services_by_id[upstream_id] = entry.service
            if not self._evidence.is_measurable(upstream_id):
                continue
            load = loads_by_id.get(upstream_id, service_table.IDLE)
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
                levels_by_id[upstream_id] = load_averages.Average(
                    float(level), now
                )
            elif average.updated_at == before:
                # Nearly all of them; see `Average.add`.
                average.value = level + (average.value - level) * decay
                average.updated_at = now
            else:
                average.add(level, now)
        for upstream_id in itertools.islice(
            services_by_id, self._noting_turn, None, _NOTING_PERIOD
        ):
            self._note_change(upstream_id, now)
        self._noting_turn = (self._noting_turn + 1) % _NOTING_PERIOD
        self._averages.update_demands(
            picture.summaries(now), services_by_id, now
        )
        return set(services_by_id.values())

    def _update_evidence(self, now: datetime.timedelta) -> None:
        """Take in the evidence; a recovery clears what this host suspects."""
        # Those of the last update exist.
        for change in self._evidence.update(
            self._picture.summaries(now), now, self._averages.levels_by_id
        ):
            if change.answered:
                self._failure_detector.record_answer(change.upstream_id)
            if self._handle_evidence is not None:
                self._handle_evidence(change)

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
