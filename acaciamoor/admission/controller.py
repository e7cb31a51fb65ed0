"""Decision whether a new flow is admitted.

Load pattern: a crowd asks for more than all upstreams of a service take. Most
load comes from long flows that are open already, so that refusals take effect
slowly, and the load picture is 0.2 to 0.4 s old. Refused callers return.
"""

import collections
import collections.abc
import datetime
import random
import typing

import msgspec

from acaciamoor import directory
from acaciamoor import load_reports
from acaciamoor import model
from acaciamoor.admission import caller_counts
from acaciamoor.admission import settings as admission_settings


class Capacity(typing.Protocol):
    """What an upstream takes."""

    limit: float
    known: bool


class CapacityEstimator(typing.Protocol):
    """Measured capacity of upstreams."""

    def estimate(
        self, upstream_id: model.UpstreamId, now: datetime.timedelta
    ) -> Capacity:
        """Return what an upstream takes."""


ListUpstreams = collections.abc.Callable[
    [str, datetime.timedelta],
    collections.abc.Sequence[directory.UpstreamEntry],
]


class Evidence(msgspec.Struct, frozen=True):
    """What the admission to a service rests on.

    Parameters
    ----------
    computed_at : datetime.timedelta
        Time at which the reports of the picture were taken.
    revision : int
        Revision of the picture; 0 without a fresh one.
    overloaded : bool
        Whether openings are refused.
    shares_by_priority : Mapping
        Share of the openings that are admitted, from 0 to 1.
    demand : float
        Openings a second for the service, with those refused.
    admitted : float
        Openings a second that may be admitted.
    in_progress : int
        Requests in progress at the upstreams.
    limit : float
        Requests in progress that the upstreams take well.
    free_upstreams : int
        Upstreams with fewer requests in progress than they take well.
    """

    computed_at: datetime.timedelta
    revision: int = 0
    overloaded: bool = False
    shares_by_priority: collections.abc.Mapping[int, float] = {}
    demand: float = 0.0
    admitted: float = 0.0
    in_progress: int = 0
    limit: float = 0.0
    free_upstreams: int = 0


class _Sample(msgspec.Struct, frozen=True):
    """Load of a service in one picture; openings are per second."""

    taken_at: datetime.timedelta
    in_progress: int
    limit: float
    open_flows: int
    started: int
    finished: int
    rejected: int
    free_upstreams: int
    openings_by_priority: dict[int, float]
    refused_by_priority: dict[int, float]

    @property
    def opened(self) -> float:
        """Openings a second that were admitted."""
        return sum(self.openings_by_priority.values()) - self.refused

    @property
    def refused(self) -> float:
        """Openings a second that were refused."""
        return sum(self.refused_by_priority.values())


class AdmissionController:
    """Refuses openings over less important routes while a service is full.

    All hosts compute the same shares from the same picture. Apart from the
    pictures of the last second they keep no state, so a host that starts
    agrees with the others within that time.

    The number of flows that may be opened is the number that end, plus a
    correction that brings the requests in progress to their target. This
    needs no estimate of the requests that a flow brings: flows that are opened
    replace flows that end.

    Parameters
    ----------
    picture : LoadPicture
        Load that all hosts reported.
    capacity : CapacityEstimator
        Measured capacity of upstreams.
    list_upstreams : callable
        Returns the upstreams of a service that this host may use.
    random_source : random.Random
        Source of randomness for the choice among openings of one priority.
    settings : AdmissionSettings
        Settings of the decisions.
    """

    def __init__(
        self,
        picture: load_reports.LoadPicture,
        capacity: CapacityEstimator,
        list_upstreams: ListUpstreams,
        random_source: random.Random,
        settings: admission_settings.AdmissionSettings | None = None,
    ) -> None:
        self._picture = picture
        self._capacity = capacity
        self._list_upstreams = list_upstreams
        self._random = random_source
        self._settings = settings or admission_settings.AdmissionSettings()
        self._table: directory.RouteTable | None = None
        self._priorities_by_service: dict[str, tuple[int, ...]] = {}
        self._samples_by_service: dict[str, collections.deque[_Sample]] = {}
        self._evidence_by_service: dict[str, Evidence] = {}
        # By service and priority: callers over routes whose flows carry a
        # single request open many times more of them than others.
        self._callers_by_key: dict[
            tuple[str, int], caller_counts.CallerCounts
        ] = {}
        # When this host last admitted an opening, by service and priority.
        self._admitted_at: dict[tuple[str, int], datetime.timedelta] = {}
        # Revision of the picture in use, 0 if it is old, and when to look
        # again.
        self._revision = 0
        self._check_at = datetime.timedelta(0)

    def update_routes(self, table: directory.RouteTable | None) -> None:
        """Take over the priorities of the routes in force."""
        if table is self._table:
            return
        self._table = table
        found = collections.defaultdict(set)
        routes = () if table is None else table.routes_by_address.values()
        for route in routes:
            for service in route.weights_by_service:
                found[service].add(route.priority)
        self._priorities_by_service = {
            service: tuple(sorted(priorities))
            for service, priorities in found.items()
            if len(priorities) > 1
        }
        for state_by_service in (
            self._samples_by_service,
            self._evidence_by_service,
        ):
            for service in (
                state_by_service.keys() - self._priorities_by_service
            ):
                del state_by_service[service]
        self._callers_by_key.clear()
        self._admitted_at.clear()

    def decide(
        self,
        service: str,
        priority: int,
        caller: int,
        now: datetime.timedelta,
    ) -> bool:
        """Return whether a new flow may be opened.

        Parameters
        ----------
        service : str
            Service of the flow.
        priority : int
            Priority of its route; 0 is the highest.
        caller : int
            Source address.
        now : datetime.timedelta
            Current time.
        """
        if service not in self._priorities_by_service:
            return True
        # Callers are counted before the overload, which they may cause.
        key = service, priority
        callers = self._callers_by_key.get(key)
        if callers is None:
            callers = self._callers_by_key[key] = caller_counts.CallerCounts(
                self._settings.caller_window, self._settings.max_callers
            )
        openings = callers.add(caller, now)
        evidence = self._evidence(service, now)
        if evidence.overloaded:
            share = evidence.shares_by_priority.get(priority, 1.0)
            if self._is_greedy(openings, callers) or (
                share < 1.0 and self._random.random() >= share
            ):
                return False
        self._admitted_at[service, priority] = now
        return True

    def evidence_of(self, service: str) -> Evidence | None:
        """Return what the latest decision about a service rested on."""
        return self._evidence_by_service.get(service)

    def is_behind_lower(
        self, service: str, priority: int, now: datetime.timedelta
    ) -> bool:
        """Return whether less important openings were admitted just now."""
        since = now - self._settings.refresh_interval
        return any(
            self._admitted_at.get((service, other), since) > since
            for other in self._priorities_by_service.get(service, ())
            if other > priority
        )

    def _is_greedy(
        self, openings: int, callers: caller_counts.CallerCounts
    ) -> bool:
        """Return whether a caller opens far more flows than the others."""
        settings = self._settings
        mean = callers.mean_of_others(openings)
        # A caller alone takes the room of nobody.
        return openings > settings.caller_minimum and (
            0.0 < settings.caller_share * mean < openings
        )

    def _evidence(self, service: str, now: datetime.timedelta) -> Evidence:
        if now >= self._check_at:
            self._check_at = now + self._settings.refresh_interval
            self._revision = 0
            # A sum of no reports has no interval, and says nothing of a rate.
            if self._picture.is_fresh(now) and self._picture.interval:
                self._revision = self._picture.revision
        evidence = self._evidence_by_service.get(service)
        if evidence is None or evidence.revision != self._revision:
            evidence = self._compute(service, now)
            self._evidence_by_service[service] = evidence
        return evidence

    def _compute(self, service: str, now: datetime.timedelta) -> Evidence:
        if not self._revision:
            self._samples_by_service.pop(service, None)
            return Evidence(now)
        samples = self._samples_by_service.setdefault(
            service, collections.deque()
        )
        sample = self._take_sample(service, now)
        samples.append(sample)
        settings = self._settings
        while samples[0].taken_at < sample.taken_at - settings.window:
            samples.popleft()
        full = (
            sample.in_progress >= settings.start_load * sample.limit
            or sample.rejected > settings.max_rejected * sample.started
        )
        # Between the two loads the state stays as it is: if all openings were
        # admitted at once, the next pictures would show the next overload.
        refusing = sample.in_progress >= settings.end_load * sample.limit and (
            any(item.refused for item in samples)
        )
        offered = sum(sample.openings_by_priority.values())
        overloaded = sample.limit > 0 and (full or refusing)
        admitted = self._openings_to_admit(samples) if overloaded else offered
        return Evidence(
            sample.taken_at,
            self._revision,
            overloaded and admitted < offered,
            self._limit_fall(
                service, sample, self._divide(service, sample, admitted)
            ),
            offered,
            admitted,
            sample.in_progress,
            sample.limit,
            sample.free_upstreams,
        )

    def _limit_fall(
        self,
        service: str,
        sample: _Sample,
        shares_by_priority: dict[int, float],
    ) -> dict[int, float]:
        """Return shares that fall no faster than the settings allow."""
        settings = self._settings
        if (
            not sample.finished
            or sample.rejected > settings.fast_rejected * sample.started
        ):
            return shares_by_priority
        before = self._evidence_by_service.get(service)
        previous: collections.abc.Mapping[int, float] = {}
        elapsed_s = self._picture.interval.total_seconds()
        if before is not None and before.overloaded:
            previous = before.shares_by_priority
            elapsed_s = (sample.taken_at - before.computed_at).total_seconds()
        fall = settings.max_fall * max(0.0, elapsed_s)
        return {
            priority: max(share, previous.get(priority, 1.0) - fall)
            for priority, share in shares_by_priority.items()
        }

    def _take_sample(self, service: str, now: datetime.timedelta) -> _Sample:
        in_progress = open_flows = free = 0
        started = finished = rejected = 0
        total = 0.0
        for entry in self._list_upstreams(service, now):
            capacity = self._capacity.estimate(entry.upstream_id, now)
            limit = float(max(1, entry.upstream.slots))
            if capacity.known:
                limit = capacity.limit
            load = self._picture.load_of(entry.upstream_id, now)
            total += limit
            if load is None:
                free += 1
                continue
            free += load.in_progress < limit
            in_progress += load.in_progress
            open_flows += load.open_flows
            started += load.started
            finished += load.finished
            rejected += load.rejected
        demands = self._picture.demand_of(service, now)
        return _Sample(
            now - (self._picture.age(now) or datetime.timedelta(0)),
            in_progress,
            total,
            open_flows,
            started,
            finished,
            rejected,
            free,
            {key: item.openings_per_s for key, item in demands.items()},
            {key: item.refused_per_s for key, item in demands.items()},
        )

    def _openings_to_admit(
        self, samples: collections.abc.Sequence[_Sample]
    ) -> float:
        """Return the openings a second that the upstreams take."""
        first, last = samples[0], samples[-1]
        count = len(samples)
        opened = sum(item.opened for item in samples) / count
        elapsed = (last.taken_at - first.taken_at).total_seconds()
        growth = 0.0
        # The reports of another sender may be older than those before.
        if elapsed > 0.0:
            growth = (last.open_flows - first.open_flows) / elapsed
        ended = max(0.0, opened - growth)
        settling_s = self._settings.settling_time.total_seconds()
        # Flows of one request are gone before the picture shows them.
        flows = max(float(last.open_flows), ended * settling_s / 2)
        return ended + flows * self._spare_load(samples) / settling_s

    def _spare_load(self, samples: collections.abc.Sequence[_Sample]) -> float:
        """Return the room for further load, relative to the present one."""
        last = samples[-1]
        settings = self._settings
        started = sum(item.started for item in samples)
        finished = sum(item.finished for item in samples)
        if not finished:
            return -1.0 if started else 1.0
        rejected = sum(item.rejected for item in samples)
        load = last.in_progress / last.limit
        spare = (
            1.0
            - (started - rejected) / finished
            + settings.queue_gain * (1.0 - load / settings.target_load)
            + max(0.0, 1.0 - load)
        )
        return max(
            -1.0,
            min(spare, settings.max_rejected - rejected / max(1, started)),
        )

    def _divide(
        self, service: str, sample: _Sample, admitted: float
    ) -> dict[int, float]:
        """Return the shares of the priorities, the most important first.

        Only openings of the least important priority pay for the flows that
        are open. The most important ones are never refused for their priority,
        and those in between where they ask for more than the upstreams
        answer: single requests of theirs replace no long flow, and an
        upstream that is full rejects them itself.
        """
        shares_by_priority = {}
        floor = self._settings.min_share * max(sample.opened, admitted)
        priorities = self._priorities_by_service[service]
        interval_s = self._picture.interval.total_seconds()
        left, unanswered = admitted, sample.finished / interval_s
        before = self._evidence_by_service.get(service)
        share = 1.0
        for number, priority in enumerate(priorities):
            offered = sample.openings_by_priority.get(priority, 0.0)
            last = priority == priorities[-1]
            if not last and (
                before is None
                or before.shares_by_priority.get(priority, 1.0) >= 1.0
            ):
                # All of these were refused for their caller, whose excess is
                # no demand to be met.
                offered -= sample.refused_by_priority.get(priority, 0.0)
            room = left if last else max(left, unanswered)
            if number and offered > 0.0:
                share = min(share, max(room, floor) / offered)
            shares_by_priority[priority] = share
            left -= share * offered
            unanswered -= share * offered
        return shares_by_priority
