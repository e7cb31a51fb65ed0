"""Counts of the load that passes this host."""

import collections.abc
import datetime
import heapq

from acaciamoor.load_reports import rejections
from acaciamoor.load_reports import report as reports

_ZERO = datetime.timedelta(0)


class _Counts:
    """Counts of an upstream; the first two are levels."""

    __slots__ = (
        'busy_seconds',
        'finished',
        'in_progress',
        'open_flows',
        'openings',
        'rejected',
        'started',
        'unanswered',
    )

    def __init__(self) -> None:
        self.in_progress = 0
        self.open_flows = 0
        self.clear_interval()

    def clear_interval(self) -> None:
        self.started = 0
        self.finished = 0
        self.busy_seconds = 0.0
        self.rejected = 0
        self.openings = 0
        self.unanswered = 0

    def to_load(self, upstream_id: str) -> reports.UpstreamLoad | None:
        """Return what a report says of the upstream; None if it is idle."""
        seconds = self.busy_seconds and reports.round_seconds(
            self.busy_seconds
        )
        if not (
            self.in_progress
            or self.open_flows
            or self.started
            or self.finished
            or seconds
            or self.rejected
            or self.openings
            or self.unanswered
        ):
            return None
        return reports.UpstreamLoad(
            upstream_id,
            self.in_progress,
            self.open_flows,
            self.started,
            self.finished,
            seconds,
            self.rejected,
            self.openings,
            self.unanswered,
        )


class LoadCollector:
    """Counts the load that passes this host, for its reports.

    Methods are called at the start and end of flows and requests, not for
    each packet.

    Parameters
    ----------
    host_id, data_centre : str
        This host.
    incarnation : int
        Random number of the process.
    """

    def __init__(
        self, host_id: str, data_centre: str, incarnation: int
    ) -> None:
        self.host_id = host_id
        self.data_centre = data_centre
        self.incarnation = incarnation
        self._serial = 0
        self._taken_at: datetime.timedelta | None = None
        self._counts_by_id: dict[str, _Counts] = {}
        self._usual_by_service: dict[str, rejections.UsualResponse] = {}
        # New flows, and refused ones, by service and priority.
        self._demands_by_key: dict[tuple[str, int], list[int]] = {}

    def add_flow(self, upstream_id: str) -> None:
        """Record a flow that was not tracked before."""
        self._find(upstream_id).open_flows += 1

    def remove_flow(self, upstream_id: str) -> None:
        """Record the end of a flow."""
        counts = self._counts_by_id.get(upstream_id)
        if counts is not None and counts.open_flows:
            counts.open_flows -= 1

    def begin_request(self, upstream_id: str) -> None:
        """Record that a request was sent to an upstream."""
        counts = self._find(upstream_id)
        counts.in_progress += 1
        counts.started += 1

    def abandon_request(self, upstream_id: str) -> None:
        """Record that a request ended without an answer."""
        counts = self._counts_by_id.get(upstream_id)
        if counts is not None and counts.in_progress:
            counts.in_progress -= 1

    def finish_request(
        self,
        upstream_id: str,
        service: str,
        duration: datetime.timedelta,
        size: int,
        in_progress: bool = True,
    ) -> None:
        """Record that a request was answered.

        Parameters
        ----------
        upstream_id : str
            The upstream.
        service : str
            Its service.
        duration : datetime.timedelta
            Time from the request to the first acknowledgement.
        size : int
            Bytes of the response that were acknowledged by then.
        in_progress : bool
            Whether the request still counts as in progress.
        """
        if in_progress:
            self.abandon_request(upstream_id)
        counts = self._find(upstream_id)
        usual = self._usual_by_service.get(service)
        if usual is None:
            usual = self._usual_by_service[service] = (
                rejections.UsualResponse()
            )
        seconds = duration.total_seconds()
        if usual.record(size, seconds):
            counts.rejected += 1
        else:
            counts.finished += 1
            counts.busy_seconds += max(0.0, seconds)

    def add_opening(self, upstream_id: str) -> None:
        """Record an opening packet that is sent to an upstream."""
        self._find(upstream_id).openings += 1

    def add_unanswered(self, upstream_id: str) -> None:
        """Record an opening packet that the upstream did not answer."""
        self._find(upstream_id).unanswered += 1

    def add_demand(
        self, service: str, priority: int, refused: bool = False
    ) -> None:
        """Record a new flow, and whether this host refused it for overload.

        Flows that are refused for other causes are not recorded.
        """
        demand = self._demands_by_key.setdefault((service, priority), [0, 0])
        demand[0] += 1
        demand[1] += refused

    def retain_services(self, services: collections.abc.Set[str]) -> None:
        """Remove what was learned of the responses of all other services."""
        for service in self._usual_by_service.keys() - services:
            del self._usual_by_service[service]

    def take_report(self, now: datetime.timedelta) -> reports.HostReport:
        """Return the report since the last one, and start the next one."""
        interval = _ZERO if self._taken_at is None else now - self._taken_at
        self._taken_at = now
        self._serial += 1
        upstreams = []
        # Upstreams without load are dropped here, also those that no longer
        # exist. The flows of an upstream may outlive its entry.
        for upstream_id, counts in list(self._counts_by_id.items()):
            load = counts.to_load(upstream_id)
            if load is None:
                del self._counts_by_id[upstream_id]
                continue
            upstreams.append(load)
            counts.clear_interval()
        demands = [
            reports.ServiceDemand(service, priority, openings, refused)
            for (service, priority), (
                openings,
                refused,
            ) in self._demands_by_key.items()
        ]
        self._demands_by_key.clear()
        return reports.HostReport(
            self.host_id,
            self.data_centre,
            self.incarnation,
            self._serial,
            max(_ZERO, interval).total_seconds(),
            select_busiest(upstreams, reports.MAX_UPSTREAMS),
            select_largest(demands),
        )

    def _find(self, upstream_id: str) -> _Counts:
        counts = self._counts_by_id.get(upstream_id)
        if counts is None:
            counts = self._counts_by_id[upstream_id] = _Counts()
        return counts


def select_largest(
    demands: list[reports.ServiceDemand],
) -> list[reports.ServiceDemand]:
    """Return as many demands as a report may hold, the largest first."""
    if len(demands) <= reports.MAX_DEMANDS:
        return demands
    return heapq.nlargest(
        reports.MAX_DEMANDS, demands, key=lambda demand: demand.openings
    )


def select_busiest(
    loads: list[reports.UpstreamLoad], limit: int
) -> list[reports.UpstreamLoad]:
    """Return the upstreams that matter most, at most `limit` of them.

    Those with signs of a failure come first, then those with most requests.
    """
    if len(loads) <= limit:
        return loads
    return heapq.nlargest(
        limit,
        loads,
        key=lambda load: (
            load.unanswered + load.rejected,
            load.in_progress,
            load.openings,
            load.started,
        ),
    )
