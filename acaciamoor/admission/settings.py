"""Settings of the admission of new flows."""

import datetime

import msgspec


class AdmissionSettings(msgspec.Struct, frozen=True):
    """Settings of the admission of new flows.

    Parameters
    ----------
    start_load : float
        Requests in progress, relative to the sum of the limits, from which
        openings are refused. At the usual 0.55 of 120 slots the standard
        deviation is 0.07, so that chance does not reach this load.
    target_load : float
        Requests in progress, relative to the sum of the limits, while
        openings are refused. Some requests must wait at upstreams, or slots
        stay idle between two of them.
    settling_time : datetime.timedelta
        Time in which the open flows are brought to the number that the
        upstreams take. It is longer than twice the age of the picture, 0.4 s;
        shorter ones let the load oscillate.
    queue_time : datetime.timedelta
        Time in which the excess of waiting requests is worked off. Twice the
        settling time, as the load must follow first.
    window : datetime.timedelta
        Time over which rates are averaged.
    min_share : float
        Part of the admitted openings that each less important priority keeps
        at least. The more important ones lose as much at most.
    refresh_interval : datetime.timedelta
        Time between two looks at the picture. Reports are taken every
        200 ms.
    caller_window : datetime.timedelta
        Time for which openings of a caller are counted.
    caller_share : float
        Openings of a caller above which it is refused in overload, relative
        to the mean of all callers.
    caller_minimum : int
        Openings of a caller in the window that are never too many: one and
        its two retries.
    max_callers : int
        Callers that are counted in a host.
    """

    start_load: float = 2.0
    target_load: float = 2.5
    settling_time: datetime.timedelta = datetime.timedelta(seconds=1)
    queue_gain: float = 0.1
    max_rejected: float = 0.1
    window: datetime.timedelta = datetime.timedelta(seconds=1)
    min_share: float = 0.01
    refresh_interval: datetime.timedelta = datetime.timedelta(milliseconds=100)
    caller_window: datetime.timedelta = datetime.timedelta(seconds=1)
    caller_share: float = 4.0
    caller_minimum: int = 3
    max_callers: int = 512
