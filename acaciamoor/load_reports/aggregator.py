"""Sums of the reports of hosts."""

import collections.abc
import datetime

import msgspec

from acaciamoor.load_reports import collector as collectors
from acaciamoor.load_reports import report as reports

# Age above which a report no longer counts; see docs/parts.md, part 3.
MAX_REPORT_AGE = datetime.timedelta(seconds=1)
# Time for which the incarnation and serial of a silent host are remembered.
# Messages of processes that ended arrive at most seconds late.
_MEMORY = datetime.timedelta(seconds=60)
# Earlier incarnations that are remembered of a host.
_MAX_RETIRED = 4
_ZERO = datetime.timedelta(0)


class _Received(msgspec.Struct):
    """Last report of a host; `retired` has its earlier incarnations."""

    report: reports.HostReport
    taken_at: datetime.timedelta
    received_at: datetime.timedelta
    retired: tuple[int, ...] = ()


class ReportAggregator:
    """Sums the last reports of this host and of those that report to it.

    Parameters
    ----------
    host_id, data_centre : str
        This host.
    incarnation : int
        Random number of the process.

    Examples
    --------
    >>> second = datetime.timedelta(seconds=1)
    >>> aggregator = ReportAggregator('h-1', 'kgn-a', 7)
    >>> report = reports.HostReport(
    ...     'h-2', 'kgn-a', 9, 1, 0.2, [reports.UpstreamLoad('desk-1', 3)]
    ... )
    >>> aggregator.record(report, second), aggregator.record(report, second)
    (True, False)
    >>> aggregator.summarize(1.5 * second).upstreams[0].in_progress
    3
    >>> aggregator.summarize(2.5 * second).hosts
    0
    """

    def __init__(
        self, host_id: str, data_centre: str, incarnation: int
    ) -> None:
        self._host_id = host_id
        self._data_centre = data_centre
        self._incarnation = incarnation
        self._serial = 0
        self._received_by_host: dict[str, _Received] = {}

    def record(
        self, report: reports.HostReport, now: datetime.timedelta
    ) -> bool:
        """Record a report; return whether it counts.

        A report of another data centre, of an earlier incarnation or of a
        serial that was seen before does not.

        Parameters
        ----------
        report : HostReport
            The report.
        now : datetime.timedelta
            Time to which the age in the report refers.
        """
        if report.data_centre != self._data_centre:
            return False
        received = self._received_by_host.get(report.host_id)
        retired: tuple[int, ...] = ()
        if received is not None:
            before = received.report
            retired = received.retired
            if report.incarnation in retired:
                return False
            if report.incarnation != before.incarnation:
                retired = (*retired, before.incarnation)[-_MAX_RETIRED:]
            elif report.serial <= before.serial:
                return False
        elif len(self._received_by_host) >= reports.MAX_HOSTS:
            return False
        self._received_by_host[report.host_id] = _Received(
            report,
            now - datetime.timedelta(seconds=report.age),
            now,
            retired,
        )
        return True

    def summarize(self, now: datetime.timedelta) -> reports.LoadSummary:
        """Return the sum of the reports, for all hosts."""
        received = self._select(now)
        self._serial += 1
        return reports.LoadSummary(
            self._data_centre,
            self._host_id,
            self._incarnation,
            self._serial,
            min(
                sum(item.report.hosts for item in received), reports.MAX_HOSTS
            ),
            _mean_age(received, now),
            _mean_interval(received),
            _sum_upstreams(received),
            _sum_demands(received),
        )

    def combine(self, now: datetime.timedelta) -> reports.HostReport:
        """Return the sum of the reports as a report of this host."""
        summary = self.summarize(now)
        return reports.HostReport(
            self._host_id,
            self._data_centre,
            self._incarnation,
            summary.serial,
            summary.interval,
            summary.upstreams,
            summary.demands,
            summary.hosts,
            summary.age,
        )

    def _select(self, now: datetime.timedelta) -> list[_Received]:
        for host_id, item in list(self._received_by_host.items()):
            if now - item.received_at > _MEMORY:
                del self._received_by_host[host_id]
        return [
            item
            for item in self._received_by_host.values()
            if now - item.taken_at <= MAX_REPORT_AGE
        ]


def _mean_age(
    received: collections.abc.Sequence[_Received], now: datetime.timedelta
) -> float:
    hosts = sum(item.report.hosts for item in received)
    ages = (
        max(_ZERO, now - item.taken_at).total_seconds() * item.report.hosts
        for item in received
    )
    return reports.round_seconds(sum(ages) / hosts) if hosts else 0.0


def _mean_interval(received: collections.abc.Sequence[_Received]) -> float:
    hosts = sum(item.report.hosts for item in received)
    intervals = (item.report.interval * item.report.hosts for item in received)
    return reports.round_seconds(sum(intervals) / hosts) if hosts else 0.0


def _sum_upstreams(
    received: collections.abc.Sequence[_Received],
) -> list[reports.UpstreamLoad]:
    if len(received) == 1:
        # Nearly all hosts have no report but their own.
        return received[0].report.upstreams
    # Lists are summed: a struct for each addition takes several times as
    # long.
    sums_by_id: dict[str, list[float]] = {}
    for item in received:
        for load in item.report.upstreams:
            sums = sums_by_id.get(load.upstream_id)
            if sums is None:
                sums_by_id[load.upstream_id] = [
                    load.in_progress,
                    load.open_flows,
                    load.started,
                    load.finished,
                    load.busy_seconds,
                    load.rejected,
                    load.openings,
                    load.unanswered,
                ]
            else:
                sums[0] += load.in_progress
                sums[1] += load.open_flows
                sums[2] += load.started
                sums[3] += load.finished
                sums[4] += load.busy_seconds
                sums[5] += load.rejected
                sums[6] += load.openings
                sums[7] += load.unanswered
    for sums in sums_by_id.values():
        if max(sums) > reports.MAX_COUNT:
            sums[:] = [min(number, reports.MAX_COUNT) for number in sums]
    loads = [
        reports.UpstreamLoad(upstream_id, *sums)
        for upstream_id, sums in sums_by_id.items()
    ]
    return collectors.select_busiest(loads, reports.MAX_UPSTREAMS)


def _sum_demands(
    received: collections.abc.Sequence[_Received],
) -> list[reports.ServiceDemand]:
    if len(received) == 1:
        return received[0].report.demands
    sums_by_key: dict[tuple[str, int], list[int]] = {}
    for item in received:
        for demand in item.report.demands:
            sums = sums_by_key.setdefault(
                (demand.service, demand.priority), [0, 0]
            )
            sums[0] += demand.openings
            sums[1] += demand.refused
    demands = [
        reports.ServiceDemand(
            service,
            priority,
            *(min(number, reports.MAX_COUNT) for number in sums),
        )
        for (service, priority), sums in sums_by_key.items()
    ]
    return collectors.select_largest(demands)
