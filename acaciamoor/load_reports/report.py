"""Reports of the load that passes a host, and their sums."""

import math
import typing

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

# Checked by the decoder. A method for that took two thirds of the time for
# decoding a summary of 75 upstreams.
_Count = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
_Seconds = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_COUNT)]


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

    The range of the numbers is checked where messages are decoded.

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
    in_progress: _Count = 0
    open_flows: _Count = 0
    started: _Count = 0
    finished: _Count = 0
    busy_seconds: _Seconds = 0.0
    rejected: _Count = 0
    openings: _Count = 0
    unanswered: _Count = 0


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
    openings: _Count = 0
    refused: _Count = 0

    def __post_init__(self) -> None:
        # Receivers take the difference for the openings that were admitted.
        if self.refused > self.openings:
            raise ValueError(
                f'{self.refused} of {self.openings} openings were refused'
            )


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
