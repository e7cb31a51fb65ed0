"""Replays the load patterns of a site on the placement of new flows."""

import collections
import dataclasses
import datetime
import heapq
import itertools
import random

from acaciamoor import directory
from acaciamoor.load.scenarios import opening_model
from acaciamoor.load.scenarios import site_patterns
from acaciamoor.load.scenarios import site_placements

# Time without an answer after which a host sends an opening to another
# upstream, and times at which callers send copies, in seconds.
_RETRY_AFTER_S = 0.04
_COPIES_AT_S = (0.0, 0.2, 0.6)
# The same for a packet of an open flow.
_RETRANSMISSIONS_AT_S = (0.2, 0.6, 1.4)
# Time after which callers abandon an opening, and a request.
_GIVE_UP_AFTER_S = 1.4
_DEADLINE_S = 1.0
_SECOND = datetime.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class SiteOutcome:
    """What callers got; all values are shares from 0 to 1.

    Parameters
    ----------
    in_time : float
        Requests that were answered in time.
    worst_second : float
        The same in the second in which it is the lowest.
    worst_kind : float
        The same among long flows or single requests, whichever is lower.
    remote : float
        Flows that were opened in another data centre.
    """

    in_time: float
    worst_second: float
    worst_kind: float
    remote: float


@dataclasses.dataclass(slots=True)
class _Flow:
    host: int
    data_centre: int
    long: bool
    remaining_requests: int
    # Of the request in progress; a second attempt keeps it.
    first_sent_at: float
    attempt: int = 1
    sent_at: float = 0.0
    upstream_id: str = ''
    tried_ids: list[str] = dataclasses.field(default_factory=list)
    retried: bool = False


class SiteSimulation:
    """One replay of a pattern.

    Callers repeat an opening after 200 and 600 ms and try a request up to
    three times, each time on a new flow.

    Parameters
    ----------
    placement : site_placements.OwnViewPlacement
        Choice of upstreams by the hosts.
    pattern : SitePattern
        Pattern to replay.
    seed : int
        Seed of arrivals and run times.
    """

    def __init__(
        self,
        placement: site_placements.OwnViewPlacement,
        pattern: site_patterns.SitePattern,
        seed: int,
    ) -> None:
        self._placement = placement
        self._pattern = pattern
        self._rng = random.Random(seed)
        self._entries = opening_model.upstream_entries(
            pattern.upstreams, pattern.data_centres
        )
        self._numbers_by_id = {
            entry.upstream_id: number
            for number, entry in enumerate(self._entries)
        }
        self._upstreams_by_id = {
            entry.upstream_id: opening_model.UpstreamState()
            for entry in self._entries
        }
        self._events: list = []
        self._event_numbers = itertools.count()
        self._counts_by_second = collections.Counter()
        self._in_time_by_second = collections.Counter()
        self._counts_by_kind = collections.Counter()
        self._in_time_by_kind = collections.Counter()
        self._opened = 0
        self._remote = 0

    def run(self) -> SiteOutcome:
        """Replay the pattern; return what callers got."""
        pattern = self._pattern
        for demand in pattern.demands:
            self._schedule(demand.start_s, self._open_next_flow, demand)
        for disturbance in pattern.disturbances:
            if disturbance.slowness > 1.0:
                self._schedule(
                    disturbance.start_s, self._announce_warm_up, disturbance
                )
        if pattern.outage[1]:
            self._schedule(pattern.outage[1], self._restart_hosts)
        end = pattern.end_s + _GIVE_UP_AFTER_S
        while self._events and self._events[0][0] <= end:
            now, _, action, arguments = heapq.heappop(self._events)
            action(now, *arguments)
        return self._outcome()

    def _schedule(self, when: float, action, *arguments) -> None:
        event = (when, next(self._event_numbers), action, arguments)
        heapq.heappush(self._events, event)

    def _announce_warm_up(
        self, now: float, disturbance: site_patterns.Disturbance
    ) -> None:
        for number in disturbance.upstreams:
            self._placement.set_warm_up(
                self._entries[number].upstream_id,
                disturbance.end_s - now,
                now,
            )

    def _restart_hosts(self, now: float) -> None:
        self._placement.forget()

    def _open_next_flow(
        self, now: float, demand: site_patterns.Demand
    ) -> None:
        if now >= demand.end_s:
            return
        long_share = opening_model.LONG_FLOW_REQUEST_SHARE
        short = (1 - long_share) * demand.rate
        long = long_share * demand.rate / opening_model.LONG_FLOW_REQUESTS
        self._schedule(
            now + self._rng.expovariate(short + long),
            self._open_next_flow,
            demand,
        )
        is_long = self._rng.random() < long / (short + long)
        requests = opening_model.LONG_FLOW_REQUESTS if is_long else 1
        self._start_flow(now, demand.data_centre, is_long, requests, now)

    def _start_flow(
        self,
        now: float,
        data_centre: int,
        is_long: bool,
        requests: int,
        first_sent_at: float,
        attempt: int = 1,
    ) -> None:
        pattern = self._pattern
        host = data_centre + pattern.data_centres * self._rng.randrange(
            pattern.hosts // pattern.data_centres
        )
        flow = _Flow(
            host, data_centre, is_long, requests, first_sent_at, attempt, now
        )
        if attempt == 1:
            self._count(flow)
        for delay in _COPIES_AT_S:
            self._schedule(now + delay, self._place, flow)

    def _count(self, flow: _Flow) -> None:
        self._counts_by_second[int(flow.first_sent_at)] += 1
        self._counts_by_kind[flow.long] += 1

    def _place(self, now: float, flow: _Flow) -> None:
        """Handle a copy of an opening packet, or the host's own one."""
        start, end = self._pattern.outage
        if flow.upstream_id or start <= now < end:
            return
        if flow.tried_ids:
            self._placement.detectors[flow.host].record_timeout(
                flow.tried_ids[-1], now * _SECOND
            )
        chosen = self._placement.choose(
            flow.host, self._candidates(now), flow.tried_ids, now
        )
        if chosen is None:
            return
        flow.tried_ids.append(chosen.upstream_id)
        if self._is_silent(chosen.upstream_id, now):
            if not flow.retried:
                flow.retried = True
                self._schedule(now + _RETRY_AFTER_S, self._place, flow)
            return
        self._placement.detectors[flow.host].record_answer(chosen.upstream_id)
        flow.upstream_id = chosen.upstream_id
        self._opened += 1
        number = self._numbers_by_id[chosen.upstream_id]
        self._remote += number % self._pattern.data_centres != flow.data_centre
        self._send(now, flow)

    def _candidates(self, now: float) -> list[directory.UpstreamEntry]:
        unlisted = frozenset().union(
            *(
                item.upstreams
                for item in self._disturbances_at(now)
                if not item.listed
            )
        )
        return [
            entry
            for number, entry in enumerate(self._entries)
            if number not in unlisted
        ]

    def _disturbances_at(self, now: float) -> list[site_patterns.Disturbance]:
        return [
            item
            for item in self._pattern.disturbances
            if item.start_s <= now < item.end_s
        ]

    def _is_silent(self, upstream_id: str, now: float) -> bool:
        number = self._numbers_by_id[upstream_id]
        return any(
            item.silent and number in item.upstreams
            for item in self._disturbances_at(now)
        )

    def _send(self, now: float, flow: _Flow) -> None:
        """Carry a request to the upstream of its flow."""
        start, end = self._pattern.outage
        if start <= now < end:
            copies = (now + delay for delay in _RETRANSMISSIONS_AT_S)
            self._schedule(
                next((at for at in copies if at >= end), end + 1.0),
                self._send,
                flow,
            )
            return
        self._placement.begin_request(flow.host, flow.upstream_id, now)
        flow.sent_at = now
        upstream = self._upstreams_by_id[flow.upstream_id]
        if self._is_silent(flow.upstream_id, now):
            # The caller waits for its deadline and opens another flow.
            self._schedule(now + _DEADLINE_S, self._end_request, flow)
        elif upstream.busy_slots < opening_model.SLOTS:
            self._run_request(now, upstream, flow)
        elif len(upstream.queue) < opening_model.QUEUE_LIMIT:
            upstream.queue.append(flow)
        else:
            self._handle_shed(now, flow)

    def _end_request(
        self, now: float, flow: _Flow, seconds: float = 0.0
    ) -> None:
        self._placement.end_request(flow.host, flow.upstream_id, now, seconds)

    def _handle_shed(self, now: float, flow: _Flow) -> None:
        self._end_request(now, flow)
        if flow.attempt < opening_model.MAX_ATTEMPTS:
            delay = opening_model.MAX_RETRY_DELAY_S * self._rng.random()
            self._schedule(
                now + delay,
                self._start_flow,
                flow.data_centre,
                flow.long,
                flow.remaining_requests,
                flow.first_sent_at,
                flow.attempt + 1,
            )

    def _run_request(
        self, now: float, upstream: opening_model.UpstreamState, flow: _Flow
    ) -> None:
        upstream.busy_slots += 1
        number = self._numbers_by_id[flow.upstream_id]
        seconds = opening_model.draw_run_time(self._rng)
        for item in self._disturbances_at(now):
            if number in item.upstreams:
                seconds *= item.slowness
        self._schedule(now + seconds, self._handle_answer, upstream, flow)

    def _handle_answer(
        self, now: float, upstream: opening_model.UpstreamState, flow: _Flow
    ) -> None:
        upstream.busy_slots -= 1
        if upstream.queue:
            self._run_request(now, upstream, upstream.queue.popleft())
        self._end_request(now, flow, now - flow.sent_at)
        if now - flow.first_sent_at <= opening_model.ANSWER_GOAL_S:
            self._in_time_by_second[int(flow.first_sent_at)] += 1
            self._in_time_by_kind[flow.long] += 1
        flow.remaining_requests -= 1
        if flow.remaining_requests:
            pause = self._rng.expovariate(1 / opening_model.MEAN_PAUSE_S)
            self._schedule(now + pause, self._send_next_request, flow)

    def _send_next_request(self, now: float, flow: _Flow) -> None:
        if now >= self._pattern.end_s:
            return
        flow.first_sent_at, flow.attempt = now, 1
        listed = {entry.upstream_id for entry in self._candidates(now)}
        if flow.upstream_id in listed:
            self._count(flow)
            self._send(now, flow)
        else:
            # Upstreams that drain close their flows.
            self._start_flow(
                now,
                flow.data_centre,
                flow.long,
                flow.remaining_requests,
                now,
            )

    def _outcome(self) -> SiteOutcome:
        counts, in_time = self._counts_by_second, self._in_time_by_second
        kinds = self._counts_by_kind
        return SiteOutcome(
            in_time.total() / counts.total(),
            min(in_time[second] / counts[second] for second in counts),
            min(self._in_time_by_kind[kind] / kinds[kind] for kind in kinds),
            self._remote / self._opened,
        )


def replay(
    name: str, pattern: site_patterns.SitePattern, seed: int
) -> SiteOutcome:
    """Replay a pattern with a placement of `PLACEMENTS_BY_NAME`."""
    placement = site_placements.PLACEMENTS_BY_NAME[name](pattern, seed)
    return SiteSimulation(placement, pattern, seed).run()
