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
from acaciamoor import openings
from acaciamoor import tokens
from acaciamoor.load.scenarios import opening_model
from acaciamoor.load.scenarios import site_model
from acaciamoor.load.scenarios import site_patterns
from acaciamoor.load.scenarios import site_placements

# Priorities, worth and mean work of the kinds, long flows being the less
# important ones; see docs/parts.md, part 5.
IMPORTANT = 1
LESS_IMPORTANT = 2
_WORTH_BY_LONG = {False: 2, True: 1}
_WORK_S_BY_LONG = {False: 0.039, True: 0.03}
LONG_SHARE = 0.75
# Mean of `opening_model.draw_run_time`, with its stragglers, in seconds.
_MEAN_RUN_TIME_S = opening_model.RUN_TIME_MEAN_S * (
    1 + opening_model.STRAGGLER_SHARE * (opening_model.STRAGGLER_FACTOR - 1)
)
# Maximum time after which a caller returns whose opening or request was
# refused, in seconds.
_MAX_RETURN_S = 0.4
# Time after which an answer is useless to its caller, in seconds.
_DEADLINE_S = 1.0
# Wait after which the oracle leaves out a request whose run time it does not
# know. Of waits from 0.3 to 0.95 s it gave the most worth at twice the slots.
_ORACLE_WAIT_S = 0.9
# Time for which the old host of a flow that moved reports it as open, in
# seconds. It is 15 s in the product; here both ends fall into the crest.
_FORGET_AFTER_S = 1.5
_SECOND = datetime.timedelta(seconds=1)


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


@dataclasses.dataclass(frozen=True, slots=True)
class _SlotCapacity:
    limit: float = opening_model.SLOTS
    known: bool = True


class _KnownSlots:
    """Capacity of upstreams that take as many requests as they have slots."""

    def estimate(
        self, upstream_id: str, now: datetime.timedelta
    ) -> _SlotCapacity:
        return _SlotCapacity()


class CrowdPlacement(site_placements.SharedLoadPlacement):
    """The placement of the product, with a picture for each host.

    Summaries reach the hosts at different times, so that hosts disagree.
    """

    def __init__(self, pattern: site_patterns.SitePattern, seed: int) -> None:
        self.pictures: list[load_reports.LoadPicture] = []
        self.capacities: list[admission.CapacityEstimator] = []
        self._rng = random.Random(seed)
        super().__init__(pattern, seed)

    def new_placer(self, *arguments) -> openings.OpeningPlacer:
        """Return the placer of a host."""
        picture = load_reports.LoadPicture(arguments[0])
        placer = self.placer_class(*arguments, picture=picture)
        self.pictures.append(picture)
        self.capacities.append(placer.estimator)
        return placer


class RandomCrowdPlacement(CrowdPlacement):
    """Any upstream alike, which needs no picture and no measurement."""

    def new_placer(self, *arguments) -> openings.OpeningPlacer:
        """Return the placer of a host."""
        placer = super().new_placer(*arguments)
        self.capacities[-1] = _KnownSlots()
        return placer

    def choose(self, host, candidates, excluded, now):
        """Return the upstream for a new flow."""
        return self._rng.choice(candidates)


class LiveCrowdPlacement(RandomCrowdPlacement):
    """The less loaded of two upstreams, without the age of the picture.

    Hosts cannot do that; it separates the admission from the placement.
    """

    def choose(self, host, candidates, excluded, now):
        """Return the upstream for a new flow."""
        (counts_by_id,) = self._counts
        return min(
            self._rng.sample(candidates, 2),
            key=lambda entry: counts_by_id[entry.upstream_id]['in_progress'],
        )


PLACEMENTS_BY_NAME = {
    'product': CrowdPlacement,
    'random': RandomCrowdPlacement,
    'live': LiveCrowdPlacement,
}


@dataclasses.dataclass(slots=True)
class CrowdOutcome:
    """What callers got.

    Parameters
    ----------
    worth : float
        Worth of the requests sent in the crest that were served, also after
        it.
    worth_in_crest : float
        Worth of the requests that were served until the end of the crest.
    important_by_second : list of float
        Share of the important requests of each second that were served.
    important_in_time : float
        Share of the important requests of the crest that were served within
        the goal of 150 ms.
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
    worth_in_crest: float
    important_by_second: list[float]
    important_in_time: float
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
        Openings a second of one caller beside the others, in the crest.
    blind_hosts : int
        Hosts that receive no summaries.
    long_share : float
        Share of the requests that belong to long, less important flows.
    moved_at : float
        Time at which all open flows move to other hosts, in seconds; 0 for
        never. Old hosts report them as open for some more time.
    """

    _max_retry_delay_s = _MAX_RETURN_S

    def __init__(
        self,
        pattern: site_patterns.SitePattern,
        seed: int,
        variant: str,
        placement: str = 'random',
        greedy_rate: float = 0.0,
        blind_hosts: int = 0,
        long_share: float = LONG_SHARE,
        moved_at: float = 0.0,
    ) -> None:
        super().__init__(
            PLACEMENTS_BY_NAME[placement](pattern, seed), pattern, seed
        )
        self._admissions = [
            self._new_admission(variant, host, random.Random(seed + host))
            for host in range(pattern.hosts)
        ]
        self._greedy_rate = greedy_rate
        self._blind_hosts = blind_hosts
        self._long_share = long_share
        self._moved_at = moved_at
        self._moved_by_id = collections.Counter()
        self._demands_by_priority = {
            priority: collections.Counter()
            for priority in (IMPORTANT, LESS_IMPORTANT)
        }
        self._served_by_second = collections.Counter()
        self._offered_by_second = collections.Counter()
        self._counts = collections.Counter()
        self._busy_by_second = collections.Counter()

    def run(self) -> CrowdOutcome:
        """Replay the pattern; return what callers got."""
        if self._greedy_rate:
            self._schedule(site_patterns.CROWD_S[0], self._open_greedy_flow)
        return super().run()

    def _new_admission(self, variant, host, rng) -> Admission | None:
        placement = self._placement
        picture = placement.pictures[host]
        if variant == 'random':
            return RandomRefusal(picture, self._list_upstreams, rng)
        if variant == 'controller':
            controller = admission.AdmissionController(
                picture,
                placement.capacities[host],
                self._list_upstreams,
                rng,
            )
            controller.update_routes(_route_table())
            return controller
        return None

    def _list_upstreams(self, service, now):
        return self._entries

    def _report(self, now: float) -> None:
        """Send the sum of the reports to each host."""
        (summary,) = self._placement.take_reports(now)
        demands = [
            load_reports.ServiceDemand(
                opening_model.SERVICE,
                priority,
                counts['openings'],
                counts['refused'],
            )
            for priority, counts in self._demands_by_priority.items()
        ]
        for counts in self._demands_by_priority.values():
            counts.clear()
        summary = msgspec.structs.replace(
            summary,
            demands=demands,
            upstreams=[
                msgspec.structs.replace(
                    load,
                    open_flows=load.open_flows
                    + self._moved_by_id[load.upstream_id],
                )
                for load in summary.upstreams
            ],
        )
        for picture in self._placement.pictures[self._blind_hosts :]:
            delay = self._report_rng.uniform(*site_placements.REPORT_DELAYS_S)
            self._schedule(
                now + delay,
                self._receive_summary,
                picture,
                msgspec.structs.replace(summary, age=delay),
            )
        self._schedule(now + site_placements.REPORT_INTERVAL_S, self._report)

    def _send_next_request(self, now: float, flow: site_model.Flow) -> None:
        # The next packet of a flow that moved makes its new host count it.
        if flow.sent_at < self._moved_at <= now:
            self._moved_by_id[flow.upstream_id] += 1
            self._schedule(
                now + _FORGET_AFTER_S, self._forget_moved, flow.upstream_id
            )
        super()._send_next_request(now, flow)

    def _forget_moved(self, now: float, upstream_id: str) -> None:
        self._moved_by_id[upstream_id] -= 1

    def _receive_summary(self, now: float, picture, summary) -> None:
        picture.record(summary, now * _SECOND)

    def _count(self, flow: site_model.Flow) -> None:
        super()._count(flow)
        key = int(flow.first_sent_at), flow.long
        self._offered_by_second[key] += 1

    def _open_greedy_flow(self, now: float) -> None:
        if now < site_patterns.CROWD_S[1]:
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
            now > site_patterns.CROWD_S[1] + 2.0
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
        self._counts['arrivals'] += _in_crest(now)
        super()._send(now, flow)

    def _handle_shed(self, now: float, flow: site_model.Flow) -> None:
        self._counts['rejected'] += _in_crest(now)
        super()._handle_shed(now, flow)

    def _draw_run_time(self, flow: site_model.Flow) -> float:
        return super()._draw_run_time(flow) * (
            _WORK_S_BY_LONG[flow.long] / _MEAN_RUN_TIME_S
        )

    def _handle_answer(self, now, upstream, flow: site_model.Flow) -> None:
        self._busy_by_second[int(now)] += now - flow.running_since
        self._record_answer(now, flow)
        super()._handle_answer(now, upstream, flow)

    def _record_answer(self, now: float, flow: site_model.Flow) -> None:
        if now - flow.first_sent_at <= _DEADLINE_S and not flow.greedy:
            self._served_by_second[int(flow.first_sent_at), flow.long] += 1
            if _in_crest(now):
                self._counts['answered'] += _WORTH_BY_LONG[flow.long]
            self._counts['in time'] += (
                not flow.long
                and _in_crest(flow.first_sent_at)
                and now - flow.first_sent_at <= opening_model.ANSWER_GOAL_S
            )

    def _run_request(self, now, upstream, flow: site_model.Flow) -> None:
        flow.running_since = now
        super()._run_request(now, upstream, flow)

    def _outcome(self) -> CrowdOutcome:
        crest = range(
            int(site_patterns.CROWD_S[0]), int(site_patterns.CROWD_S[1])
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
            self._counts['answered'],
            [
                served[second, False] / offered[second, False]
                for second in crest
            ],
            self._counts['in time']
            / sum(offered[second, False] for second in crest),
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

    def __init__(self, pattern, seed: int, foresight: bool = False) -> None:
        super().__init__(pattern, seed, 'none')
        self._foresight = foresight
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
            *_, flow = heapq.heappop(self._queue)
            seconds = self._draw_run_time(flow)
            wait = now - flow.first_sent_at
            if (
                wait + seconds > _DEADLINE_S
                if self._foresight
                else wait > _ORACLE_WAIT_S
            ):
                self._go_on(now, flow)
                continue
            self._free -= 1
            self._schedule(now + seconds, self._finish, flow, now)

    def _finish(self, now, flow: site_model.Flow, started_at: float) -> None:
        self._free += 1
        self._busy_by_second[int(now)] += now - started_at
        self._record_answer(now, flow)
        self._go_on(now, flow)
        self._run_next(now)

    def _go_on(self, now: float, flow: site_model.Flow) -> None:
        flow.remaining_requests -= 1
        if flow.remaining_requests:
            pause = self._rng.expovariate(1 / opening_model.MEAN_PAUSE_S)
            self._schedule(now + pause, self._send_next_request, flow)


def _in_crest(now: float) -> bool:
    return site_patterns.CROWD_S[0] <= now < site_patterns.CROWD_S[1]


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
    placement: str = 'random',
    **arguments: float,
) -> CrowdOutcome:
    """Replay a crowd: 'none', 'random', 'controller' or an oracle.

    The oracle named 'foresight' also knows how long each request will run.
    """
    if variant in ('oracle', 'foresight'):
        foresight = variant == 'foresight'
        return OracleSimulation(pattern, seed, foresight).run()
    return CrowdSimulation(
        pattern, seed, variant, placement, **arguments
    ).run()
