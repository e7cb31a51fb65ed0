"""Builders of reports and summaries for tests."""

import datetime

from acaciamoor import load_reports

SECOND = datetime.timedelta(seconds=1)
MS = datetime.timedelta(milliseconds=1)


def load(upstream_id: str = 'desk-1', **numbers) -> load_reports.UpstreamLoad:
    """Return the load of an upstream."""
    return load_reports.UpstreamLoad(upstream_id, **numbers)


def report(
    host_id: str = 'h-1',
    serial: int = 1,
    *loads: load_reports.UpstreamLoad,
    data_centre: str = 'kgn-a',
    incarnation: int = 1,
    **fields,
) -> load_reports.HostReport:
    """Return the report of a host."""
    return load_reports.HostReport(
        host_id, data_centre, incarnation, serial, 0.2, list(loads), **fields
    )


def summary(
    sender: str = 'h-1',
    serial: int = 1,
    *loads: load_reports.UpstreamLoad,
    data_centre: str = 'kgn-a',
    incarnation: int = 1,
    hosts: int = 75,
    age: float = 0.0,
    demands=(),
    interval: float = 0.2,
) -> load_reports.LoadSummary:
    """Return the sum of the reports of a data centre."""
    return load_reports.LoadSummary(
        data_centre,
        sender,
        incarnation,
        serial,
        hosts,
        age,
        interval,
        list(loads),
        list(demands),
    )
