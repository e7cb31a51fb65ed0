"""What one balancer knows about the flows of one service."""

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

# Entry of a bucket whose default differs between the retained views.
EXCEPTION = -1
_LOST = messages.Refuse(messages.RefusalReason.UPSTREAM_LOST)

_UpstreamKey = tuple[identifiers.UpstreamId, addresses.Address]


class ServiceFlows:
    """Views, default tables and records of one service.

    Upstreams have small indexes here. An index stands for an identifier and
    its address, so a record never leads to another address.

    Attributes
    ----------
    agreed : array.array
        For each bucket the upstream index that all retained views choose, or
        `EXCEPTION`.
    decisions : list
        For each upstream index, what happens with its packets: the newest
        view decides, without an activation delay.
    unneeded : int
        Number of the oldest views that no record here needs, as far as a
        complete scan has found.
    scanned : bool
        Whether a scan was completed since the views last changed.
    epoch : int
        Number of changes of the views.
    """

    def __init__(self) -> None:
        self.history = histories.ViewHistory()
        self.records = flow_records.FlowRecords()
        self.agreed = array.array('h')
        self.active = array.array('h')
        self.base = array.array('h')
        self.decisions: list[messages.Decision] = []
        self.unneeded = 0
        self.scanned = False
        self.epoch = 0
        # For each number of oldest views, the agreement without them.
        self._agreed_without: list[numpy.ndarray] = []
        self._indexes_by_key: dict[_UpstreamKey, int] = {}
        self._indexes_by_id: dict[identifiers.UpstreamId, int] = {}
        self._ids: list[identifiers.UpstreamId] = []
        self._defaults_by_version: dict[
            service_views.ViewVersion, numpy.ndarray
        ] = {}
        self._in_force: tuple[service_views.ViewVersion, ...] = ()

    def add_view(
        self,
        view: service_views.ServiceView,
        age: datetime.timedelta,
        now: datetime.timedelta,
    ) -> bool:
        """Take in a view; return whether anything changed."""
        if not self.history.add(view, age, now):
            return False
        self._forget_scan()
        self.rebuild(now)
        return True

    def advance(self, now: datetime.timedelta) -> None:
        """Let pending views take effect that are due."""
        if self._versions_in_force(now) != self._in_force:
            self.rebuild(now)

    def rebuild(self, now: datetime.timedelta) -> None:
        """Compute all tables from the views."""
        views = [entry.view for entry in self.history.entries]
        defaults = {view.version: self._defaults_of(view) for view in views}
        self._defaults_by_version = defaults
        self._agreed_without = _agreements(list(defaults.values()))
        self.agreed = _to_array(self._agreed_without[0])
        self._in_force = active, base = self._versions_in_force(now)
        if len(views) == 1:
            self.active = self.base = self.agreed
        else:
            self.active = _to_array(defaults[active])
            self.base = _to_array(defaults[base])
        self._decide()

    def upstream_id(self, index: int) -> identifiers.UpstreamId:
        """Return the identifier of an upstream."""
        return self._ids[index]

    def index_of(self, upstream_id: identifiers.UpstreamId) -> int | None:
        """Return the index of an upstream, or None if it is unknown."""
        return self._indexes_by_id.get(upstream_id)

    def is_lost(self, index: int) -> bool:
        """Return whether packets to the upstream are refused."""
        return self.decisions[index] is _LOST

    def store(self, flow: int, index: int, expires: int) -> None:
        """Store a record.

        A record that arrives after the scan may need an old view.
        """
        self.records.put(flow, index, expires)
        if self.unneeded:
            remaining = self._agreed_without[self.unneeded]
            if remaining[buckets.bucket_of(flow)] not in (EXCEPTION, index):
                self.unneeded = 0

    def drop_oldest(self, count: int, now: datetime.timedelta) -> None:
        """Forget the oldest views."""
        for _ in range(count):
            self.history.drop_oldest()
        self._forget_scan()
        self.rebuild(now)

    def drop_merged(self, limit: int, now: datetime.timedelta) -> None:
        """Forget views that no host used while there are over `limit`."""
        before = len(self.history)
        while len(self.history) > limit and self.history.drop_merged():
            pass
        if len(self.history) != before:
            self._forget_scan()
            self.rebuild(now)

    def contradicted(
        self, count: int, flows: numpy.ndarray, indexes: numpy.ndarray
    ) -> numpy.ndarray:
        """Return which records need one of the `count` oldest views.

        Without them such a flow would not be an exception, and every host
        would send it to another upstream.
        """
        remaining = self._agreed_without[count][buckets.buckets_of(flows)]
        return (remaining != EXCEPTION) & (remaining != indexes)

    def _forget_scan(self) -> None:
        self.unneeded = 0
        self.scanned = False
        self.epoch += 1

    def _versions_in_force(
        self, now: datetime.timedelta
    ) -> tuple[service_views.ViewVersion, ...]:
        return (
            self.history.active(now).version,
            self.history.base(now).version,
        )

    def _defaults_of(self, view: service_views.ServiceView) -> numpy.ndarray:
        known = self._defaults_by_version.get(view.version)
        if known is not None:
            return known
        for upstream in view.upstreams:
            self._register(upstream)
        shares = buckets.shares_of(view.candidates)
        if not shares:
            return numpy.full(buckets.BUCKETS, EXCEPTION, dtype=numpy.int16)
        by_id = {item.upstream_id: item for item in view.candidates}
        indexes = numpy.array(
            [self._register(by_id[name]) for name, _ in shares],
            dtype=numpy.int16,
        )
        return indexes[buckets.choose_all(shares)]

    def _register(self, upstream: upstreams.Upstream) -> int:
        key = (upstream.upstream_id, upstream.address)
        index = self._indexes_by_key.setdefault(key, len(self._ids))
        if index == len(self._ids):
            self._ids.append(upstream.upstream_id)
        return index

    def _decide(self) -> None:
        newest = self.history.newest
        self.decisions = [_LOST] * len(self._ids)
        self._indexes_by_id = {
            name: index for index, name in enumerate(self._ids)
        }
        for upstream in newest.upstreams:
            index = self._register(upstream)
            self._indexes_by_id[upstream.upstream_id] = index
            if upstream.upstream_id not in newest.lost:
                self.decisions[index] = messages.ToUpstream(upstream)


def _agreements(defaults: list[numpy.ndarray]) -> list[numpy.ndarray]:
    """Return for each position the agreement of the tables from there on."""
    agreed = defaults[-1]
    agreements = [agreed]
    for table in reversed(defaults[:-1]):
        agreed = numpy.where(agreed == table, agreed, numpy.int16(EXCEPTION))
        agreements.append(agreed)
    return agreements[::-1]


def _to_array(table: numpy.ndarray) -> array.array:
    return array.array('h', table.tobytes())
