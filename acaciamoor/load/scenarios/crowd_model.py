"""Replays crowds on the admission of new flows, with two kinds of requests.

Extends the model of a site by kinds with a worth, by load summaries that reach
hosts late, and by the admission of openings.
"""

import collections
import dataclasses
import datetime
import heapq
import random
import typing

import msgspec

from acaciamoor import admission
from acaciamoor import directory
from acaciamoor import load_reports
from acaciamoor.load.scenarios import opening_model
from acaciamoor.load.scenarios import site_model
from acaciamoor.load.scenarios import site_patterns
from acaciamoor import tokens

# Priorities, worth and mean work of the kinds, long flows being the less
# important ones; see docs/parts.md, part 5.
IMPORTANT = 1
LESS_IMPORTANT = 2
_WORTH_BY_LONG = {False: 2, True: 1}
_WORK_S_BY_LONG = {False: 0.039, True: 0.03}
_LONG_SHARE = 0.75
# Mean of `opening_model.draw_run_time`, with its stragglers, in seconds.
_MEAN_RUN_TIME_S = opening_model.RUN_TIME_MEAN_S * (
    1
    + opening_model.STRAGGLER_SHARE * (opening_model.STRAGGLER_FACTOR - 1)
)
# Times of reports and of their way to the hosts, in seconds.
REPORT_INTERVAL_S = 0.2
_SUMMARY_DELAY_S = (0.1, 0.3)
# Time after which a caller returns whose opening or request was refused.
_RETURN_AFTER_S = (0.0, 0.4)
# Time after which an answer is useless to its caller, in seconds.
_DEADLINE_S = 1.0
_SECOND = datetime.timedelta(seconds=1)
_DATA_CENTRE = opening_model.data_centre_of(0, 1)


class Admission(typing.Protocol):
    """Decides in one host whether a new flow is admitted."""

    def decide(
        self,
        service: str,
        priority: int,
        caller: int,
        now: datetime.timedelta,
    ) -> bool:
        """Return whether a new flow may be opened."""


@dataclasses.dataclass(frozen=True, slots=True)
class _KnownSlots:
    limit: float = opening_model.SLOTS
    known: bool = True


class SlotCapacity:
    """Capacity of upstreams that take as many requests as they have slots."""

    def estimate(
        self, upstream_id: str, now: datetime.timedelta
    ) -> _KnownSlots:
        """Return what an upstream takes."""
        return _KnownSlots()


class RandomRefusal:
    """Baseline: refuses all kinds alike, in proportion to the excess."""

    def __init__(
        self, picture: load_reports.LoadPicture, list_upstreams, rng
    ) -> None:
        self._picture = picture
        self._list_upstreams = list_upstreams
        self._rng = rng

    def decide(
        self,
        service: str,
        priority: int,
        caller: int,
        now: datetime.timedelta,
    ) -> bool:
        """Return whether a new flow may be opened."""
        if not self._picture.is_fresh(now):
            return True
        loads = [
            self._picture.load_of(entry.upstream_id, now)
            for entry in self._list_upstreams(service, now)
        ]
        in_progress = sum(load.in_progress for load in loads if load)
        limit = opening_model.SLOTS * len(loads)
        return in_progress <= limit or (
            self._rng.random() < limit / in_progress
        )


class PicturePlacement:
    """Chooses the less loaded of two upstreams by the shared picture.

    A host counts its own openings since the picture as well.
    """

    def __init__(self, pictures, seed: int) -> None:
        self._pictures = pictures
        self._rng = random.Random(seed)
        self._own_counts = [collections.Counter() for _ in pictures]
        self.detectors = [_NoDetector()] * len(pictures)

    def choose(self, host, candidates, excluded, now):
        """Return the upstream for a new flow."""
        chosen = min(
            self._rng.sample(candidates, 2),
            key=lambda entry: self._load(host, entry.upstream_id, now),
        )
        self._own_counts[host][chosen.upstream_id] += 1
        return chosen

    def _load(self, host: int, upstream_id: str, now: float) -> float:
        load = self._pictures[host].load_of(upstream_id, now * _SECOND)
        own = self._own_counts[host][upstream_id]
        return own + (load.open_flows + 3 * load.in_progress if load else 0)

    def clear_own(self, host: int) -> None:
        """Forget the own openings that the newest picture contains."""
        self._own_counts[host].clear()

    def begin_request(self, host: int, upstream_id: str, now: float) -> None:
        """Record that a host forwards a request."""

    def end_request(self, host, upstream_id, now, seconds) -> None:
        """Record that a request ends."""


class _NoDetector:
    def record_answer(self, upstream_id: str) -> None:
        """All upstreams of this model answer."""


@dataclasses.dataclass(slots=True)
class CrowdOutcome:
    """What callers got.

    Parameters
    ----------
    worth : float
        Worth of all requests of the crest that were served.
    important_by_second : list of float
        Share of the important requests of each second that were served.
    less_important : float
        Share of the less important requests of the crest that were served.
    worst_less_important : float
        The same in the second in which it is the lowest.
    admitted_less_important : int
        Less important flows that were opened in the crest.
    rejected : float
        Requests of the crest that an upstream rejected, for each arrival.
    refused, refused_beside_room : int
        Openings that hosts refused, and those meanwhile an upstream had a
        free slot.
    refused_after_crest : int
        Openings refused more than 2 s after the crest.
    greedy : float
        Share of the important openings of the greedy caller among all that
        were admitted.
    busy_by_second : list of float
        Share of the slots that were busy in each second of the crest.
    """

    worth: float
    important_by_second: list[float]
    less_important: float
    worst_less_important: float
    admitted_less_important: int
    rejected: float
    refused: int
    refused_beside_room: int
    refused_after_crest: int
    greedy: float
    busy_by_second: list[float]

    @property
    def worst_important(self) -> float:
        """Share of the important kind served in its worst second."""
        return min(self.important_by_second)


class CrowdSimulation(site_model.SiteSimulation):
    """One replay of a crowd.

    Parameters
    ----------
    pattern : SitePattern
        Pattern to replay, with one data centre.
    seed : int
        Seed of arrivals and run times.
    variant : str
        Name of the admission: 'none', 'random' or 'controller'.
    greedy_rate : float
        Openings a second of one caller beside the others.
    """

    _long_share = _LONG_SHARE

    def __init__(
        self,
        pattern: site_patterns.SitePattern,
        seed: int,
        variant: str,
        greedy_rate: float = 0.0,
    ) -> None:
        self._pictures = [
            load_reports.LoadPicture(_DATA_CENTRE)
            for _ in range(pattern.hosts)
        ]
        super().__init__(
            PicturePlacement(self._pictures, seed), pattern, seed
        )
        self._admissions = [
            self._new_admission(variant, picture, random.Random(seed + host))
            for host, picture in enumerate(self._pictures)
        ]
        self._greedy_rate = greedy_rate
        self._loads_by_id = {
            entry.upstream_id: collections.Counter() for entry in self._entries
        }
        self._demands_by_priority = {
            priority: collections.Counter()
            for priority in (IMPORTANT, LESS_IMPORTANT)
        }
        self._serial = 0
        self._served_by_second = collections.Counter()
        self._offered_by_second = collections.Counter()
        self._counts = collections.Counter()
        self._busy_by_second = collections.Counter()

    def run(self) -> CrowdOutcome:
        """Replay the pattern; return what callers got."""
        self._schedule(REPORT_INTERVAL_S, self._report)
        if self._greedy_rate:
            self._schedule(
                site_patterns.CROWD_START_S, self._open_greedy_flow
            )
        return super().run()

    def _new_admission(self, variant, picture, rng) -> Admission | None:
        if variant == 'random':
            return RandomRefusal(picture, self._list_upstreams, rng)
        if variant == 'controller':
            controller = admission.AdmissionController(
                picture, SlotCapacity(), self._list_upstreams, rng
            )
            controller.update_routes(_route_table())
            return controller
        return None

    def _list_upstreams(self, service, now):
        return self._entries

    def _report(self, now: float) -> None:
        """Take the reports of all hosts, and send their sum to each."""
        if now < self._pattern.end_s:
            self._schedule(now + REPORT_INTERVAL_S, self._report)
        self._serial += 1
        summary = load_reports.LoadSummary(
            _DATA_CENTRE,
            'h-1',
            1,
            self._serial,
            self._pattern.hosts,
            0.0,
            REPORT_INTERVAL_S,
            [
                load_reports.UpstreamLoad(upstream_id, **counts)
                for upstream_id, counts in self._loads_by_id.items()
            ],
            [
                load_reports.ServiceDemand(
                    opening_model.SERVICE,
                    priority,
                    counts['openings'],
                    counts['refused'],
                )
                for priority, counts in self._demands_by_priority.items()
            ],
        )
        for counts in self._loads_by_id.values():
            for name in ('started', 'finished', 'rejected', 'openings'):
                counts[name] = 0
        for counts in self._demands_by_priority.values():
            counts.clear()
        for host in range(self._pattern.hosts):
            delay = self._rng.uniform(*_SUMMARY_DELAY_S)
            self._schedule(
                now + delay, self._receive_summary, host, summary, delay
            )

    def _receive_summary(self, now, host, summary, delay) -> None:
        self._pictures[host].record(
            msgspec.structs.replace(summary, age=delay), now * _SECOND
        )
        self._placement.clear_own(host)

    def _count(self, flow: site_model.Flow) -> None:
        super()._count(flow)
        key = int(flow.first_sent_at), flow.long
        self._offered_by_second[key] += 1

    def _open_greedy_flow(self, now: float) -> None:
        if now < site_patterns.CROWD_END_S:
            self._schedule(
                now + self._rng.expovariate(self._greedy_rate),
                self._open_greedy_flow,
            )
            host = self._rng.randrange(self._pattern.hosts)
            flow = site_model.Flow(host, 0, False, 1, now, 3, now)
            flow.greedy = True
            self._place(now, flow)

    def _place(self, now: float, flow: site_model.Flow) -> None:
        if flow.refused:
            return
        if not flow.tried_ids:
            priority = LESS_IMPORTANT if flow.long else IMPORTANT
            counts = self._demands_by_priority[priority]
            counts['openings'] += 1
            if not self._admits(now, flow, priority):
                counts['refused'] += 1
                flow.refused = True
                self._record_refusal(now)
                self._return_later(now, flow)
                return
            self._record_admission(now, flow)
        super()._place(now, flow)

    def _admits(self, now, flow, priority) -> bool:
        decider = self._admissions[flow.host]
        if decider is None:
            return True
        caller = -1 if flow.greedy else self._rng.getrandbits(32)
        return decider.decide(
            opening_model.SERVICE, priority, caller, now * _SECOND
        )

    def _record_refusal(self, now: float) -> None:
        self._counts['refused'] += 1
        self._counts['refused_after_crest'] += (
            now > site_patterns.CROWD_END_S + 2.0
        )
        self._counts['refused_beside_room'] += any(
            upstream.busy_slots < opening_model.SLOTS
            for upstream in self._upstreams_by_id.values()
        )

    def _record_admission(self, now: float, flow: site_model.Flow) -> None:
        if _in_crest(now):
            self._counts['admitted', flow.long] += 1
            self._counts['greedy'] += flow.greedy

    def _send(self, now: float, flow: site_model.Flow) -> None:
        counts = self._loads_by_id[flow.upstream_id]
        counts['started'] += 1
        counts['in_progress'] += 1
        if not flow.counted:
            flow.counted = True
            counts['openings'] += 1
            counts['open_flows'] += 1
        self._counts['arrivals'] += _in_crest(now)
        super()._send(now, flow)

    def _handle_shed(self, now: float, flow: site_model.Flow) -> None:
        counts = self._loads_by_id[flow.upstream_id]
        counts['rejected'] += 1
        counts['in_progress'] -= 1
        counts['open_flows'] -= 1
        self._counts['rejected'] += _in_crest(now)
        self._placement.end_request(flow.host, flow.upstream_id, now, 0.0)
        self._return_later(now, flow)

    def _return_later(self, now: float, flow: site_model.Flow) -> None:
        if flow.attempt < opening_model.MAX_ATTEMPTS:
            self._schedule(
                now + self._rng.uniform(*_RETURN_AFTER_S),
                self._start_flow,
                flow.data_centre,
                flow.long,
                flow.remaining_requests,
                flow.first_sent_at,
                flow.attempt + 1,
            )

    def _draw_run_time(self, flow: site_model.Flow) -> float:
        return super()._draw_run_time(flow) * (
            _WORK_S_BY_LONG[flow.long] / _MEAN_RUN_TIME_S
        )

    def _handle_answer(self, now, upstream, flow: site_model.Flow) -> None:
        self._busy_by_second[int(now)] += now - flow.running_since
        counts = self._loads_by_id[flow.upstream_id]
        counts['finished'] += 1
        counts['in_progress'] -= 1
        counts['open_flows'] -= flow.remaining_requests == 1
        if now - flow.first_sent_at <= _DEADLINE_S and not flow.greedy:
            self._served_by_second[int(flow.first_sent_at), flow.long] += 1
        super()._handle_answer(now, upstream, flow)

    def _run_request(self, now, upstream, flow: site_model.Flow) -> None:
        flow.running_since = now
        super()._run_request(now, upstream, flow)

    def _outcome(self) -> CrowdOutcome:
        crest = range(
            int(site_patterns.CROWD_START_S), int(site_patterns.CROWD_END_S)
        )
        served, offered = self._served_by_second, self._offered_by_second
        slots = opening_model.SLOTS * self._pattern.upstreams
        less = [
            served[second, True] / offered[second, True] for second in crest
        ]
        return CrowdOutcome(
            sum(
                worth * served[second, long]
                for second in crest
                for long, worth in _WORTH_BY_LONG.items()
            ),
            [
                served[second, False] / offered[second, False]
                for second in crest
            ],
            sum(served[second, True] for second in crest)
            / sum(offered[second, True] for second in crest),
            min(less),
            self._counts['admitted', True],
            self._counts['rejected'] / max(1, self._counts['arrivals']),
            self._counts['refused'],
            self._counts['refused_beside_room'],
            self._counts['refused_after_crest'],
            self._counts['greedy'] / max(1, self._counts['admitted', False]),
            [self._busy_by_second[second] / slots for second in crest],
        )


class OracleSimulation(CrowdSimulation):
    """One queue that knows all: the most important request runs first.

    Requests that cannot be answered before their deadline are left out.
    """

    def __init__(self, pattern, seed: int) -> None:
        super().__init__(pattern, seed, 'none')
        self._queue: list = []
        self._free = opening_model.SLOTS * pattern.upstreams

    def _send(self, now: float, flow: site_model.Flow) -> None:
        flow.sent_at = now
        heapq.heappush(
            self._queue, (flow.long, now, next(self._event_numbers), flow)
        )
        self._run_next(now)

    def _run_next(self, now: float) -> None:
        while self._free and self._queue:
            _, sent_at, _, flow = heapq.heappop(self._queue)
            seconds = self._draw_run_time(flow)
            if now + seconds - flow.first_sent_at > _DEADLINE_S:
                self._go_on(now, flow)
                continue
            self._free -= 1
            self._schedule(now + seconds, self._finish, flow, now)

    def _finish(self, now, flow: site_model.Flow, started_at: float) -> None:
        self._free += 1
        self._busy_by_second[int(now)] += now - started_at
        self._served_by_second[int(flow.first_sent_at), flow.long] += 1
        self._go_on(now, flow)
        self._run_next(now)

    def _go_on(self, now: float, flow: site_model.Flow) -> None:
        flow.remaining_requests -= 1
        if flow.remaining_requests:
            pause = self._rng.expovariate(1 / opening_model.MEAN_PAUSE_S)
            self._schedule(now + pause, self._send_next_request, flow)


def _in_crest(now: float) -> bool:
    return site_patterns.CROWD_START_S <= now < site_patterns.CROWD_END_S


def _route_table() -> directory.RouteTable:
    routes = [
        directory.Route(
            f'route-{priority}',
            tokens.ServiceAddress((0xC6120001, 443 + priority)),
            {opening_model.SERVICE: 1.0},
            priority=priority,
        )
        for priority in (IMPORTANT, LESS_IMPORTANT)
    ]
    return directory.RouteTable(1, {route.address: route for route in routes})


def replay(
    variant: str,
    pattern: site_patterns.SitePattern,
    seed: int,
    greedy_rate: float = 0.0,
) -> CrowdOutcome:
    """Replay a crowd: 'none', 'random', 'controller' or 'oracle'."""
    if variant == 'oracle':
        return OracleSimulation(pattern, seed).run()
    return CrowdSimulation(pattern, seed, variant, greedy_rate).run()
