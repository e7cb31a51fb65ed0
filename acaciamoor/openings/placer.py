"""Selection of an upstream for each new flow."""

import collections.abc
import datetime
import random

import msgspec

from acaciamoor import directory
from acaciamoor import model
from acaciamoor.openings import failure_detector as detectors
from acaciamoor.openings import load as loads

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
    """

    remote_cost: float = 0.5
    remote_upload_cost: float = 4.0
    warm_up_capacity_factor: float = 0.6
    tie_noise: float = 0.1
    spill_over_load: float = 0.6
    upload_spill_over_load: float = 0.8


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

    Attributes
    ----------
    local_hosts : int
        Hosts of the data centre that receive packets.
    """

    def __init__(
        self,
        data_centre: model.DataCentre,
        load_tracker: loads.LoadTracker,
        demand_tracker: loads.DemandTracker,
        failure_detector: detectors.FailureDetector,
        random_source: random.Random,
        settings: PlacementSettings | None = None,
    ) -> None:
        self._data_centre = data_centre
        self.local_hosts = 1
        self._load_tracker = load_tracker
        self._demand_tracker = demand_tracker
        self._failure_detector = failure_detector
        self._random = random_source
        self._settings = settings or PlacementSettings()
        self._warm_at_by_id: dict[model.UpstreamId, datetime.timedelta] = {}

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

    def choose(
        self,
        candidates: collections.abc.Sequence[directory.UpstreamEntry],
        kind: directory.RequestKind,
        excluded: collections.abc.Container[model.UpstreamId],
        now: datetime.timedelta,
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
        """
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
        warm_at = self._warm_at_by_id.get(entry.upstream_id)
        if warm_at is not None:
            if now < warm_at:
                return capacity * self._settings.warm_up_capacity_factor
            del self._warm_at_by_id[entry.upstream_id]
        return capacity

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
