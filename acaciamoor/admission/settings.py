"""Settings of the admission of new flows."""

import datetime

import msgspec


class AdmissionSettings(msgspec.Struct, frozen=True):
    """Settings of the admission of new flows.

    Parameters
    ----------
    start_load : float
        Requests in progress, relative to the sum of the limits, from which
        openings are refused. Four fifths of the target: the load rises
        further while the picture is on its way. At the usual 0.55 of 120
        slots the standard deviation is 0.07.
    end_load : float
        The same below which none are refused any more: with fewer requests
        than slots, upstreams have room.
    target_load : float
        Requests in progress, relative to the sum of the limits, while
        openings are refused. A request then takes 3.75 times its run time
        of 32 ms, less than the usual goal of 150 ms. At 2.5 the worth is
        0.05 lower, as slots stay idle where flows are spread unevenly.
    settling_time : datetime.timedelta
        Time in which the open flows are brought to the number that the
        upstreams take. It is longer than twice the age of the picture, 0.4 s;
        shorter ones let the load oscillate. With 1 s the worth at 1.5 times
        the slots was 0.006 lower.
    queue_gain : float
        Relative change of the load for a relative distance from the target.
        0.2 had up to 0.02 less worth; 0.8 gained nothing.
    max_rejected : float
        Share of requests that upstreams reject from which openings are
        refused, whatever is in progress: an upstream may have no queue.
        Callers return twice, so that 0.18 leaves 0.006 of them unserved, but
        the share varies around it. The most important kind may lose 0.02 in a
        second; with 0.2 it lost 0.021 in the worst second of six seeds.
    min_rejecting_load : float
        Requests in progress, relative to the limits of the upstreams in the
        picture, below which rejections are no sign of overload: short and
        fast responses, as those of a cache, are taken for rejections as well.
        Upstreams of 20 slots without a queue reject 0.18 of the requests that
        arrive at random when 0.85 of the slots are in use.
    window : datetime.timedelta
        Time over which rates are averaged.
    min_share : float
        Part of all admitted openings that each less important priority keeps
        at least. The more important ones lose as much at most.
    max_fall : float
        Largest fall of a share, per second. Callers return twice within a
        second or so; in a crest that is over by then, most of them must be
        admitted at one of their attempts.
    max_gap : datetime.timedelta
        Time without openings at a host after which an overload is a new one.
        Shares are computed at openings only; with less than one of them in
        this time, a host has next to no part in the load of the service.
    fast_rejected : float
        Share of requests that upstreams reject from which shares fall at
        once: callers lose then whoever turns them away.
    refresh_interval : datetime.timedelta
        Time between two looks at the picture. Reports are taken every
        200 ms.
    caller_window : datetime.timedelta
        Time for which openings of a caller are counted. Each of 75 hosts
        sees few of them, so it is many times that of a return.
    caller_share : float
        Openings of a caller above which it is refused in overload, relative
        to the mean of the other callers over routes of that priority.
    caller_minimum : int
        Openings of a caller in the window that are never too many: one and
        its two retries.
    max_callers : int
        Callers that a host counts in a window, by service and priority.
    """

    start_load: float = 3.0
    end_load: float = 1.0
    target_load: float = 3.75
    settling_time: datetime.timedelta = datetime.timedelta(milliseconds=700)
    queue_gain: float = 0.4
    max_rejected: float = 0.18
    min_rejecting_load: float = 0.5
    window: datetime.timedelta = datetime.timedelta(seconds=1)
    min_share: float = 0.01
    max_fall: float = 0.6
    max_gap: datetime.timedelta = datetime.timedelta(seconds=5)
    fast_rejected: float = 0.1
    refresh_interval: datetime.timedelta = datetime.timedelta(milliseconds=100)
    caller_window: datetime.timedelta = datetime.timedelta(seconds=5)
    caller_share: float = 3.0
    caller_minimum: int = 3
    max_callers: int = 2048
