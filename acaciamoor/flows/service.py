"""Routing state of one service on one balancer."""

import array
import datetime

import numpy

from acaciamoor.flows import messages
from acaciamoor.flows import records as flow_records
from acaciamoor.model import address as addresses
from acaciamoor.model import identifiers
from acaciamoor.model import upstream as upstreams
from acaciamoor.views import buckets
from acaciamoor.views import history as histories
from acaciamoor.views import view as service_views

# Entry of a bucket whose default upstream differs between retained views, or
# that has no default upstream.
AMBIGUOUS = -1
_LOST = messages.Refuse(messages.RefusalReason.UPSTREAM_LOST)

_UpstreamKey = tuple[identifiers.UpstreamId, addresses.Address]


class ServiceFlows:
    """Views, default upstream tables and flow records of one service.

    The tables and records refer to upstreams by index. An index identifies a
    pair of upstream identifier and address, so that a record never routes to
    a different address.

    Attributes
    ----------
    agreed_defaults : array.array
        Upstream index by bucket on which all retained views agree, or
        `AMBIGUOUS`.
    active_defaults, base_defaults : array.array
        Upstream index by bucket in the active view and in the base view.
    decisions : list
        Decision by upstream index for packets to the upstream. It follows the
        newest view without an activation delay.
    unneeded_views : int
        Number of the oldest views that no local record needs, according to
        the last complete scan.
    scan_completed : bool
        Whether a scan was completed since the views last changed.
    epoch : int
        Number of changes of the views.
    """

    def __init__(self) -> None:
        self.history = histories.ViewHistory()
        self.records = flow_records.FlowRecords()
        self.agreed_defaults = array.array('h')
        self.active_defaults = array.array('h')
        self.base_defaults = array.array('h')
        self.decisions: list[messages.Decision] = []
        self.unneeded_views = 0
        self.scan_completed = False
        self.epoch = 0
        # Agreed defaults by the number of oldest views that are left out.
        self._agreed_defaults_without: list[numpy.ndarray] = []
        self._indexes_by_key: dict[_UpstreamKey, int] = {}
        self._indexes_by_id: dict[identifiers.UpstreamId, int] = {}
        self._upstream_ids: list[identifiers.UpstreamId] = []
        self._defaults_by_version: dict[
            service_views.ViewVersion, numpy.ndarray
        ] = {}
        self._tabulated_versions: tuple[service_views.ViewVersion, ...] = ()
        # Last candidates and their defaults. All services get the table of
        # before at once when an evacuation ends.
        self._last_defaults: tuple[
            tuple[upstreams.Upstream, ...], numpy.ndarray | None
        ] = ((), None)

    def add_view(
        self,
        view: service_views.ServiceView,
        age: datetime.timedelta,
        now: datetime.timedelta,
    ) -> bool:
        """Add a view to the history; return whether anything changed."""
        if not self.history.add(view, age, now):
            return False
        self._reset_scan()
        self.rebuild_tables(now)
        return True

    def update_tables(self, now: datetime.timedelta) -> None:
        """Rebuild all tables if the active or the base view has changed."""
        if self._active_and_base_versions(now) != self._tabulated_versions:
            self.rebuild_tables(now)

    def rebuild_tables(self, now: datetime.timedelta) -> None:
        """Compute all tables from the retained views."""
        views = [entry.view for entry in self.history.entries]
        defaults = {view.version: self._defaults_of(view) for view in views}
        self._defaults_by_version = defaults
        self._agreed_defaults_without = _agreed_defaults_by_start(
            list(defaults.values())
        )
        self.agreed_defaults = _to_array(self._agreed_defaults_without[0])
        self._tabulated_versions = active, base = (
            self._active_and_base_versions(now)
        )
        if len(views) == 1:
            self.active_defaults = self.base_defaults = self.agreed_defaults
        else:
            self.active_defaults = _to_array(defaults[active])
            self.base_defaults = _to_array(defaults[base])
        self._rebuild_decisions()

    def upstream_id(self, index: int) -> identifiers.UpstreamId:
        """Return the identifier of the upstream at `index`."""
        return self._upstream_ids[index]

    def index_of(self, upstream_id: identifiers.UpstreamId) -> int | None:
        """Return the index of an upstream, or None if it is unknown."""
        return self._indexes_by_id.get(upstream_id)

    def is_lost(self, index: int) -> bool:
        """Return whether packets to the upstream are refused."""
        return self.decisions[index] is _LOST

    def store_record(self, flow: int, index: int, expires: int) -> None:
        """Store a record.

        A record that is stored after the scan may need an old view, in which
        case the result of the scan is reset.
        """
        self.records.put(flow, index, expires)
        if self.unneeded_views:
            remaining = self._agreed_defaults_without[self.unneeded_views]
            if remaining[buckets.bucket_of(flow)] not in (AMBIGUOUS, index):
                self.unneeded_views = 0

    def drop_oldest(self, count: int, now: datetime.timedelta) -> None:
        """Drop the `count` oldest views."""
        for _ in range(count):
            self.history.drop_oldest()
        self._reset_scan()
        self.rebuild_tables(now)

    def drop_coalesced(self, limit: int, now: datetime.timedelta) -> None:
        """Drop coalesced views, which no host uses, down to `limit` views."""
        before = len(self.history)
        while len(self.history) > limit and self.history.drop_coalesced():
            pass
        if len(self.history) != before:
            self._reset_scan()
            self.rebuild_tables(now)

    def records_needing_oldest(
        self, count: int, flows: numpy.ndarray, indexes: numpy.ndarray
    ) -> numpy.ndarray:
        """Return a mask of the records that need the `count` oldest views.

        Without these views the flow of such a record would no longer be
        ambiguous, and hosts without the record would route it to a different
        upstream.
        """
        remaining = self._agreed_defaults_without[count][
            buckets.buckets_of(flows)
        ]
        return (remaining != AMBIGUOUS) & (remaining != indexes)

    def _reset_scan(self) -> None:
        self.unneeded_views = 0
        self.scan_completed = False
        self.epoch += 1

    def _active_and_base_versions(
        self, now: datetime.timedelta
    ) -> tuple[service_views.ViewVersion, ...]:
        return (
            self.history.active_view(now).version,
            self.history.base_view(now).version,
        )

    def _defaults_of(self, view: service_views.ServiceView) -> numpy.ndarray:
        known = self._defaults_by_version.get(view.version)
        if known is not None:
            return known
        for upstream in view.upstreams:
            self._register_upstream(upstream)
        candidates = view.candidates
        if not candidates:
            return numpy.full(
                buckets.BUCKET_COUNT, AMBIGUOUS, dtype=numpy.int16
            )
        if self._last_defaults[0] == candidates:
            return self._last_defaults[1]
        weights = buckets.candidate_weights(candidates)
        by_id = {item.upstream_id: item for item in candidates}
        indexes = numpy.array(
            [self._register_upstream(by_id[name]) for name, _ in weights],
            dtype=numpy.int16,
        )
        table = indexes[buckets.assign_buckets(weights)]
        self._last_defaults = (candidates, table)
        return table

    def _register_upstream(self, upstream: upstreams.Upstream) -> int:
        key = (upstream.upstream_id, upstream.address)
        index = self._indexes_by_key.setdefault(key, len(self._upstream_ids))
        if index == len(self._upstream_ids):
            self._upstream_ids.append(upstream.upstream_id)
        return index

    def _rebuild_decisions(self) -> None:
        newest = self.history.newest_view
        self.decisions = [_LOST] * len(self._upstream_ids)
        self._indexes_by_id = {
            name: index for index, name in enumerate(self._upstream_ids)
        }
        for upstream in newest.upstreams:
            index = self._register_upstream(upstream)
            self._indexes_by_id[upstream.upstream_id] = index
            if upstream.upstream_id not in newest.lost:
                self.decisions[index] = messages.ToUpstream(upstream)


def _agreed_defaults_by_start(
    defaults: list[numpy.ndarray],
) -> list[numpy.ndarray]:
    """Return, for each position, the agreed defaults of the later tables.

    The table at the position itself is included.
    """
    agreed = defaults[-1]
    agreements = [agreed]
    for table in reversed(defaults[:-1]):
        agreed = numpy.where(agreed == table, agreed, numpy.int16(AMBIGUOUS))
        agreements.append(agreed)
    return agreements[::-1]


def _to_array(table: numpy.ndarray) -> array.array:
    return array.array('h', table.tobytes())
