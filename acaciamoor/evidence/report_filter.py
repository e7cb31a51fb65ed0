"""Which evidence of a host goes into its reports."""

import datetime

import msgspec

from acaciamoor import load_reports
from acaciamoor import model

# Time over which a host compares the upstreams that answered it with those
# that did not. Flows of callers pause for 0.6 s on average, so that most
# upstreams in use are heard from within it.
_WINDOW = datetime.timedelta(seconds=2)
# Silent upstreams from which on "most of them" says something about the link.
# A host that has tried two upstreams by chance tried two that have failed.
_MIN_SILENT = 3


class ReportFilter:
    """Leaves doubtful evidence out of the reports of this host.

    To a host whose own link fails, all upstreams are silent. One without
    contact to the store may hold upstreams for ready that are gone.

    Examples
    --------
    >>> second = datetime.timedelta(seconds=1)
    >>> loads = [load_reports.UpstreamLoad('a', openings=1, unanswered=1)]
    >>> report = load_reports.HostReport('h-1', 'kgn-a', 7, 2, 0.2, loads)
    >>> ReportFilter().apply(report, True, second).upstreams[0].unanswered
    0
    """

    def __init__(self) -> None:
        self._heard_at_by_id: dict[model.UpstreamId, datetime.timedelta] = {}
        self._silent_at_by_id: dict[model.UpstreamId, datetime.timedelta] = {}

    def apply(
        self,
        report: load_reports.HostReport,
        in_contact: bool,
        now: datetime.timedelta,
    ) -> load_reports.HostReport:
        """Return the report with the evidence that others can trust.

        Parameters
        ----------
        report : HostReport
            Report of this host.
        in_contact : bool
            Whether the host is in contact with the store.
        now : datetime.timedelta
            Current time.
        """
        heard, silent = self._heard_at_by_id, self._silent_at_by_id
        for load in report.upstreams:
            if load.finished or load.rejected:
                heard[load.upstream_id] = now
                silent.pop(load.upstream_id, None)
            elif load.unanswered:
                silent[load.upstream_id] = now
        for times in (heard, silent):
            for upstream_id, when in list(times.items()):
                if now - when > _WINDOW:
                    del times[upstream_id]
        # An upstream that has fallen silent was heard before.
        answering = len(heard.keys() - silent)
        trusted = (
            in_contact
            and answering > 0
            and (len(silent) < _MIN_SILENT or len(silent) <= answering)
        )
        if not trusted:
            report = msgspec.structs.replace(
                report, upstreams=[_hide(load) for load in report.upstreams]
            )
        return limit_unanswered(report, 1 if trusted else 0)


def _hide(load: load_reports.UpstreamLoad) -> load_reports.UpstreamLoad:
    """Leave out openings at an upstream that has answered no request.

    Without the unanswered ones they would pass for answered openings.
    """
    if load.finished or load.rejected or not load.openings:
        return load
    return msgspec.structs.replace(load, openings=0, unanswered=0)


def limit_unanswered(
    report: load_reports.HostReport, limit: int | None = None
) -> load_reports.HostReport:
    """Return a report in which a host counts once for each upstream.

    Otherwise a single host with a fault could convince all others. Unanswered
    openings beyond the limit are left out of the openings, too.

    Parameters
    ----------
    report : HostReport
        Report of a host, or the sum of several.
    limit : int or None
        Unanswered openings at an upstream that count; None for one of each
        host in the report.
    """
    if limit is None:
        limit = report.hosts
    ids = {load.upstream_id for load in report.upstreams}
    if len(ids) == len(report.upstreams) and all(
        load.unanswered <= limit for load in report.upstreams
    ):
        return report
    # An upstream that is named several times counts with the first load.
    loads_by_id: dict[model.UpstreamId, load_reports.UpstreamLoad] = {}
    for load in report.upstreams:
        loads_by_id.setdefault(load.upstream_id, load)
    return msgspec.structs.replace(
        report,
        upstreams=[_limit(load, limit) for load in loads_by_id.values()],
    )


def _limit(
    load: load_reports.UpstreamLoad, limit: int
) -> load_reports.UpstreamLoad:
    excess = load.unanswered - limit
    if excess <= 0:
        return load
    return msgspec.structs.replace(
        load,
        openings=max(limit, load.openings - excess),
        unanswered=limit,
    )
