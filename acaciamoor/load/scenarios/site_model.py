"""Replays the load patterns of a site on the placement of new flows."""

import collections
import dataclasses
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
    late_new : float
        New flows in the measured period whose first answer came late or not
        at all.
    late_slow : float
        New flows in that period whose first answer came late from an
        upstream that a disturbance makes slow.
    rejected : float
        Arrivals at upstreams in that period that were rejected.
    busiest : float
        Most requests of an upstream in that period, relative to its share of
        the capacity.
    """

    in_time: float
    worst_second: float
    worst_kind: float
    remote: float
    late_new: float = 0.0
    late_slow: float = 0.0
    rejected: float = 0.0
    busiest: float = 0.0


@dataclasses.dataclass(slots=True)
class Flow:
    """A flow of a caller, or a later attempt to open it."""

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
    # Whether its first request has not been answered yet.
    new: bool = True
    # For the model of a crowd: whether a host refused it, whether its caller
    # opens far more flows than others, and since when its request runs.
    refused: bool = False
    greedy: bool = False
    running_since: float = 0.0


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

    # Maximum delay of a retry, in seconds.
    _max_retry_delay_s = opening_model.MAX_RETRY_DELAY_S
    # Share of the requests that belong to long flows.
    _long_share = opening_model.LONG_FLOW_REQUEST_SHARE

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
            pattern.upstreams, pattern.data_centres, pattern.slots
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
        self._arrivals_by_id = collections.Counter()
        self._rejected = 0
        self._new = 0
        self._new_in_time = 0
        self._new_late_slow = 0
        # Delays of reports must not change the arrivals.
        self._report_rng = random.Random(seed)
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
        self._schedule(0.0, self._report)
        end = pattern.end_s + _GIVE_UP_AFTER_S
        while self._events and self._events[0][0] <= end:
            now, _, action, arguments = heapq.heappop(self._events)
            action(now, *arguments)
        return self._outcome()

    def _report(self, now: float) -> None:
        """Send what hosts report, some time before it arrives."""
        for summary in self._placement.take_reports(now):
            delay = self._report_rng.uniform(*site_placements.REPORT_DELAYS_S)
            self._schedule(now + delay, self._receive_report, summary)
        self._schedule(now + site_placements.REPORT_INTERVAL_S, self._report)

    def _receive_report(self, now: float, summary) -> None:
        self._placement.receive_report(summary, now)

    def _is_measured(self, when: float) -> bool:
        start, end = self._pattern.measured_s
        return start <= when < end

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
        long_share = self._long_share
        peak = demand.rate * (1.0 + demand.wave)
        short = (1 - long_share) * peak
        long = long_share * peak / opening_model.LONG_FLOW_REQUESTS
        self._schedule(
            now + self._rng.expovariate(short + long),
            self._open_next_flow,
            demand,
        )
        if demand.wave and self._rng.random() >= demand.level(now):
            return
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
        new: bool = True,
    ) -> None:
        pattern = self._pattern
        host = data_centre + pattern.data_centres * self._rng.randrange(
            pattern.hosts // pattern.data_centres
        )
        flow = Flow(
            host, data_centre, is_long, requests, first_sent_at, attempt, now
        )
        flow.new = new
        if attempt == 1:
            self._count(flow)
            self._new += self._is_measured(first_sent_at)
        for delay in _COPIES_AT_S:
            self._schedule(now + delay, self._place, flow)

    def _count(self, flow: Flow) -> None:
        self._counts_by_second[int(flow.first_sent_at)] += 1
        self._counts_by_kind[flow.long] += 1

    def _place(self, now: float, flow: Flow) -> None:
        """Handle a copy of an opening packet, or the host's own one."""
        start, end = self._pattern.outage
        if flow.upstream_id or start <= now < end:
            return
        if flow.tried_ids:
            self._placement.record_timeout(flow.host, flow.tried_ids[-1], now)
        chosen = self._placement.choose(
            flow.host, self._candidates(now), flow.tried_ids, now
        )
        if chosen is None:
            return
        flow.tried_ids.append(chosen.upstream_id)
        self._placement.record_opening(flow.host, chosen.upstream_id)
        if self._is_silent(chosen.upstream_id, now):
            if not flow.retried:
                flow.retried = True
                self._schedule(now + _RETRY_AFTER_S, self._place, flow)
            return
        self._placement.record_answer(flow.host, chosen.upstream_id)
        flow.upstream_id = chosen.upstream_id
        self._placement.open_flow(flow.host, flow.upstream_id)
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

    def _send(self, now: float, flow: Flow) -> None:
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
        if self._is_measured(now):
            self._arrivals_by_id[flow.upstream_id] += 1
        upstream = self._upstreams_by_id[flow.upstream_id]
        if self._is_silent(flow.upstream_id, now):
            # The caller waits for its deadline and opens another flow.
            self._schedule(now + _DEADLINE_S, self._abandon, flow)
        elif upstream.busy_slots < self._pattern.slots:
            self._run_request(now, upstream, flow)
        elif len(upstream.queue) < opening_model.QUEUE_LIMIT:
            upstream.queue.append(flow)
        else:
            self._handle_shed(now, flow)

    def _end_request(
        self,
        now: float,
        flow: Flow,
        seconds: float = 0.0,
        rejected: bool = False,
    ) -> None:
        self._placement.end_request(
            flow.host, flow.upstream_id, now, seconds, rejected
        )

    def _abandon(self, now: float, flow: Flow, rejected: bool = False) -> None:
        self._end_request(now, flow, rejected=rejected)
        self._placement.close_flow(flow.host, flow.upstream_id)

    def _handle_shed(self, now: float, flow: Flow) -> None:
        self._rejected += self._is_measured(now)
        self._abandon(now, flow, rejected=True)
        self._return_later(now, flow)

    def _return_later(self, now: float, flow: Flow) -> None:
        if flow.attempt < opening_model.MAX_ATTEMPTS:
            delay = self._max_retry_delay_s * self._rng.random()
            self._schedule(
                now + delay,
                self._start_flow,
                flow.data_centre,
                flow.long,
                flow.remaining_requests,
                flow.first_sent_at,
                flow.attempt + 1,
                flow.new,
            )

    def _run_request(
        self, now: float, upstream: opening_model.UpstreamState, flow: Flow
    ) -> None:
        upstream.busy_slots += 1
        number = self._numbers_by_id[flow.upstream_id]
        seconds = self._draw_run_time(flow)
        seconds /= self._pattern.speed(number)
        knee = self._pattern.knee(number)
        if knee:
            seconds *= max(1.0, upstream.busy_slots / knee) ** 2
        for item in self._disturbances_at(now):
            if number in item.upstreams:
                seconds *= item.slowness
        self._schedule(now + seconds, self._handle_answer, upstream, flow)

    def _draw_run_time(self, flow: Flow) -> float:
        return opening_model.draw_run_time(self._rng)

    def _handle_answer(
        self, now: float, upstream: opening_model.UpstreamState, flow: Flow
    ) -> None:
        upstream.busy_slots -= 1
        if upstream.queue:
            self._run_request(now, upstream, upstream.queue.popleft())
        self._end_request(now, flow, now - flow.sent_at)
        if now - flow.first_sent_at <= opening_model.ANSWER_GOAL_S:
            self._in_time_by_second[int(flow.first_sent_at)] += 1
            self._in_time_by_kind[flow.long] += 1
            if flow.new:
                self._new_in_time += self._is_measured(flow.first_sent_at)
        elif flow.new and self._is_measured(flow.first_sent_at):
            number = self._numbers_by_id[flow.upstream_id]
            self._new_late_slow += any(
                item.slowness > 1.0 and number in item.upstreams
                for item in self._disturbances_at(now)
            )
        flow.new = False
        flow.remaining_requests -= 1
        if flow.remaining_requests:
            pause = self._rng.expovariate(1 / opening_model.MEAN_PAUSE_S)
            self._schedule(now + pause, self._send_next_request, flow)
        else:
            self._placement.close_flow(flow.host, flow.upstream_id)

    def _send_next_request(self, now: float, flow: Flow) -> None:
        if now >= self._pattern.end_s:
            return
        flow.first_sent_at, flow.attempt = now, 1
        listed = {entry.upstream_id for entry in self._candidates(now)}
        if flow.upstream_id in listed:
            self._count(flow)
            self._send(now, flow)
        else:
            # Upstreams that drain close their flows.
            self._placement.close_flow(flow.host, flow.upstream_id)
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
            1.0 - self._new_in_time / self._new,
            self._new_late_slow / self._new,
            self._rejected / self._arrivals_by_id.total(),
            self._find_busiest(),
        )

    def _find_busiest(self) -> float:
        capacities = [
            self._pattern.capacity(number)
            for number in range(len(self._entries))
        ]
        mean = self._arrivals_by_id.total() / sum(capacities)
        return max(
            self._arrivals_by_id[entry.upstream_id] / capacity / mean
            for entry, capacity in zip(self._entries, capacities, strict=True)
        )


def replay(
    name: str, pattern: site_patterns.SitePattern, seed: int
) -> SiteOutcome:
    """Replay a pattern with a placement of `PLACEMENTS_BY_NAME`."""
    placement = site_placements.PLACEMENTS_BY_NAME[name](pattern, seed)
    return SiteSimulation(placement, pattern, seed).run()


def replay_capacity(
    name: str, pattern: site_patterns.SitePattern, seed: int
) -> SiteOutcome:
    """Replay a pattern with one of `CAPACITY_PLACEMENTS_BY_NAME`."""
    build = site_placements.CAPACITY_PLACEMENTS_BY_NAME[name]
    placement = build(pattern, seed)
    return SiteSimulation(placement, pattern, seed).run()
