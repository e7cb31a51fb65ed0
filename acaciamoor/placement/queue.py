"""Queue of requests that wait for a slot."""

import collections
import collections.abc
import datetime
import heapq

from acaciamoor import model
from acaciamoor.placement import active_request

_Lanes = dict[
    active_request.Lane, collections.deque[active_request.ActiveRequest]
]


def _empty_lanes() -> _Lanes:
    return {lane: collections.deque() for lane in active_request.Lane}


def _first_waiting(
    waiting: collections.deque[active_request.ActiveRequest],
) -> active_request.ActiveRequest | None:
    while waiting and not waiting[0].waiting:
        waiting.popleft()
    return waiting[0] if waiting else None


class RequestQueue:
    """Requests in order of arrival, with a lane each for short and long ones.

    A request whose flow is pinned to an upstream waits for that upstream. A
    request whose `not_before` is in the future, such as a delayed retry,
    cannot be popped before that time.
    """

    def __init__(self) -> None:
        self._unpinned = _empty_lanes()
        self._lanes_by_upstream: dict[model.UpstreamId, _Lanes] = {}
        self._delayed: list[
            tuple[datetime.timedelta, int, active_request.ActiveRequest]
        ] = []
        self._retries: list[active_request.ActiveRequest] = []
        self._size = 0
        self._counts_by_lane = dict.fromkeys(active_request.Lane, 0)
        self._counts_by_upstream: collections.Counter[model.UpstreamId] = (
            collections.Counter()
        )

    def __len__(self) -> int:
        return self._size

    def count(self, lane: active_request.Lane) -> int:
        """Return the number of requests that wait in `lane`."""
        return self._counts_by_lane[lane]

    def count_pinned(self, upstream_id: model.UpstreamId) -> int:
        """Return the number of requests that wait for one upstream."""
        return self._counts_by_upstream[upstream_id]

    def push(
        self, request: active_request.ActiveRequest, now: datetime.timedelta
    ) -> None:
        """Add a request, to be popped no earlier than its `not_before`."""
        request.waiting = True
        self._counts_by_lane[request.lane] += 1
        self._size += 1
        if request.pinned_id is not None:
            self._counts_by_upstream[request.pinned_id] += 1
        if request.not_before > now:
            heapq.heappush(
                self._delayed, (request.not_before, request.order, request)
            )
        else:
            self._append(request)

    def discard(self, request: active_request.ActiveRequest) -> None:
        """Remove a request, if it is queued."""
        if not request.waiting:
            return
        request.waiting = False
        self._counts_by_lane[request.lane] -= 1
        self._size -= 1
        if request.pinned_id is not None:
            self._counts_by_upstream[request.pinned_id] -= 1

    def activate_due(self, now: datetime.timedelta) -> None:
        """Make requests whose `not_before` has passed ready to be popped."""
        while self._delayed and self._delayed[0][0] <= now:
            request = heapq.heappop(self._delayed)[2]
            if request.waiting:
                self._append(request)

    def pop_next(
        self,
        upstream_id: model.UpstreamId,
        lanes: collections.abc.Iterable[active_request.Lane],
    ) -> active_request.ActiveRequest | None:
        """Remove and return the next request for an upstream.

        Parameters
        ----------
        upstream_id : UpstreamId
            The upstream that has a free slot.
        lanes : iterable of Lane
            Lanes that may be served, highest priority first.

        Returns
        -------
        ActiveRequest or None
            The request; None if none of these lanes has one.
        """
        for lane in lanes:
            request = self._pop(upstream_id, lane)
            if request is not None:
                self.discard(request)
                return request
        return None

    def requeue_pinned(
        self,
        request: active_request.ActiveRequest,
        upstream_id: model.UpstreamId,
    ) -> None:
        """Put a popped request back, to wait for one upstream."""
        request.pinned_id = upstream_id
        request.waiting = True
        self._counts_by_lane[request.lane] += 1
        self._size += 1
        self._counts_by_upstream[upstream_id] += 1
        self._append(request)

    def pinned_upstreams(self) -> list[model.UpstreamId]:
        """Return the upstreams that at least one request waits for."""
        return [
            upstream_id
            for upstream_id, count in self._counts_by_upstream.items()
            if count
        ]

    def unpin(self, upstream_id: model.UpstreamId) -> None:
        """Let the requests that wait for one upstream run on any other."""
        self._counts_by_upstream.pop(upstream_id, None)
        moved = self._lanes_by_upstream.pop(upstream_id, {})
        for _, _, request in self._delayed:
            if request.pinned_id == upstream_id:
                request.pinned_id = None
        for lane, waiting in moved.items():
            for request in waiting:
                request.pinned_id = None
            merged = [*self._unpinned[lane], *waiting]
            merged.sort(key=lambda request: request.order)
            self._unpinned[lane] = collections.deque(merged)

    def waiting_requests(self) -> list[active_request.ActiveRequest]:
        """Return all queued requests in order of arrival."""
        found = [request for _, _, request in self._delayed]
        found += self._retries
        for lanes in (self._unpinned, *self._lanes_by_upstream.values()):
            for waiting in lanes.values():
                found += waiting
        return sorted(
            (request for request in found if request.waiting),
            key=lambda request: request.order,
        )

    def _append(self, request: active_request.ActiveRequest) -> None:
        if request.shed_by:
            self._retries.append(request)
        elif request.pinned_id is None:
            self._unpinned[request.lane].append(request)
        else:
            lanes = self._lanes_by_upstream.setdefault(
                request.pinned_id, _empty_lanes()
            )
            lanes[request.lane].append(request)

    def _pop(
        self, upstream_id: model.UpstreamId, lane: active_request.Lane
    ) -> active_request.ActiveRequest | None:
        retry = self._pop_retry(upstream_id, lane)
        if retry is not None:
            return retry
        unpinned = self._unpinned[lane]
        lanes = self._lanes_by_upstream.get(upstream_id)
        first_unpinned, first_pinned = (
            _first_waiting(unpinned),
            _first_waiting(lanes[lane]) if lanes else None,
        )
        if first_pinned is None or (
            first_unpinned and first_unpinned.order < first_pinned.order
        ):
            return unpinned.popleft() if first_unpinned else None
        return lanes[lane].popleft()

    def _pop_retry(
        self, upstream_id: model.UpstreamId, lane: active_request.Lane
    ) -> active_request.ActiveRequest | None:
        if not self._retries:
            return None
        self._retries = [
            request for request in self._retries if request.waiting
        ]
        for index, request in enumerate(self._retries):
            if request.lane is lane and upstream_id not in request.shed_by:
                return self._retries.pop(index)
        return None
