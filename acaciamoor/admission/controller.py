"""Decision whether a new flow is admitted.

Load pattern: a crowd asks for more than all upstreams of a service take. Most
load comes from long flows that are open already, so that refusals take effect
slowly, and the load picture is 0.2 to 0.4 s old. Refused callers return.
"""

import collections
import collections.abc
import datetime
import random

import msgspec

from acaciamoor import directory
from acaciamoor import load_reports
from acaciamoor.admission import caller_counts
from acaciamoor.admission import evidence as evidences
from acaciamoor.admission import samples as admission_samples
from acaciamoor.admission import settings as admission_settings
from acaciamoor.admission import shares

# Revision of no picture: evidence that is computed anew at the next opening.
_NO_REVISION = -1

ListUpstreams = collections.abc.Callable[
    [str, datetime.timedelta],
    collections.abc.Sequence[directory.UpstreamEntry],
]


class AdmissionController:
    """Refuses openings over less important routes while a service is full.

    All hosts compute the same shares from the same pictures of the last
    second. Their state is these pictures, the counts of callers, and the last
    shares, below which new ones fall only slowly: a host that starts in an
    overload agrees with the others within 1.7 s.

    The number of flows that may be opened is the number that were opened in
    the last second, plus a correction that brings the requests in progress to
    their target. This needs no estimate of the requests that a flow brings.

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
        capacity: admission_samples.CapacityEstimator,
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
        self._samples_by_service: dict[str, admission_samples.Samples] = {}
        self._evidence_by_service: dict[str, evidences.Evidence] = {}
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
        before = self._priorities_by_service
        self._priorities_by_service = {
            service: tuple(sorted(priorities))
            for service, priorities in found.items()
            if len(priorities) > 1
        }
        # Shares hold for the priorities by which they were computed.
        for service, evidence in self._evidence_by_service.items():
            if before[service] != self._priorities_by_service.get(service):
                self._evidence_by_service[service] = msgspec.structs.replace(
                    evidence, revision=_NO_REVISION
                )
        known = self._priorities_by_service.keys()
        for state_by_service in (
            self._samples_by_service,
            self._evidence_by_service,
        ):
            for service in state_by_service.keys() - known:
                del state_by_service[service]
        # Other entries stay: a change of the configuration in an overload
        # must not let a greedy caller start anew.
        for state_by_key in (self._callers_by_key, self._admitted_at):
            for key in list(state_by_key):
                service, priority = key
                if priority not in self._priorities_by_service.get(
                    service, ()
                ):
                    del state_by_key[key]

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

    def evidence_of(self, service: str) -> evidences.Evidence | None:
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
        # The mean takes a pass over all callers, and few have more openings.
        if openings <= settings.caller_minimum:
            return False
        mean = callers.mean_of_others(openings)
        # A caller alone takes the room of nobody.
        return 0.0 < settings.caller_share * mean < openings

    def _evidence(
        self, service: str, now: datetime.timedelta
    ) -> evidences.Evidence:
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

    def _compute(
        self, service: str, now: datetime.timedelta
    ) -> evidences.Evidence:
        if not self._revision:
            self._samples_by_service.pop(service, None)
            return evidences.Evidence(now)
        settings = self._settings
        samples = self._samples_by_service.get(service)
        if samples is None:
            samples = self._samples_by_service[service] = (
                admission_samples.Samples(settings.window)
            )
        sample = admission_samples.take_sample(
            service,
            self._list_upstreams(service, now),
            self._picture,
            self._capacity,
            now,
        )
        samples.add(sample)
        offered = sample.offered
        overloaded = self._is_overloaded(samples)
        admitted = offered
        if overloaded:
            admitted = shares.openings_to_admit(samples, settings)
        return evidences.Evidence(
            sample.taken_at,
            self._revision,
            overloaded and admitted < offered,
            self._share_out(service, sample, admitted),
            offered,
            admitted,
            sample.in_progress,
            sample.limit,
            sample.free_upstreams,
        )

    def _is_overloaded(self, samples: admission_samples.Samples) -> bool:
        settings = self._settings
        sample = samples.last
        full = sample.load >= settings.start_load or (
            sample.rejected > settings.max_rejected * sample.started
            and sample.reported_load >= settings.min_rejecting_load
        )
        # Between the two loads the state stays as it is: if all openings were
        # admitted at once, the next pictures would show the next overload.
        refusing = sample.load >= settings.end_load and samples.refusing
        return sample.limit > 0 and (full or refusing)

    def _share_out(
        self, service: str, sample: admission_samples.Sample, admitted: float
    ) -> dict[int, float]:
        """Return the share of each priority, by the shares before."""
        settings = self._settings
        interval_s = self._picture.interval.total_seconds()
        before = self._evidence_by_service.get(service)
        if (
            before is not None
            and sample.taken_at - before.computed_at > settings.max_gap
        ):
            # It may be from an earlier overload.
            before = None
        shares_by_priority = shares.divide(
            self._priorities_by_service[service],
            sample,
            admitted,
            sample.finished / interval_s,
            settings.min_share,
            {} if before is None else before.shares_by_priority,
        )
        if (
            not sample.finished
            or sample.rejected > settings.fast_rejected * sample.started
        ):
            return shares_by_priority
        if before is None or not before.overloaded:
            return shares.limit_fall(
                shares_by_priority, {}, settings.max_fall * interval_s
            )
        elapsed_s = (sample.taken_at - before.computed_at).total_seconds()
        return shares.limit_fall(
            shares_by_priority,
            before.shares_by_priority,
            settings.max_fall * max(0.0, elapsed_s),
        )
