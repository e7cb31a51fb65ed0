"""Messages and bytes of load reports, computed from encoded sizes.

``python -m acaciamoor.load.report_traffic`` prints the table of
docs/design/load-reports.md.
"""

import random

import msgspec

from acaciamoor import load_reports
from acaciamoor import replica
from acaciamoor.load_reports import report as reports

# New flows a second at a host: 690,000 at 11,000 hosts (docs/CAPACITY.md).
OPENINGS_PER_S = 63
# Requests last for 50 ms; one in ten flows carries one at a time.
REQUEST_S = 0.05
SERVICES = 4
PRIORITIES = 3
# Hosts that report to a branch, and hosts for each branch.
HOSTS_PER_BRANCH = 16
# Sites of the table: hosts and upstreams of a data centre, data centres.
SITES = ((9, 15, 1), (25, 100, 3), (100, 400, 3), (367, 2333, 30))
HEADINGS = ('listener', 'branch', 'first host', 'relay of the site')


def make_loads(
    upstreams: int, requests: int, random_source: random.Random, first: int = 0
) -> list[load_reports.UpstreamLoad]:
    """Return loads of the upstreams that the requests of an interval use.

    `first` is the number of the first upstream.
    """
    started = [0] * upstreams
    for _ in range(requests):
        started[random_source.randrange(upstreams)] += 1
    return [
        load_reports.UpstreamLoad(
            f'order-desk-{first + number:05}',
            max(1, count // 4),
            count,
            count,
            count,
            reports.round_seconds(count * REQUEST_S * random_source.random()),
            0,
            count,
            0,
        )
        for number, count in enumerate(started)
        if count
    ]


def make_demands(requests: int) -> list[load_reports.ServiceDemand]:
    """Return demands of all services and priorities."""
    keys = [(s, p) for s in range(SERVICES) for p in range(PRIORITIES)]
    return [
        load_reports.ServiceDemand(
            f'order-desk-{service}', priority, requests // len(keys), 0
        )
        for service, priority in keys
    ]


def encode(
    message_type: type[replica.Report] | type[replica.Summary], body: object
) -> int:
    """Return the size of a message on the wire, without TCP and IP."""
    raw = msgspec.Raw(msgspec.msgpack.encode(body))
    return len(replica.MessageCodec().encode(message_type(raw, 12345.678)))


class Sizes:
    """Sizes of the messages of a site, in bytes, and its pace.

    Parameters
    ----------
    hosts, upstreams : int
        Hosts and upstreams of each data centre.
    data_centres : int
        Data centres of the site.
    """

    def __init__(self, hosts: int, upstreams: int, data_centres: int) -> None:
        source = random.Random(1)
        self.hosts = hosts
        self.data_centres = data_centres
        self.pace = load_reports.Pace.of(hosts, data_centres)
        self.branches = (
            -(-hosts // HOSTS_PER_BRANCH)
            if hosts > 2 * HOSTS_PER_BRANCH
            else 0
        )
        seconds = self.pace.interval.total_seconds()

        def report(count: int) -> load_reports.HostReport:
            requests = int(OPENINGS_PER_S * seconds * count)
            loads = make_loads(upstreams, requests, source)
            return load_reports.limit_report(
                load_reports.HostReport(
                    'entry-kgn-a-0017',
                    'kgn-a',
                    1 << 31,
                    5000,
                    seconds,
                    loads,
                    make_demands(requests),
                    count,
                    0.1234,
                ),
                self.pace,
            )

        self.report = encode(replica.Report, report(1))
        self.idle = encode(
            replica.Report,
            msgspec.structs.replace(report(1), upstreams=[], demands=[]),
        )
        self.branch_report = encode(replica.Report, report(HOSTS_PER_BRANCH))
        total = report(hosts)
        summary = load_reports.LoadSummary(
            'kgn-a',
            'entry-kgn-a-0017',
            1 << 31,
            5000,
            hosts,
            0.1234,
            seconds,
            make_loads(
                upstreams, int(OPENINGS_PER_S * seconds * hosts), source
            ),
            total.demands,
        )
        self.summary = encode(
            replica.Summary,
            [load_reports.limit_summary(summary, self.pace.summary_upstreams)],
        )
        foreign = load_reports.limit_summary(
            summary, self.pace.foreign_upstreams
        )
        self.foreign = encode(replica.Summary, [foreign])
        self.foreign_interval = self.pace.foreign_interval_for(
            len(foreign.upstreams)
        )
        # Sums that arrive at the relay in an interval go on as one message.
        waiting = round(
            (data_centres - 1) * self.pace.interval / self.foreign_interval
        )
        self.batch = 0
        if waiting:
            self.batch = encode(
                replica.Summary,
                [
                    msgspec.structs.replace(
                        foreign,
                        data_centre=f'kgn-{number}',
                        sender=f'entry-kgn-{number}-0017',
                        incarnation=source.getrandbits(32),
                        serial=5000 + number,
                        # Equal loads would take no bytes after the first.
                        upstreams=load_reports.limit_summary(
                            msgspec.structs.replace(
                                summary,
                                upstreams=make_loads(
                                    upstreams,
                                    int(OPENINGS_PER_S * seconds * hosts),
                                    source,
                                    (number + 1) * upstreams,
                                ),
                            ),
                            self.pace.foreign_upstreams,
                        ).upstreams,
                        demands=[
                            load_reports.ServiceDemand(
                                demand.service,
                                demand.priority,
                                demand.openings + source.randrange(100),
                                source.randrange(9),
                            )
                            for demand in foreign.demands
                        ],
                    )
                    for number in range(waiting)
                ],
            )

    def rates(self) -> tuple[tuple[float, float] | None, ...]:
        """Return messages and bytes a second, sent and received, by role.

        A report or summary is counted once at its sender and once at its
        receiver.
        """
        own = 1 / self.pace.interval.total_seconds()
        abroad = 1 / self.foreign_interval.total_seconds()
        others = self.data_centres - 1
        # Hosts that report to the first one.
        below = self.branches + 1 if self.branches else self.hosts - 1
        below_report = self.branch_report if self.branches else self.report
        # The own sum, and that of the others, for one receiver.
        batches = own if self.batch else 0.0
        down = own + batches
        down_bytes = own * self.summary + batches * self.batch
        listener = own + down, own * self.report + down_bytes
        branch = (
            own + down + HOSTS_PER_BRANCH * (own + down),
            own * self.branch_report
            + down_bytes
            + HOSTS_PER_BRANCH * (own * self.report + down_bytes),
        )
        up = abroad if others else 0.0
        first = (
            below * (own + down) + up + batches,
            below * (own * below_report + down_bytes)
            + up * self.foreign
            + batches * self.batch,
        )
        # As the first host of its data centre, and for the other ones.
        relay = (
            below * (own + down) + others * (abroad + batches),
            below * (own * below_report + down_bytes)
            + others * (abroad * self.foreign + batches * self.batch),
        )
        if not self.branches:
            branch = None
        return listener, branch, first, relay


def main() -> None:
    """Print the table."""
    for site in SITES:
        sizes = Sizes(*site)
        pace = sizes.pace
        print(
            f'{site[0] * site[2]} hosts: {site[2]} x {site[0]} hosts, '
            f'{site[1]} upstreams each; interval '
            f'{pace.interval.total_seconds():.3f} s, foreign '
            f'{sizes.foreign_interval.total_seconds():.3f} s; upstreams in '
            f'a report {pace.report_upstreams}, summary '
            f'{pace.summary_upstreams}, foreign {pace.foreign_upstreams}; '
            f'bytes: report {sizes.report}, idle {sizes.idle}, branch '
            f'{sizes.branch_report}, summary {sizes.summary}, foreign '
            f'{sizes.foreign}, batch {sizes.batch}'
        )
        for heading, rate in zip(HEADINGS, sizes.rates(), strict=True):
            if rate is not None:
                print(f'  {heading}: {rate[0]:.1f}/s, {rate[1]:,.0f} B/s')


if __name__ == '__main__':
    main()
