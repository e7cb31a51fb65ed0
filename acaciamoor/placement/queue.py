"""Work that waits for a slot."""

import collections
import collections.abc
import datetime
import heapq

from acaciamoor import model
from acaciamoor.placement import pending as pendings

_Lanes = dict[pendings.Lane, collections.deque[pendings.Pending]]


def _lanes() -> _Lanes:
    return {lane: collections.deque() for lane in pendings.Lane}


def _head(
    waiting: collections.deque[pendings.Pending],
) -> pendings.Pending | None:
    while waiting and not waiting[0].waiting:
        waiting.popleft()
    return waiting[0] if waiting else None


class WorkQueue:
    """Requests in order of arrival, apart for short and long work.

    A request of a flow with a home waits for that upstream. A request that
    an upstream refused, or that must not be bound yet, waits until its
    `not_before`.
    """

    def __init__(self) -> None:
        self._general = _lanes()
        self._lanes_by_home: dict[model.UpstreamId, _Lanes] = {}
        self._delayed: list[
            tuple[datetime.timedelta, int, pendings.Pending]
        ] = []
        self._retries: list[pendings.Pending] = []
        self._size = 0
        self._counts_by_lane = dict.fromkeys(pendings.Lane, 0)
        self._counts_by_home: collections.Counter[model.UpstreamId] = (
            collections.Counter()
        )

    def __len__(self) -> int:
        return self._size

    def count(self, lane: pendings.Lane) -> int:
        """Return the requests that wait in `lane`."""
        return self._counts_by_lane[lane]

    def count_home(self, upstream_id: model.UpstreamId) -> int:
        """Return the requests that wait for one upstream."""
        return self._counts_by_home[upstream_id]

    def push(self, item: pendings.Pending, now: datetime.timedelta) -> None:
        """Add a request."""
        item.waiting = True
        self._counts_by_lane[item.lane] += 1
        self._size += 1
        if item.home is not None:
            self._counts_by_home[item.home] += 1
        if item.not_before > now:
            heapq.heappush(self._delayed, (item.not_before, item.order, item))
        else:
            self._place(item)

    def discard(self, item: pendings.Pending) -> None:
        """Remove a request, wherever it waits."""
        if not item.waiting:
            return
        item.waiting = False
        self._counts_by_lane[item.lane] -= 1
        self._size -= 1
        if item.home is not None:
            self._counts_by_home[item.home] -= 1

    def release(self, now: datetime.timedelta) -> None:
        """Make the requests whose `not_before` has passed available."""
        while self._delayed and self._delayed[0][0] <= now:
            item = heapq.heappop(self._delayed)[2]
            if item.waiting:
                self._place(item)

    def take(
        self,
        upstream_id: model.UpstreamId,
        lanes: collections.abc.Iterable[pendings.Lane],
    ) -> pendings.Pending | None:
        """Remove and return the next request for an upstream.

        Parameters
        ----------
        upstream_id : UpstreamId
            The upstream that has a free slot.
        lanes : iterable of Lane
            Lanes that may be served, in order of preference.
        """
        for lane in lanes:
            item = self._pop(upstream_id, lane)
            if item is not None:
                self.discard(item)
                return item
        return None

    def set_home(self, item: pendings.Pending, home: model.UpstreamId) -> None:
        """Put a request that was just taken back, to wait for `home`."""
        item.home = home
        item.waiting = True
        self._counts_by_lane[item.lane] += 1
        self._size += 1
        self._counts_by_home[home] += 1
        self._place(item)

    def homes(self) -> list[model.UpstreamId]:
        """Return the upstreams that requests wait for."""
        return [home for home, count in self._counts_by_home.items() if count]

    def clear_home(self, upstream_id: model.UpstreamId) -> None:
        """Let the requests that wait for an upstream go to any."""
        self._counts_by_home.pop(upstream_id, None)
        moved = self._lanes_by_home.pop(upstream_id, {})
        for _, _, item in self._delayed:
            if item.home == upstream_id:
                item.home = None
        for lane, waiting in moved.items():
            for item in waiting:
                item.home = None
            merged = [*self._general[lane], *waiting]
            merged.sort(key=lambda item: item.order)
            self._general[lane] = collections.deque(merged)

    def items(self) -> list[pendings.Pending]:
        """Return all waiting requests in order of arrival."""
        found = [item for _, _, item in self._delayed]
        found += self._retries
        for lanes in (self._general, *self._lanes_by_home.values()):
            for waiting in lanes.values():
                found += waiting
        return sorted(
            (item for item in found if item.waiting),
            key=lambda item: item.order,
        )

    def _place(self, item: pendings.Pending) -> None:
        if item.shed_by:
            self._retries.append(item)
        elif item.home is None:
            self._general[item.lane].append(item)
        else:
            lanes = self._lanes_by_home.setdefault(item.home, _lanes())
            lanes[item.lane].append(item)

    def _pop(
        self, upstream_id: model.UpstreamId, lane: pendings.Lane
    ) -> pendings.Pending | None:
        retry = self._pop_retry(upstream_id, lane)
        if retry is not None:
            return retry
        general = self._general[lane]
        lanes = self._lanes_by_home.get(upstream_id)
        first, own = _head(general), _head(lanes[lane]) if lanes else None
        if own is None or (first and first.order < own.order):
            return general.popleft() if first else None
        return lanes[lane].popleft()

    def _pop_retry(
        self, upstream_id: model.UpstreamId, lane: pendings.Lane
    ) -> pendings.Pending | None:
        if not self._retries:
            return None
        self._retries = [item for item in self._retries if item.waiting]
        for index, item in enumerate(self._retries):
            if item.lane is lane and upstream_id not in item.shed_by:
                return self._retries.pop(index)
        return None
