"""Selection of an upstream for each new flow."""

import collections.abc
import datetime
import random

import msgspec

from acaciamoor import capacity as capacities
from acaciamoor import directory
from acaciamoor import evidence as evidences
from acaciamoor import load_reports
from acaciamoor import model
from acaciamoor.openings import failure_detector as detectors
from acaciamoor.openings import load as loads
from acaciamoor.openings import picture_intake
from acaciamoor.openings import shared_load

_ZERO = datetime.timedelta(0)


class PlacementSettings(msgspec.Struct, frozen=True):
    """Cost parameters of the selection.

    Parameters
    ----------
    remote_cost : float
        Cost of an upstream in another data centre, in requests per slot.
        Traffic between data centres is billed by volume.
    remote_upload_cost : float
        The same for uploads, which carry about 100 times as many bytes.
    warm_up_capacity_factor : float
        Capacity of an upstream during warm-up, relative to its full capacity.
    tie_noise : float
        Mean of a random number that is added to the number of requests. Among
        upstreams that look idle, it makes the choice proportional to their
        capacity; it is small against differences that a host can observe.
    spill_over_load : float
        Demand of the callers of the data centre for each local slot above
        which a share of the new flows goes elsewhere.
    upload_spill_over_load : float
        The same for uploads.
    evidence : EvidenceSettings
        Thresholds of the evidence that hosts share.
    """

    remote_cost: float = 0.5
    remote_upload_cost: float = 4.0
    warm_up_capacity_factor: float = 0.6
    tie_noise: float = 0.1
    spill_over_load: float = 0.6
    upload_spill_over_load: float = 0.8
    evidence: evidences.EvidenceSettings = evidences.EvidenceSettings()


class OpeningPlacer:
    """Selects the upstream with the least load relative to its capacity.

    Upstreams of the local data centre are preferred unless remote ones are
    clearly less loaded, or the callers of the data centre need more than its
    capacity. Suspected upstreams rank last, but remain eligible, since the
    suspicion may be wrong.

    A host among hundreds sees so few requests that the loads of upstreams look
    alike to it. The fabric spreads flows evenly over the hosts of a data
    centre, so the demand of its callers is about the number of hosts times
    what this one sees, whichever upstreams serve it.

    While the picture of the load that hosts share is fresh, the choice uses it
    instead; see `shared_load`.

    Parameters
    ----------
    data_centre : DataCentre
        Data centre of this host.
    load_tracker : LoadTracker
        Estimated load of each upstream.
    demand_tracker : DemandTracker
        Demand for each service, as this host sees it.
    failure_detector : FailureDetector
        Tells which upstreams are suspected.
    random_source : random.Random
        Source of randomness for ties, so that hosts choose different
        upstreams.
    settings : PlacementSettings
        Cost parameters of the selection.
    picture : LoadPicture or None
        Load that all hosts share; None if they do not.
    handle_change : callable or None
        Called when the measured rate of an upstream has changed by more than
        a factor of two.
    handle_evidence : callable or None
        Called when hosts begin or cease to avoid an upstream together.

    Attributes
    ----------
    local_hosts : int
        Hosts of the data centre that receive packets.
    estimator : CapacityEstimator
        Measured capacity of upstreams; empty without a picture.
    """

    def __init__(
        self,
        data_centre: model.DataCentre,
        load_tracker: loads.LoadTracker,
        demand_tracker: loads.DemandTracker,
        failure_detector: detectors.FailureDetector,
        random_source: random.Random,
        settings: PlacementSettings | None = None,
        picture: load_reports.LoadPicture | None = None,
        handle_change: picture_intake.ChangeHandler | None = None,
        handle_evidence: picture_intake.EvidenceHandler | None = None,
    ) -> None:
        self._data_centre = data_centre
        self.local_hosts = 1
        self._load_tracker = load_tracker
        self._demand_tracker = demand_tracker
        self._failure_detector = failure_detector
        self._random = random_source
        self._settings = settings = settings or PlacementSettings()
        usual_costs = shared_load.SharedCosts(
            settings.remote_cost, settings.spill_over_load
        )
        self._shared_costs = dict.fromkeys(directory.RequestKind, usual_costs)
        self._shared_costs[directory.RequestKind.UPLOAD] = (
            shared_load.SharedCosts(
                settings.remote_upload_cost, settings.upload_spill_over_load
            )
        )
        self._warm_at_by_id: dict[model.UpstreamId, datetime.timedelta] = {}
        self.estimator = capacities.CapacityEstimator()
        self._shared: shared_load.SharedLoadChoice | None = None
        if picture is not None:
            self._shared = shared_load.SharedLoadChoice(
                data_centre,
                picture,
                self.estimator,
                failure_detector,
                evidences.SharedEvidence(data_centre, settings.evidence),
                load_tracker,
                self._capacity_factor,
                random_source,
                handle_change,
                handle_evidence,
            )

    @property
    def capacities_by_id(
        self,
    ) -> collections.abc.Mapping[model.UpstreamId, capacities.Capacity]:
        """Measured capacity of the upstreams in the picture."""
        return {} if self._shared is None else self._shared.capacities_by_id

    def find_verdicts(
        self, now: datetime.timedelta
    ) -> collections.abc.Mapping[model.UpstreamId, evidences.Verdict]:
        """Return what shared evidence says of upstreams that fail."""
        shared = self._shared
        if shared is None or not shared.is_fresh(now):
            return {}
        return shared.evidence.verdicts_by_id

    def set_warm_up(
        self,
        upstream_id: model.UpstreamId,
        warm_up: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Record that an upstream warms up for another `warm_up`."""
        if warm_up > _ZERO:
            self._warm_at_by_id[upstream_id] = now + warm_up
        else:
            self._warm_at_by_id.pop(upstream_id, None)

    def forget(self, upstream_id: model.UpstreamId) -> None:
        """Remove the warm-up of an upstream that no longer exists."""
        self._warm_at_by_id.pop(upstream_id, None)
        if self._shared is not None:
            self._shared.forget(upstream_id)

    def update_load(
        self,
        entries: collections.abc.Iterable[directory.UpstreamEntry],
        now: datetime.timedelta,
    ) -> None:
        """Take in the load that hosts share, if there is a new summary.

        Parameters
        ----------
        entries : iterable of UpstreamEntry
            All upstreams.
        now : datetime.timedelta
            Current time.
        """
        if self._shared is not None:
            self._shared.update(entries, now)

    def choose(
        self,
        candidates: collections.abc.Sequence[directory.UpstreamEntry],
        kind: directory.RequestKind,
        excluded: collections.abc.Container[model.UpstreamId],
        now: datetime.timedelta,
        max_flows: int = 0,
    ) -> directory.UpstreamEntry | None:
        """Return the upstream for a new flow; None without candidates.

        Parameters
        ----------
        candidates : sequence of UpstreamEntry
            Upstreams of the service that accept new flows.
        kind : RequestKind
            Kind of the requests that the flow carries.
        excluded : container of UpstreamId
            Upstreams that were already tried for the flow. They are chosen
            only if there is no other candidate.
        now : datetime.timedelta
            Current time.
        max_flows : int
            Open flows that an upstream of the service holds; none is opened
            at one that has as many. 0 if no limit is set.
        """
        shared = self._shared
        if shared is None or not shared.is_fresh(now):
            return self._choose_alone(
                self._below(candidates, max_flows), kind, excluded, now
            )
        if not candidates:
            return None
        chosen = shared.choose(
            candidates, self._shared_costs[kind], excluded, max_flows, now
        )
        if chosen is None:
            # Only those are left that were tried or that are suspected.
            if max_flows:
                candidates = [
                    entry
                    for entry in candidates
                    if not shared.is_full(entry.upstream_id, max_flows, now)
                ]
            chosen = self._choose_alone(candidates, kind, excluded, now)
        if chosen is not None:
            shared.record_opening(chosen.upstream_id, now)
        return chosen

    def _below(
        self,
        candidates: collections.abc.Sequence[directory.UpstreamEntry],
        max_flows: int,
    ) -> collections.abc.Sequence[directory.UpstreamEntry]:
        """Return the candidates below the limit, as far as this host knows.

        The fabric spreads flows evenly, so the other hosts have about as many
        flows at an upstream as this one.
        """
        if not max_flows:
            return candidates
        count_flows = self._load_tracker.count_flows
        return [
            entry
            for entry in candidates
            if count_flows(entry.upstream_id) * self.local_hosts < max_flows
        ]

    def _choose_alone(
        self,
        candidates: collections.abc.Sequence[directory.UpstreamEntry],
        kind: directory.RequestKind,
        excluded: collections.abc.Container[model.UpstreamId],
        now: datetime.timedelta,
    ) -> directory.UpstreamEntry | None:
        """Return the upstream with the least load that this host sees."""
        best = None
        best_rank = (True, True, True, 0.0)
        elsewhere = self._spills_over(candidates, kind, now)
        for entry in candidates:
            upstream_id = entry.upstream_id
            rank = (
                upstream_id in excluded,
                self._failure_detector.is_suspected(upstream_id, now),
                elsewhere and self._is_local(entry),
                self._cost(entry, kind, now),
            )
            if best is None or rank < best_rank:
                best, best_rank = entry, rank
        return best

    def _spills_over(
        self,
        candidates: collections.abc.Sequence[directory.UpstreamEntry],
        kind: directory.RequestKind,
        now: datetime.timedelta,
    ) -> bool:
        """Decide whether a new flow goes to another data centre.

        The share of such flows is the part of the demand that exceeds the
        local capacity, and at most the share of the capacity elsewhere.
        """
        if not candidates:
            return False
        settings = self._settings
        limit = settings.spill_over_load
        if kind is directory.RequestKind.UPLOAD:
            limit = settings.upload_spill_over_load
        demand = self.local_hosts * self._demand_tracker.estimate(
            candidates[0].service, now
        )
        if demand <= limit:
            # Less than a single slot can take.
            return False
        total = local = 0.0
        for entry in candidates:
            capacity = self._capacity(entry, now)
            total += capacity
            if self._is_local(entry) and not (
                self._failure_detector.is_suspected(entry.upstream_id, now)
            ):
                local += capacity
        share = min(1.0 - limit * local / demand, 1.0 - local / total)
        return share > 0.0 and self._random.random() < share

    def _is_local(self, entry: directory.UpstreamEntry) -> bool:
        return entry.upstream.data_centre == self._data_centre

    def _capacity(
        self, entry: directory.UpstreamEntry, now: datetime.timedelta
    ) -> float:
        capacity = float(max(1, entry.upstream.slots))
        return capacity * self._capacity_factor(entry.upstream_id, now)

    def _capacity_factor(
        self, upstream_id: model.UpstreamId, now: datetime.timedelta
    ) -> float:
        warm_at = self._warm_at_by_id.get(upstream_id)
        if warm_at is not None:
            if now < warm_at:
                return self._settings.warm_up_capacity_factor
            del self._warm_at_by_id[upstream_id]
        return 1.0

    def _cost(
        self,
        entry: directory.UpstreamEntry,
        kind: directory.RequestKind,
        now: datetime.timedelta,
    ) -> float:
        settings = self._settings
        load = self._load_tracker.estimate(entry.upstream_id, now)
        load += settings.tie_noise * self._random.expovariate(1.0)
        cost = load / self._capacity(entry, now)
        if not self._is_local(entry):
            if kind is directory.RequestKind.UPLOAD:
                cost += settings.remote_upload_cost
            else:
                cost += settings.remote_cost
        return cost
