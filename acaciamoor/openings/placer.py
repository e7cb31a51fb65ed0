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
    """

    remote_cost: float = 0.5
    remote_upload_cost: float = 4.0
    warm_up_capacity_factor: float = 0.6


class OpeningPlacer:
    """Selects the upstream with the least load relative to its capacity.

    Upstreams of the local data centre are preferred unless remote ones are
    clearly less loaded. Suspected upstreams rank last, but remain eligible,
    since the suspicion may be wrong.

    Parameters
    ----------
    data_centre : DataCentre
        Data centre of this host.
    load_tracker : LoadTracker
        Estimated load of each upstream.
    failure_detector : FailureDetector
        Tells which upstreams are suspected.
    random_source : random.Random
        Source of randomness for ties, so that hosts choose different
        upstreams.
    settings : PlacementSettings
        Cost parameters of the selection.
    """

    def __init__(
        self,
        data_centre: model.DataCentre,
        load_tracker: loads.LoadTracker,
        failure_detector: detectors.FailureDetector,
        random_source: random.Random,
        settings: PlacementSettings | None = None,
    ) -> None:
        self._data_centre = data_centre
        self._load_tracker = load_tracker
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
        best_rank = (True, True, 0.0, 0.0)
        for entry in candidates:
            upstream_id = entry.upstream_id
            rank = (
                upstream_id in excluded,
                self._failure_detector.is_suspected(upstream_id, now),
                self._cost(entry, kind, now),
                self._random.random(),
            )
            if best is None or rank < best_rank:
                best, best_rank = entry, rank
        return best

    def _cost(
        self,
        entry: directory.UpstreamEntry,
        kind: directory.RequestKind,
        now: datetime.timedelta,
    ) -> float:
        upstream = entry.upstream
        settings = self._settings
        capacity = float(max(1, upstream.slots))
        warm_at = self._warm_at_by_id.get(entry.upstream_id)
        if warm_at is not None:
            if now < warm_at:
                capacity *= settings.warm_up_capacity_factor
            else:
                del self._warm_at_by_id[entry.upstream_id]
        load = self._load_tracker.estimate(entry.upstream_id, now)
        cost = (load + 1.0) / capacity
        if upstream.data_centre != self._data_centre:
            if kind is directory.RequestKind.UPLOAD:
                cost += settings.remote_upload_cost
            else:
                cost += settings.remote_cost
        return cost
