"""Queueing model of hosts that place flows at peak demand, on virtual time.

Upstreams have slots and a short queue. Callers open flows with one or several
requests. Each host observes only the requests that it forwards. Like real
callers, those of the model retry a shed request on another flow.
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
# Upstreams and requests are modelled on the small sites of the users.
SLOTS = 2
QUEUE_LIMIT = 8
# Time within which callers expect an answer, in seconds.
ANSWER_GOAL_S = 0.15
# Run times are log-normal with this mean; those of stragglers are multiplied.
RUN_TIME_MEAN_S = 0.026
RUN_TIME_SIGMA = 0.5
STRAGGLER_SHARE = 0.03
STRAGGLER_FACTOR = 7
# Three of four requests belong to flows with several requests and pauses.
LONG_FLOW_REQUEST_SHARE = 0.73
LONG_FLOW_REQUESTS = 7
MEAN_PAUSE_S = 0.6
MAX_ATTEMPTS = 3
# Maximum delay of a retry, in seconds.
MAX_RETRY_DELAY_S = 0.05


class Strategy(typing.Protocol):
    """Strategy that selects the upstreams for new flows."""

    def choose(self, host: int, now: float) -> str:
        """Return the upstream for a new flow of a host."""

    def begin_request(self, host: int, upstream_id: str, now: float) -> None:
        """Record that a host forwards a request."""

    def end_request(self, host: int, upstream_id: str, now: float) -> None:
        """Record that a request of a host ends."""


def data_centre_of(number: int, data_centres: int) -> model.DataCentre:
    """Return the data centre of a host or an upstream, which take turns."""
    return model.DataCentre(f'kgn-{"abcdefgh"[number % data_centres]}')


def upstream_entries(
    count: int, data_centres: int = 1, slots: int = SLOTS
) -> list[directory.UpstreamEntry]:
    """Return the directory entries of the modelled upstreams."""
    return [
        directory.UpstreamEntry(
            model.Upstream(
                model.UpstreamId(f'board-{number}'),
                data_centre_of(number, data_centres),
                model.Address('127.0.0.1', 9000 + number),
                slots=slots,
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
    first_sent_at: float
    # Remaining requests of the flow, including this one.
    remaining_requests: int
    attempt: int = 1


@dataclasses.dataclass(slots=True)
class UpstreamState:
    """Requests at an upstream: those that run, and those that wait."""

    busy_slots: int = 0
    queue: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )


class OpeningSimulation:
    """One run of the model at a constant rate of requests.

    Parameters
    ----------
    strategy : Strategy
        Strategy that selects the upstreams.
    hosts, upstreams : int
        Number of hosts and of upstreams.
    rate : float
        Requests per second.
    seed : int
        Seed of arrivals and run times.
    """

    def __init__(
        self,
        strategy: Strategy,
        hosts: int,
        upstreams: int,
        rate: float,
        seed: int,
    ) -> None:
        self._strategy = strategy
        self._hosts = hosts
        self._rate = rate
        self._rng = random.Random(seed)
        self._upstreams_by_id = {
            item.upstream_id: UpstreamState()
            for item in upstream_entries(upstreams)
        }
        self._events: list = []
        self._event_numbers = itertools.count()
        self.request_count = 0
        self.in_time_count = 0

    def run(self, duration: datetime.timedelta) -> float:
        """Run the model; return the share of requests answered in time."""
        end = duration.total_seconds()
        self._schedule(0.0, self._open_next_flow)
        while self._events and self._events[0][0] <= end:
            now, _, action, arguments = heapq.heappop(self._events)
            action(now, *arguments)
        return self.in_time_count / self.request_count

    def _schedule(self, when: float, action, *arguments) -> None:
        event = (when, next(self._event_numbers), action, arguments)
        heapq.heappush(self._events, event)

    def _open_next_flow(self, now: float) -> None:
        short = (1 - LONG_FLOW_REQUEST_SHARE) * self._rate
        long = LONG_FLOW_REQUEST_SHARE * self._rate / LONG_FLOW_REQUESTS
        self._schedule(
            now + self._rng.expovariate(short + long), self._open_next_flow
        )
        is_long = self._rng.random() < long / (short + long)
        self._open_flow(now, LONG_FLOW_REQUESTS if is_long else 1)

    def _open_flow(self, now: float, remaining_requests: int) -> None:
        self.request_count += 1
        self._send(
            now, _Request(0, '', now, remaining_requests), opens_flow=True
        )

    def _send_next_request(self, now: float, request: _Request) -> None:
        self.request_count += 1
        request.first_sent_at, request.attempt = now, 1
        self._send(now, request, opens_flow=False)

    def _send(self, now: float, request: _Request, opens_flow: bool) -> None:
        if opens_flow:
            request.host = self._rng.randrange(self._hosts)
            request.upstream_id = self._strategy.choose(request.host, now)
        self._strategy.begin_request(request.host, request.upstream_id, now)
        upstream = self._upstreams_by_id[request.upstream_id]
        if upstream.busy_slots < SLOTS:
            self._run_request(now, upstream, request)
        elif len(upstream.queue) < QUEUE_LIMIT:
            upstream.queue.append(request)
        else:
            self._handle_shed(now, request)

    def _handle_shed(self, now: float, request: _Request) -> None:
        self._strategy.end_request(request.host, request.upstream_id, now)
        if request.attempt < MAX_ATTEMPTS:
            request.attempt += 1
            delay = MAX_RETRY_DELAY_S * self._rng.random()
            self._schedule(now + delay, self._send, request, True)
        elif request.remaining_requests > 1:
            self._schedule(
                now + self._draw_pause(),
                self._open_flow,
                request.remaining_requests - 1,
            )

    def _run_request(
        self, now: float, upstream: UpstreamState, request: _Request
    ) -> None:
        upstream.busy_slots += 1
        self._schedule(
            now + draw_run_time(self._rng),
            self._handle_answer,
            upstream,
            request,
        )

    def _handle_answer(
        self, now: float, upstream: UpstreamState, request: _Request
    ) -> None:
        upstream.busy_slots -= 1
        if upstream.queue:
            self._run_request(now, upstream, upstream.queue.popleft())
        self._strategy.end_request(request.host, request.upstream_id, now)
        self.in_time_count += now - request.first_sent_at <= ANSWER_GOAL_S
        if request.remaining_requests > 1:
            request.remaining_requests -= 1
            self._schedule(
                now + self._draw_pause(), self._send_next_request, request
            )

    def _draw_pause(self) -> float:
        return self._rng.expovariate(1 / MEAN_PAUSE_S)


def draw_run_time(rng: random.Random) -> float:
    """Return the time that a request runs, in seconds."""
    mu = math.log(RUN_TIME_MEAN_S) - RUN_TIME_SIGMA**2 / 2
    seconds = rng.lognormvariate(mu, RUN_TIME_SIGMA)
    if rng.random() < STRAGGLER_SHARE:
        seconds *= STRAGGLER_FACTOR
    return seconds
