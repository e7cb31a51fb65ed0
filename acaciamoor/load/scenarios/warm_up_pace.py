"""Replays demand on upstreams in warm-up, on the pacers of many hosts.

Callers reach a random host of their data centre. An opening waits at its host
for up to 1.4 s and is then given up. A host tries what waits every 40 ms. The
clocks of hosts start at different values.
"""

import collections
import collections.abc
import dataclasses
import datetime
import heapq
import random

from acaciamoor import directory
from acaciamoor import pacing

DATA_CENTRES = ('kgn-a', 'kgn-b', 'kgn-c')
SETTINGS = pacing.PacingSettings(over=1.5, slack=5.0)
# With the settings, 20 openings in a second at each upstream.
LIMITS = directory.ServiceLimits(
    warm_up=datetime.timedelta(minutes=5), warm_up_rate=10.0
)
BOUND = 20
# Hosts of other data centres that a host knows, as in `replica.PeerList`.
_KNOWN_ELSEWHERE = 4
_WAIT_S = 1.4
_RETRY_S = 0.04
_MAX_CLOCK_S = 1e6
_WARM_UP = datetime.timedelta(hours=1)


class NaivePacer:
    """Gives a host its part of the rate, with a burst of one."""

    def __init__(self, hosts: int) -> None:
        self._interval = datetime.timedelta(seconds=hosts / BOUND)
        self._next_by_id: dict[str, datetime.timedelta] = {}

    def may_open(self, upstream_id, limits, now) -> bool:
        """Return whether the host may open a flow at an upstream now."""
        return now >= self._next_by_id.get(upstream_id, now)

    def record_opening(self, upstream_id, now) -> None:
        """Count an opening packet that is sent to an upstream."""
        self._next_by_id[upstream_id] = now + self._interval


@dataclasses.dataclass(slots=True)
class Host:
    """Host of the replayed site; times are in seconds.

    Parameters
    ----------
    pacer : WarmUpPacer or NaivePacer
        Decides about openings.
    epoch_s : float
        Time of the host's clock when the replay starts.
    killed_at_s : float
        Time from which the host does nothing.
    """

    name: str
    data_centre: str
    pacer: pacing.WarmUpPacer | NaivePacer
    epoch_s: float
    killed_at_s: float = float('inf')
    known: dict[str, set[str]] = dataclasses.field(default_factory=dict)
    waiting: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )

    def read_clock(self, now_s: float) -> datetime.timedelta:
        """Return the time of the host's clock."""
        return datetime.timedelta(seconds=self.epoch_s + now_s)

    def learn(self, hosts_by_data_centre: dict, now_s: float) -> None:
        """Add hosts to those that the host knows."""
        for data_centre, names in hosts_by_data_centre.items():
            self.known.setdefault(data_centre, set()).update(names)
        self.pacer.update_hosts(self.known, self.read_clock(now_s))

    def restart(self, upstream_ids: list[str], now_s: float) -> None:
        """Forget what was sent, and all that the host knows."""
        self.pacer = pacing.WarmUpPacer(SETTINGS, self.name)
        self.known.clear()
        for upstream_id in upstream_ids:
            self.pacer.set_warm_up(
                upstream_id, _WARM_UP, self.read_clock(now_s)
            )


class Site:
    """Hosts that open flows at upstreams in warm-up.

    Parameters
    ----------
    size : int
        Number of hosts.
    upstreams : int
        Number of upstreams.
    naive : bool
        Whether each host has its part of the rate instead of a pacer.
    seed : int
        Seed of all random choices.
    """

    def __init__(
        self, size: int, upstreams: int = 1, naive: bool = False, seed: int = 1
    ) -> None:
        self.random = random.Random(seed)
        self.hosts: list[Host] = []
        self.upstream_ids = [f'i-{number}' for number in range(upstreams)]
        self.sent_at_by_id: dict[str, list[float]] = {
            name: [] for name in self.upstream_ids
        }
        self._naive = naive
        self._events: list[tuple[float, int, collections.abc.Callable]] = []
        self._count = 0
        for _ in range(size):
            self.add_host(size)
        if not naive:
            for host in self.hosts:
                host.learn(self.list_known(host.data_centre), 0.0)

    def add_host(self, size: int = 0) -> Host:
        """Add a host that knows no other one yet."""
        number = len(self.hosts)
        name = f'host-{number}'
        host = Host(
            name,
            DATA_CENTRES[number % len(DATA_CENTRES)],
            NaivePacer(size),
            self.random.uniform(0.0, _MAX_CLOCK_S),
        )
        if not self._naive:
            host.restart(self.upstream_ids, 0.0)
        self.hosts.append(host)
        return host

    def list_known(self, data_centre: str) -> dict[str, list[str]]:
        """Return the hosts that those of a data centre know."""
        known: dict[str, list[str]] = {}
        for host in self.hosts:
            names = known.setdefault(host.data_centre, [])
            if host.data_centre == data_centre or (
                len(names) < _KNOWN_ELSEWHERE
            ):
                names.append(host.name)
        return known

    def schedule(
        self, at_s: float, run: collections.abc.Callable[[float], None]
    ) -> None:
        """Run something at a time of the replay."""
        self._count += 1
        heapq.heappush(self._events, (at_s, self._count, run))

    def open_flows(self, rate: float, from_s: float, to_s: float) -> None:
        """Let callers open flows, `rate` in a second over all hosts."""
        at_s = from_s
        while (at_s := at_s + self.random.expovariate(rate)) < to_s:
            self.schedule(at_s, self._arrive)

    def open_at_once(self, at_s: float) -> None:
        """Let two flows arrive at each host at the same time."""
        for host in self.hosts:
            self.open_through(host, 2, at_s)

    def open_through(self, host: Host, count: int, at_s: float) -> None:
        """Let flows arrive at a host at the same time."""
        for _ in range(count):
            self.schedule(at_s, lambda now_s: self._try(host, now_s))

    def run(self) -> None:
        """Carry out all that is scheduled."""
        while self._events:
            at_s, _, run = heapq.heappop(self._events)
            run(at_s)

    def count_most(self) -> int:
        """Return the most openings at an upstream in any second."""
        most = 0
        for times in self.sent_at_by_id.values():
            first = 0
            for last, sent_at_s in enumerate(times):
                while sent_at_s - times[first] > 1.0:
                    first += 1
                most = max(most, last - first + 1)
        return most

    def share_served(self, from_s: float, to_s: float) -> float:
        """Return the openings between two times in parts of the bound."""
        served = sum(
            from_s <= sent_at_s < to_s
            for times in self.sent_at_by_id.values()
            for sent_at_s in times
        )
        return served / (BOUND * len(self.upstream_ids) * (to_s - from_s))

    def _arrive(self, now_s: float) -> None:
        # Also dead hosts get packets, until the fabric notices; callers then
        # come back through others.
        host = self.random.choice(self.hosts)
        if host.killed_at_s > now_s:
            self._try(host, now_s)

    def _try(self, host: Host, arrived_at_s: float) -> None:
        host.waiting.append(arrived_at_s)
        if len(host.waiting) == 1:
            self._serve(host, arrived_at_s)

    def _serve(self, host: Host, now_s: float) -> None:
        if host.killed_at_s <= now_s:
            return
        now = host.read_clock(now_s)
        waiting = host.waiting
        while waiting and (
            waiting[0] <= now_s - _WAIT_S or self._place(host, now, now_s)
        ):
            waiting.popleft()
        if waiting:
            self.schedule(
                now_s + _RETRY_S, lambda at_s: self._serve(host, at_s)
            )

    def _place(
        self, host: Host, now: datetime.timedelta, now_s: float
    ) -> bool:
        for name in self.random.sample(
            self.upstream_ids, len(self.upstream_ids)
        ):
            if host.pacer.may_open(name, LIMITS, now):
                host.pacer.record_opening(name, now)
                self.sent_at_by_id[name].append(now_s)
                return True
        return False


def join_hosts(
    site: Site, count: int, at_s: float, delay_s: float, interval_s: float
) -> None:
    """Let hosts join one after the other.

    Parameters
    ----------
    site : Site
        Site that they join.
    count : int
        Number of hosts.
    at_s : float
        Time at which the first one joins.
    delay_s : float
        Longest time until another host learns of one.
    interval_s : float
        Time between two of them.
    """

    def join(now_s: float) -> None:
        own = site.add_host()
        for host in site.hosts:
            delay = 0.0 if host is own else site.random.uniform(0.0, delay_s)
            news = site.list_known(own.data_centre)
            if host is not own:
                news = {own.data_centre: [own.name]}
            site.schedule(
                now_s + delay,
                lambda later_s, host=host, news=news: host.learn(
                    news, later_s
                ),
            )

    for number in range(count):
        site.schedule(at_s + number * interval_s, join)


def restart_host(site: Site, host: Host, at_s: float) -> None:
    """Let a host forget what it has sent, and all that it knows."""

    def restart(now_s: float) -> None:
        host.restart(site.upstream_ids, now_s)
        host.learn(site.list_known(host.data_centre), now_s)

    site.schedule(at_s, restart)


def replay(site: Site, end_s: float = 20.0) -> Site:
    """Open flows at twice the allowed rate, and 3 a second at each host."""
    rate = max(3.0 * len(site.hosts), 2.0 * BOUND * len(site.upstream_ids))
    site.open_at_once(5.0)
    site.open_flows(rate, 5.0, end_s)
    site.run()
    return site


def measure_wrong_lists(size: int) -> dict[str, int]:
    """Return the most openings in a second, by what is wrong in lists."""
    most_by_fault = {}

    def forget(site: Site, count: int) -> None:
        """Let hosts know none of the other data centres, or no host."""
        for host in site.hosts[:count]:
            known = {host.data_centre: [host.name]}
            if count == len(site.hosts):
                known = {host.data_centre: list(host.known[host.data_centre])}
            host.restart(site.upstream_ids, 0.0)
            host.learn(known, 0.0)
            site.open_through(host, BOUND, 9.0)

    for fault, count in (
        ('one host believes itself alone', 1),
        ('five hosts believe themselves alone', 5),
        ('each data centre knows only itself', size),
    ):
        site = Site(size)
        forget(site, count)
        most_by_fault[fault] = replay(site).count_most()
    for fault, delay_s in (
        ('news of a third more hosts takes up to 10 s', 10.0),
        ('news of a third more hosts takes up to 60 s', 60.0),
    ):
        site = Site(size)
        join_hosts(site, size // 3, 6.0, delay_s, 6.0 / size)
        most_by_fault[fault] = replay(site).count_most()
    return most_by_fault
