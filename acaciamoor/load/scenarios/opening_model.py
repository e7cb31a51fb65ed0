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
from acaciamoor import openings

SERVICE = 'order-board'
DATA_CENTRE = model.DataCentre('kgn-a')
SLOTS = 2
QUEUE_LIMIT = 8
# Callers get this answer in time or too late, in seconds.
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
RETRY_S = 0.05


class Chooser(typing.Protocol):
    """Chooses upstreams for the flows that a host opens."""

    def choose(self, host: int, now: float) -> str:
        """Return the upstream of a new flow."""

    def begin(self, host: int, upstream_id: str, now: float) -> None:
        """Note that a host passes a request on."""

    def end(self, host: int, upstream_id: str, now: float) -> None:
        """Note that a host sees the end of a request."""


def listed_upstreams(count: int) -> list[directory.ListedUpstream]:
    """Return the entries of the modelled upstreams."""
    return [
        directory.ListedUpstream(
            model.Upstream(
                model.UpstreamId(f'board-{number}'),
                DATA_CENTRE,
                model.Address('127.0.0.1', 9000 + number),
                slots=SLOTS,
            ),
            service=SERVICE,
            number=number + 1,
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


class RandomChoice:
    """Naive: any upstream."""

    def __init__(self, hosts: int, upstreams: int, seed: int) -> None:
        del hosts
        self._rng = random.Random(seed)
        self._ids = [item.upstream_id for item in listed_upstreams(upstreams)]

    def choose(self, host: int, now: float) -> str:
        """Return the upstream of a new flow."""
        return self._rng.choice(self._ids)

    def begin(self, host: int, upstream_id: str, now: float) -> None:
        """Note that a host passes a request on."""

    def end(self, host: int, upstream_id: str, now: float) -> None:
        """Note that a host sees the end of a request."""


class OwnLoad:
    """The product: each host counts the requests that pass it.

    Parameters
    ----------
    hosts, upstreams : int
        Sizes.
    seed : int
        Seed of ties.
    one_table : bool
        Whether all hosts count in one table, which no real hosts can.
    """

    def __init__(
        self, hosts: int, upstreams: int, seed: int, one_table: bool = False
    ) -> None:
        self._listed = listed_upstreams(upstreams)
        table = self.new_book(0)
        self.books = [
            table if one_table else self.new_book(host)
            for host in range(hosts)
        ]
        self._placers = [
            openings.OpeningPlacer(
                DATA_CENTRE,
                book,
                openings.Evidence(),
                random.Random(seed + host),
            )
            for host, book in enumerate(self.books)
        ]

    def new_book(self, host: int) -> openings.LoadBook:
        """Return the table of a host."""
        del host
        return openings.LoadBook()

    def choose(self, host: int, now: float) -> str:
        """Return the upstream of a new flow."""
        chosen = self._placers[host].choose(
            self._listed,
            directory.RequestKind.IDEMPOTENT,
            (),
            datetime.timedelta(seconds=now),
        )
        return chosen.upstream_id

    def begin(self, host: int, upstream_id: str, now: float) -> None:
        """Note that a host passes a request on."""
        self.books[host].begin(upstream_id, datetime.timedelta(seconds=now))

    def end(self, host: int, upstream_id: str, now: float) -> None:
        """Note that a host sees the end of a request."""
        self.books[host].end(upstream_id, datetime.timedelta(seconds=now))


class _SharedBook(openings.LoadBook):
    def __init__(self, host: int, owner: 'SharedLoad') -> None:
        super().__init__()
        self._host = host
        self._owner = owner

    def estimate(self, upstream_id, now: datetime.timedelta) -> float:
        own = super().estimate(upstream_id, now)
        return own + self._owner.elsewhere(self._host, upstream_id, now)


class SharedLoad(OwnLoad):
    """Baseline: hosts also tell each other their loads a few times a second.

    What a host hears is as old as the exchange, and all hosts hear the same.
    """

    interval = datetime.timedelta(milliseconds=200)

    def __init__(self, hosts: int, upstreams: int, seed: int) -> None:
        self._told_at = datetime.timedelta(0)
        self._told: list[dict[str, float]] = [{} for _ in range(hosts)]
        self._total: dict[str, float] = {}
        super().__init__(hosts, upstreams, seed)

    def new_book(self, host: int) -> openings.LoadBook:
        """Return the table of a host."""
        return _SharedBook(host, self)

    def elsewhere(
        self, host: int, upstream_id: str, now: datetime.timedelta
    ) -> float:
        """Return the load that the other hosts have told of."""
        if now - self._told_at >= self.interval:
            self._told_at = now
            self._exchange(now)
        own = self._told[host].get(upstream_id, 0.0)
        return self._total.get(upstream_id, 0.0) - own

    def _exchange(self, now: datetime.timedelta) -> None:
        ids = [item.upstream_id for item in self._listed]
        self._told = [
            {name: openings.LoadBook.estimate(book, name, now) for name in ids}
            for book in self.books
        ]
        self._total = {
            name: sum(told[name] for told in self._told) for name in ids
        }
