"""Reports of the load that passes a host, and their sums."""

import math

import msgspec

# Counts and levels above this one cannot be true.
MAX_COUNT = 1 << 31
# Fractions of a second in which times are reported.
_FRACTIONS = 1024
# Upstreams in one report; a host that saw more reports the busiest ones.
MAX_UPSTREAMS = 4096
# Services and priorities in one report, many times those of a site. Without a
# limit, one message could make its receiver keep megabytes.
MAX_DEMANDS = 4096
# Hosts in one sum, many times those of a data centre.
MAX_HOSTS = 16384


def _check_numbers(*numbers: float) -> None:
    for number in numbers:
        if not 0 <= number <= MAX_COUNT or not math.isfinite(number):
            raise ValueError(f'{number} is out of range')


def _check_sum(
    hosts: int, upstreams: list['UpstreamLoad'], demands: list['ServiceDemand']
) -> None:
    if not 0 <= hosts <= MAX_HOSTS:
        raise ValueError(f'a sum of {hosts} hosts is out of range')
    if len(upstreams) > MAX_UPSTREAMS:
        raise ValueError(f'{len(upstreams)} upstreams are too many')
    if len(demands) > MAX_DEMANDS:
        raise ValueError(f'{len(demands)} demands are too many')


def round_seconds(seconds: float) -> float:
    """Return a time rounded to 1/1024 s, and limited to the valid range.

    A random float does not compress; one with a short binary fraction takes
    two or three bytes of a message.

    Examples
    --------
    >>> round_seconds(0.0500123)
    0.0498046875
    """
    return min(round(seconds * _FRACTIONS) / _FRACTIONS, float(MAX_COUNT))


class UpstreamLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load of an upstream, as one host or several hosts together saw it.

    Parameters
    ----------
    upstream_id : str
        The upstream.
    in_progress, open_flows : int
        Requests in progress and open flows at the end of the interval.
    started, finished : int
        Requests that started, and that were answered, in the interval.
    busy_seconds : float
        Sum of the durations of the requests that were answered, in seconds.
    rejected : int
        Requests that the upstream rejected for lack of room.
    openings, unanswered : int
        Opening packets sent to the upstream, and those it did not answer.
    """

    upstream_id: str
    in_progress: int = 0
    open_flows: int = 0
    started: int = 0
    finished: int = 0
    busy_seconds: float = 0.0
    rejected: int = 0
    openings: int = 0
    unanswered: int = 0

    def __post_init__(self) -> None:
        _check_numbers(
            self.in_progress,
            self.open_flows,
            self.started,
            self.finished,
            self.busy_seconds,
            self.rejected,
            self.openings,
            self.unanswered,
        )

    def plus(self, other: 'UpstreamLoad') -> 'UpstreamLoad':
        """Return the sum of two loads of the upstream.

        Sums stay within the range of a report, as they are sent on.
        """
        return UpstreamLoad(
            self.upstream_id,
            min(self.in_progress + other.in_progress, MAX_COUNT),
            min(self.open_flows + other.open_flows, MAX_COUNT),
            min(self.started + other.started, MAX_COUNT),
            min(self.finished + other.finished, MAX_COUNT),
            min(self.busy_seconds + other.busy_seconds, float(MAX_COUNT)),
            min(self.rejected + other.rejected, MAX_COUNT),
            min(self.openings + other.openings, MAX_COUNT),
            min(self.unanswered + other.unanswered, MAX_COUNT),
        )


class ServiceDemand(msgspec.Struct, frozen=True, array_like=True):
    """New flows for a service over routes of one priority.

    Parameters
    ----------
    service : str
        Name of the service.
    priority : int
        Priority of the routes; 0 is the highest.
    openings, refused : int
        New flows in the interval, and those that were refused by a host.
    """

    service: str
    priority: int
    openings: int = 0
    refused: int = 0

    def __post_init__(self) -> None:
        _check_numbers(self.openings, self.refused)


class HostReport(msgspec.Struct, frozen=True, array_like=True):
    """What passed one host in an interval.

    Parameters
    ----------
    host_id, data_centre : str
        The host.
    incarnation : int
        Random number of the process.
    serial : int
        Number of the report among those of the process.
    interval : float
        Length of the interval, in seconds.
    upstreams : list of UpstreamLoad
        Load by upstream, without idle ones.
    demands : list of ServiceDemand
        New flows by service and priority.
    hosts : int
        Number of hosts whose reports it contains; more than one if a branch
        has summed the reports of its listeners.
    age : float
        Time since the reports were taken, in seconds, when it was sent.
    """

    host_id: str
    data_centre: str
    incarnation: int
    serial: int
    interval: float
    upstreams: list[UpstreamLoad] = []
    demands: list[ServiceDemand] = []
    hosts: int = 1
    age: float = 0.0

    def __post_init__(self) -> None:
        _check_numbers(self.interval, self.age)
        _check_sum(self.hosts, self.upstreams, self.demands)


class LoadSummary(msgspec.Struct, frozen=True, array_like=True):
    """Sum of the reports of the hosts of a data centre.

    Parameters
    ----------
    data_centre : str
        Data centre of the hosts.
    sender : str
        Host that computed the sum.
    incarnation : int
        Random number of its process.
    serial : int
        Number of the summary among those of the process.
    hosts : int
        Number of hosts whose reports it contains.
    age : float
        Time since the reports were taken, in seconds, when it was sent.
    interval : float
        Mean length of the intervals of the reports, in seconds.
    upstreams : list of UpstreamLoad
        Sums by upstream.
    demands : list of ServiceDemand
        Sums by service and priority.
    """

    data_centre: str
    sender: str
    incarnation: int
    serial: int
    hosts: int
    age: float
    interval: float
    upstreams: list[UpstreamLoad] = []
    demands: list[ServiceDemand] = []

    def __post_init__(self) -> None:
        _check_numbers(self.age, self.interval)
        _check_sum(self.hosts, self.upstreams, self.demands)
