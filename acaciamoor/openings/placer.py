"""Choice of the upstream for a new flow."""

import collections.abc
import datetime
import random

import msgspec

from acaciamoor import directory
from acaciamoor import model
from acaciamoor.openings import evidence as evidences
from acaciamoor.openings import load as loads

_NO_TIME = datetime.timedelta(0)


class PlacementSettings(msgspec.Struct, frozen=True):
    """Weights of the choice.

    Parameters
    ----------
    remote_cost : float
        Cost of leaving the data centre, in requests for each slot. Traffic
        between data centres is paid for by the byte.
    remote_upload_cost : float
        The same for uploads, which carry a hundred times as many bytes.
    cold_speed : float
        Speed of an upstream that has just started, relative to later.
    """

    remote_cost: float = 0.5
    remote_upload_cost: float = 4.0
    cold_speed: float = 0.6


class OpeningPlacer:
    """Chooses the upstream with the least load for its capacity.

    Upstreams of the own data centre come first as long as the others are not
    clearly less loaded. Upstreams under suspicion come last, but stay in the
    choice: a suspect is better than nothing.

    Parameters
    ----------
    data_centre : DataCentre
        Data centre of this host.
    book : LoadBook
        Load of each upstream.
    evidence : Evidence
        Upstreams under suspicion.
    random_source : random.Random
        Breaks ties, so that hosts do not all choose the same upstream.
    settings : PlacementSettings
        Weights of the choice.
    """

    def __init__(
        self,
        data_centre: model.DataCentre,
        book: loads.LoadBook,
        evidence: evidences.Evidence,
        random_source: random.Random,
        settings: PlacementSettings | None = None,
    ) -> None:
        self._data_centre = data_centre
        self._book = book
        self._evidence = evidence
        self._random = random_source
        self._settings = settings or PlacementSettings()
        self._warm_at_by_id: dict[model.UpstreamId, datetime.timedelta] = {}

    def note_warm_up(
        self,
        upstream_id: model.UpstreamId,
        warm_up: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Remember that an upstream is slow for another `warm_up`."""
        if warm_up > _NO_TIME:
            self._warm_at_by_id[upstream_id] = now + warm_up
        else:
            self._warm_at_by_id.pop(upstream_id, None)

    def choose(
        self,
        candidates: collections.abc.Sequence[directory.ListedUpstream],
        kind: directory.RequestKind,
        excluded: collections.abc.Container[model.UpstreamId],
        now: datetime.timedelta,
    ) -> directory.ListedUpstream | None:
        """Return the upstream for a new flow.

        Parameters
        ----------
        candidates : sequence of ListedUpstream
            Upstreams that take new flows of the service.
        kind : RequestKind
            What the flow carries.
        excluded : container of UpstreamId
            Upstreams that got earlier copies of the opening packet. They are
            chosen only if there is no other one.
        now : datetime.timedelta
            Present time.
        """
        best = None
        best_rank = (True, True, 0.0, 0.0)
        for listed in candidates:
            upstream_id = listed.upstream_id
            rank = (
                upstream_id in excluded,
                self._evidence.suspects(upstream_id, now),
                self._cost(listed, kind, now),
                self._random.random(),
            )
            if best is None or rank < best_rank:
                best, best_rank = listed, rank
        return best

    def _cost(
        self,
        listed: directory.ListedUpstream,
        kind: directory.RequestKind,
        now: datetime.timedelta,
    ) -> float:
        upstream = listed.upstream
        settings = self._settings
        capacity = float(max(1, upstream.slots))
        warm_at = self._warm_at_by_id.get(listed.upstream_id)
        if warm_at is not None:
            if now < warm_at:
                capacity *= settings.cold_speed
            else:
                del self._warm_at_by_id[listed.upstream_id]
        load = self._book.estimate(listed.upstream_id, now)
        cost = (load + 1.0) / capacity
        if upstream.data_centre != self._data_centre:
            if kind is directory.RequestKind.UPLOAD:
                cost += settings.remote_upload_cost
            else:
                cost += settings.remote_cost
        return cost
