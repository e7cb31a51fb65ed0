"""The load pattern in which hosts share the loads of upstreams.

All hosts see the same loads, 200 ms old. If each of them takes the upstream
with the least load, all fill the same one until the next summary.
``python -m acaciamoor.load.shared_loads`` prints the table of
docs/design/load-reports.md.
"""

import collections
import collections.abc
import datetime
import heapq
import random

from acaciamoor import load_reports

_MS = datetime.timedelta(milliseconds=1)
HOSTS = 75
SLOTS = 20
UPSTREAMS = [f'desk-{number}' for number in range(15)]
# Usual demand in slots (docs/load.md).
DEMAND = 0.55
DURATION_MS = 100
# Two fifths of the upstreams are five times slower (docs/parts.md).
SLOW_UPSTREAMS = 6
SLOWNESS = 5
INTERVAL_MS = 200
# Age of a summary when it reaches the hosts.
DELAY_MS = 200
PERIOD_MS = 4000


Choose = collections.abc.Callable[
    [load_reports.LoadPicture, datetime.timedelta, random.Random], str
]


def free_slots(
    picture: load_reports.LoadPicture,
    upstream_id: str,
    now: datetime.timedelta,
) -> int:
    """Return the room of an upstream, as the picture shows it."""
    load = picture.load_of(upstream_id, now)
    return SLOTS - (0 if load is None else load.in_progress)


def choose_least_loaded(
    picture: load_reports.LoadPicture,
    now: datetime.timedelta,
    random_source: random.Random,
) -> str:
    """Return the upstream with the least load; the naive choice."""
    return max(UPSTREAMS, key=lambda name: free_slots(picture, name, now))


def choose_any(
    picture: load_reports.LoadPicture,
    now: datetime.timedelta,
    random_source: random.Random,
) -> str:
    """Return any upstream, as without shared loads."""
    return random_source.choice(UPSTREAMS)


def choose_by_capacity(
    picture: load_reports.LoadPicture,
    now: datetime.timedelta,
    random_source: random.Random,
) -> str:
    """Return an upstream with a chance in proportion to its capacity.

    It is the number of slots by the mean duration of the requests, which does
    not follow the hosts' own choices as free slots do.
    """
    weights = []
    for name in UPSTREAMS:
        load = picture.load_of(name, now)
        if load is None or not load.finished or not load.busy_seconds:
            weights.append(SLOTS * 1000 / DURATION_MS)
        else:
            weights.append(SLOTS * load.finished / load.busy_seconds)
    return random_source.choices(UPSTREAMS, weights)[0]


def choose_in_proportion(
    picture: load_reports.LoadPicture,
    now: datetime.timedelta,
    random_source: random.Random,
) -> str:
    """Return an upstream with a chance in proportion to its free slots."""
    weights = [max(1, free_slots(picture, name, now)) for name in UPSTREAMS]
    return random_source.choices(UPSTREAMS, weights)[0]


class Replay:
    """Replays arrivals at 75 hosts that share one picture of the load.

    Parameters
    ----------
    choose : callable
        Returns the upstream for a new flow.
    slow_upstreams : int
        Number of upstreams that are five times slower.
    """

    def __init__(self, choose: Choose, slow_upstreams: int = 0) -> None:
        self.durations_ms_by_id = dict.fromkeys(UPSTREAMS, DURATION_MS)
        for upstream_id in UPSTREAMS[:slow_upstreams]:
            self.durations_ms_by_id[upstream_id] *= SLOWNESS
        self.requests_per_ms = DEMAND * SLOTS * len(UPSTREAMS) / DURATION_MS
        self.random = random.Random(1)
        self.choose = choose
        self.picture = load_reports.LoadPicture('kgn-a')
        self.aggregator = load_reports.ReportAggregator('h-0', 'kgn-a', 1)
        self.collectors = [
            load_reports.LoadCollector(f'h-{number}', 'kgn-a', number)
            for number in range(HOSTS)
        ]
        self.busy: collections.Counter[str] = collections.Counter()
        self.ends: list[tuple[int, str, int]] = []
        self.summaries: collections.deque[
            tuple[datetime.timedelta, load_reports.LoadSummary]
        ] = collections.deque()
        self.arrivals = self.rejections = 0
        # Share of the busiest upstream in the openings of each interval.
        self.top_shares: list[float] = []

    def run(self) -> 'Replay':
        """Replay the period."""
        chosen: collections.Counter[str] = collections.Counter()
        for now_ms in range(PERIOD_MS):
            now = now_ms * _MS
            if now_ms % INTERVAL_MS == 0:
                if chosen:
                    self.top_shares.append(
                        max(chosen.values()) / chosen.total()
                    )
                chosen.clear()
                self.report(now)
            while self.ends and self.ends[0][0] <= now_ms:
                _, upstream_id, collector = heapq.heappop(self.ends)
                self.busy[upstream_id] -= 1
                self.collectors[collector].finish_request(
                    upstream_id,
                    'desk',
                    self.durations_ms_by_id[upstream_id] * _MS,
                    1448,
                )
            for _ in range(int(self.requests_per_ms + self.random.random())):
                chosen[self.open(now, now_ms)] += 1
        return self

    @property
    def rejection_share(self) -> float:
        """Share of the arrivals that found no free slot."""
        return self.rejections / self.arrivals

    def report(self, now: datetime.timedelta) -> None:
        """Sum the reports; the hosts get the sum after the delay."""
        for collector in self.collectors:
            self.aggregator.record(collector.take_report(now), now)
        self.summaries.append((now, self.aggregator.summarize(now)))
        if len(self.summaries) > DELAY_MS // INTERVAL_MS:
            taken_at, summary = self.summaries.popleft()
            self.picture.record(summary, taken_at)

    def open(self, now: datetime.timedelta, now_ms: int) -> str:
        """Open a flow at a random host; return its upstream."""
        collector = self.random.randrange(HOSTS)
        upstream_id = self.choose(self.picture, now, self.random)
        self.arrivals += 1
        if self.busy[upstream_id] >= SLOTS:
            self.rejections += 1
        else:
            self.busy[upstream_id] += 1
            self.collectors[collector].begin_request(upstream_id)
            end = now_ms + self.durations_ms_by_id[upstream_id]
            heapq.heappush(self.ends, (end, upstream_id, collector))
        return upstream_id


def main() -> None:
    """Print what each choice leads to."""
    for slow in (0, SLOW_UPSTREAMS):
        for choice in (
            choose_least_loaded,
            choose_in_proportion,
            choose_by_capacity,
            choose_any,
        ):
            replay = Replay(choice, slow).run()
            print(
                f'{slow} slow, {choice.__name__}: rejected '
                f'{replay.rejections} of {replay.arrivals}; share of the '
                f'busiest upstream in an interval '
                f'{min(replay.top_shares):.2f} to '
                f'{max(replay.top_shares):.2f}',
            )


if __name__ == '__main__':
    main()
