"""Builders of sums and hosts for tests of the shared evidence."""

import datetime

from acaciamoor import evidence
from acaciamoor import load_reports
from acaciamoor.directory.tests import builders as directory_builders

SECOND = datetime.timedelta(seconds=1)
INTERVAL = 0.2 * SECOND


def load(upstream_id='desk-1', unanswered=0, finished=0, openings=None):
    """Return the load of an upstream in an interval."""
    if openings is None:
        openings = unanswered
    return load_reports.UpstreamLoad(
        upstream_id,
        started=finished,
        finished=finished,
        openings=openings,
        unanswered=unanswered,
    )


def report(*loads, serial=1, hosts=1):
    """Return the report of a host."""
    return load_reports.HostReport(
        'h-1', 'kgn-a', 1, serial, 0.2, list(loads), hosts=hosts
    )


class Judge:
    """Evidence of a host that receives a sum in each interval."""

    def __init__(self, upstreams=4, settings=None):
        self.evidence = evidence.SharedEvidence('kgn-a', settings)
        self.entries = [
            directory_builders.upstream_entry(f'desk-{number}')
            for number in range(upstreams)
        ]
        self.now = SECOND
        self.serial = 0

    def receive(self, *loads, times=1, remote_loads=None):
        """Take in the same loads in some intervals; return the changes."""
        changes = []
        for _ in range(times):
            self.now += INTERVAL
            self.serial += 1
            found = {'kgn-a': loads}
            if remote_loads is not None:
                found['kgn-b'] = remote_loads
            summaries = {
                data_centre: load_reports.LoadSummary(
                    data_centre,
                    f'{data_centre}-1',
                    1,
                    self.serial,
                    75,
                    0.1,
                    0.2,
                    list(items),
                )
                for data_centre, items in found.items()
            }
            changes += self.evidence.update(summaries, self.now)
        return changes

    def verdict(self, upstream_id='desk-1'):
        """Return the verdict on an upstream."""
        return self.evidence.verdicts_by_id.get(
            upstream_id, evidence.Verdict.HEALTHY
        )

    def avoided(self, demand=0.5):
        """Return the upstreams that new flows avoid."""
        return self.evidence.select_avoided(self.entries, demand)
