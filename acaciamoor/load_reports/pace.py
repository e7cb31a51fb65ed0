"""How often hosts report, and how much a message holds."""

import datetime

import msgspec

from acaciamoor.load_reports import collector as collectors
from acaciamoor.load_reports import report as reports

# Hosts of a data centre from which on reports are used. With fewer, a host
# sees enough of the load itself; see docs/parts.md, part 3.
MIN_HOSTS = 8
# Interval between the reports of a host; see docs/parts.md, part 3.
MIN_INTERVAL = datetime.timedelta(milliseconds=200)
# A report waits for up to one interval at a branch, at the first host and at
# its receiver. Three of these intervals stay below the 1.5 s after which a
# summary counts for nothing, also with one lost message.
MAX_INTERVAL = datetime.timedelta(milliseconds=300)
# Hosts of a site up to which the shortest interval is used. The longest one
# holds from 48 hosts on: at 200 ms, a listener in three data centres of 25
# hosts took 11.6 KB/s, above the budget of 9 KB/s.
_HOSTS_AT_MIN_INTERVAL = 32
# Hosts of a data centre above which the size of messages is limited. With 25
# hosts before 100 upstreams, the longest interval keeps to the budget; with
# 100 hosts before 400 upstreams, a listener took 27.9 KB/s at 267 ms, and with
# 32 before 128, in three data centres, 9.0 KB/s at 300 ms without heartbeats.
MAX_UNLIMITED_HOSTS = 25
# Bytes a second for a host above that, of the budget of 9 KB/s: for its own
# reports, for the summary of its data centre, and for the upstreams of all
# others, which is shared among them. With 30 data centres nothing of it is
# left for upstreams; their demands take 3.2 KB/s. Heartbeats take 0.8 KB/s.
REPORT_BYTES_PER_S = 1500
SUMMARY_BYTES_PER_S = 3000
FOREIGN_BYTES_PER_S = 4000
# Encoded size of an upstream, and that of all other fields of a message with
# 12 demands, in bytes and compressed; load/tests/test_report_traffic.py
# checks them.
UPSTREAM_BYTES = 10
FIXED_BYTES = 230
# Data centres above which sums go to other data centres at every second
# interval: traffic between them grows with the square of their number. At the
# longest interval this leaves 0.9 s of the 1.5 s for the way.
_MAX_DATA_CENTRES_AT_FULL_PACE = 4
# Upstreams a second in the sums of other data centres, above which these too
# go at every second interval. Without this, a listener in three data centres
# of 25 hosts and 100 upstreams took 9.6 KB/s without heartbeats.
_FOREIGN_UPSTREAMS_PER_S = 400


class Pace(msgspec.Struct, frozen=True):
    """Interval of the reports, and upstreams in a message of each type.

    Parameters
    ----------
    interval : datetime.timedelta
        Interval between reports, and between summaries.
    foreign_interval : datetime.timedelta
        Interval between summaries for other data centres; see also
        `foreign_interval_for`.
    report_upstreams : int
        Upstreams in a report, for each of its hosts.
    summary_upstreams : int
        Upstreams in the summary for the own data centre.
    foreign_upstreams : int
        Upstreams in the summary for other data centres.
    full_pace_upstreams : int
        Upstreams in that summary above which it is sent less often.

    Examples
    --------
    >>> Pace.of(9, 1).interval / datetime.timedelta(milliseconds=1)
    200.0
    >>> Pace.of(367, 30).interval / datetime.timedelta(milliseconds=1)
    300.0
    >>> Pace.of(25, 3).interval / datetime.timedelta(milliseconds=1)
    300.0
    """

    interval: datetime.timedelta
    foreign_interval: datetime.timedelta
    report_upstreams: int = reports.MAX_UPSTREAMS
    summary_upstreams: int = reports.MAX_UPSTREAMS
    foreign_upstreams: int = reports.MAX_UPSTREAMS
    full_pace_upstreams: int = reports.MAX_UPSTREAMS

    @classmethod
    def of(cls, hosts: int, data_centres: int) -> 'Pace':
        """Return the pace in a data centre.

        Parameters
        ----------
        hosts : int
            Hosts of the data centre.
        data_centres : int
            Data centres whose summaries are known, with the own one.
        """
        site_hosts = hosts * data_centres
        interval = MIN_INTERVAL * site_hosts / _HOSTS_AT_MIN_INTERVAL
        interval = min(max(interval, MIN_INTERVAL), MAX_INTERVAL)
        foreign_interval = interval
        if data_centres > _MAX_DATA_CENTRES_AT_FULL_PACE:
            foreign_interval = 2 * interval
        if hosts <= MAX_UNLIMITED_HOSTS:
            full_pace_upstreams = (
                _FOREIGN_UPSTREAMS_PER_S
                * interval.total_seconds()
                / max(1, data_centres - 1)
            )
            return cls(
                interval,
                foreign_interval,
                full_pace_upstreams=int(full_pace_upstreams),
            )
        foreign_bytes_per_s = FOREIGN_BYTES_PER_S / max(1, data_centres - 1)
        return cls(
            interval,
            foreign_interval,
            _count_upstreams(REPORT_BYTES_PER_S, interval),
            _count_upstreams(SUMMARY_BYTES_PER_S, interval),
            _count_upstreams(foreign_bytes_per_s, foreign_interval),
        )

    def foreign_interval_for(self, upstreams: int) -> datetime.timedelta:
        """Return the interval of summaries for other data centres.

        Parameters
        ----------
        upstreams : int
            Upstreams in a summary.
        """
        if upstreams > self.full_pace_upstreams:
            return max(2 * self.interval, self.foreign_interval)
        return self.foreign_interval


def _count_upstreams(bytes_per_s: float, interval: datetime.timedelta) -> int:
    size = bytes_per_s * interval.total_seconds()
    count = int((size - FIXED_BYTES) / UPSTREAM_BYTES)
    return min(max(count, 0), reports.MAX_UPSTREAMS)


def limit_report(report: reports.HostReport, pace: Pace) -> reports.HostReport:
    """Return a report of the busiest upstreams.

    The sum of a branch holds as many as the reports of its hosts.
    """
    upstreams = pace.report_upstreams * report.hosts
    if len(report.upstreams) <= upstreams:
        return report
    return msgspec.structs.replace(
        report,
        upstreams=collectors.select_busiest(report.upstreams, upstreams),
    )


def limit_summary(
    summary: reports.LoadSummary, upstreams: int
) -> reports.LoadSummary:
    """Return a summary of the busiest upstreams."""
    if len(summary.upstreams) <= upstreams:
        return summary
    return msgspec.structs.replace(
        summary,
        upstreams=collectors.select_busiest(summary.upstreams, upstreams),
    )
