"""Hosts that place flows at a crest, on virtual time.

The model has upstreams with slots and a short queue, callers with flows of one
request and of several, and hosts that each see their own part of the load. A
request that an upstream sheds is sent again on another flow, as callers do.
"""

import collections
import dataclasses
import datetime
import heapq
import itertools
import math
import random
import typing

from acaciamoor import directory
from acaciamoor import model

SERVICE = 'order-board'
DATA_CENTRE = model.DataCentre('kgn-a')
# Sizes of upstreams and kinds of requests are those of the users' small sites.
SLOTS = 2
QUEUE_LIMIT = 8
# Time within which callers expect an answer, in seconds.
GOAL_S = 0.15
# Work of a request: log-normal with this mean, and a few stragglers.
WORK_MEAN_S = 0.026
WORK_SPREAD = 0.5
STRAGGLER_SHARE = 0.03
STRAGGLER_FACTOR = 7
# Three of four requests belong to flows with several requests and pauses.
LONG_SHARE = 0.73
LONG_REQUESTS = 7
PAUSE_S = 0.6
ATTEMPTS = 3
# Longest wait before another attempt, in seconds.
RETRY_S = 0.05


class Chooser(typing.Protocol):
    """Chooses upstreams for the flows that a host opens."""

    def choose(self, host: int, now: float) -> str:
        """Return the upstream of a new flow."""

    def begin(self, host: int, upstream_id: str, now: float) -> None:
        """Note that a host passes a request on."""

    def end(self, host: int, upstream_id: str, now: float) -> None:
        """Note that a host sees the end of a request."""


def listed_upstreams(count: int) -> list[directory.UpstreamEntry]:
    """Return the entries of the modelled upstreams."""
    return [
        directory.UpstreamEntry(
            model.Upstream(
                model.UpstreamId(f'board-{number}'),
                DATA_CENTRE,
                model.Address('127.0.0.1', 9000 + number),
                slots=SLOTS,
            ),
            service=SERVICE,
            wire_id=number + 1,
            revision=1,
        )
        for number in range(count)
    ]


@dataclasses.dataclass(slots=True)
class _Request:
    host: int
    upstream_id: str
    asked_at: float
    # Requests of the flow that are still to come, this one included.
    left: int
    attempt: int = 1


@dataclasses.dataclass(slots=True)
class _Upstream:
    busy: int = 0
    queue: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )


class Crest:
    """One run of the model.

    Parameters
    ----------
    chooser : Chooser
        Choice of upstreams.
    hosts, upstreams : int
        Sizes.
    rate : float
        Requests a second.
    seed : int
        Seed of arrivals and work.
    """

    def __init__(
        self,
        chooser: Chooser,
        hosts: int,
        upstreams: int,
        rate: float,
        seed: int,
    ) -> None:
        self._chooser = chooser
        self._hosts = hosts
        self._rate = rate
        self._rng = random.Random(seed)
        self._upstreams_by_id = {
            item.upstream_id: _Upstream()
            for item in listed_upstreams(upstreams)
        }
        self._events: list = []
        self._order = itertools.count()
        self.asked = 0
        self.in_time = 0

    def run(self, duration: datetime.timedelta) -> float:
        """Return the share of requests that were answered in time."""
        end = duration.total_seconds()
        self._at(0.0, self._arrive)
        while self._events and self._events[0][0] <= end:
            now, _, call, arguments = heapq.heappop(self._events)
            call(now, *arguments)
        return self.in_time / self.asked

    def _at(self, when: float, call, *arguments) -> None:
        event = (when, next(self._order), call, arguments)
        heapq.heappush(self._events, event)

    def _arrive(self, now: float) -> None:
        short = (1 - LONG_SHARE) * self._rate
        long = LONG_SHARE * self._rate / LONG_REQUESTS
        self._at(now + self._rng.expovariate(short + long), self._arrive)
        is_long = self._rng.random() < long / (short + long)
        self._open(now, LONG_REQUESTS if is_long else 1)

    def _open(self, now: float, left: int) -> None:
        self.asked += 1
        self._send(now, _Request(0, '', now, left), moves=True)

    def _ask_again(self, now: float, request: _Request) -> None:
        self.asked += 1
        request.asked_at, request.attempt = now, 1
        self._send(now, request, moves=False)

    def _send(self, now: float, request: _Request, moves: bool) -> None:
        if moves:
            request.host = self._rng.randrange(self._hosts)
            request.upstream_id = self._chooser.choose(request.host, now)
        self._chooser.begin(request.host, request.upstream_id, now)
        upstream = self._upstreams_by_id[request.upstream_id]
        if upstream.busy < SLOTS:
            self._work(now, upstream, request)
        elif len(upstream.queue) < QUEUE_LIMIT:
            upstream.queue.append(request)
        else:
            self._shed(now, request)

    def _shed(self, now: float, request: _Request) -> None:
        self._chooser.end(request.host, request.upstream_id, now)
        if request.attempt < ATTEMPTS:
            request.attempt += 1
            wait = RETRY_S * self._rng.random()
            self._at(now + wait, self._send, request, True)
        elif request.left > 1:
            self._at(now + self._pause(), self._open, request.left - 1)

    def _work(
        self, now: float, upstream: _Upstream, request: _Request
    ) -> None:
        upstream.busy += 1
        self._at(now + self._work_time(), self._answer, upstream, request)

    def _answer(
        self, now: float, upstream: _Upstream, request: _Request
    ) -> None:
        upstream.busy -= 1
        if upstream.queue:
            self._work(now, upstream, upstream.queue.popleft())
        self._chooser.end(request.host, request.upstream_id, now)
        self.in_time += now - request.asked_at <= GOAL_S
        if request.left > 1:
            request.left -= 1
            self._at(now + self._pause(), self._ask_again, request)

    def _pause(self) -> float:
        return self._rng.expovariate(1 / PAUSE_S)

    def _work_time(self) -> float:
        location = math.log(WORK_MEAN_S) - WORK_SPREAD**2 / 2
        seconds = self._rng.lognormvariate(location, WORK_SPREAD)
        if self._rng.random() < STRAGGLER_SHARE:
            seconds *= STRAGGLER_FACTOR
        return seconds
