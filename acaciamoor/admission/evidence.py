"""What the admission to a service rests on."""

import collections.abc
import datetime

import msgspec


class Evidence(msgspec.Struct, frozen=True):
    """What the admission to a service rests on.

    Parameters
    ----------
    computed_at : datetime.timedelta
        Time at which the reports of the picture were taken.
    revision : int
        Revision of the picture; 0 without a fresh one.
    overloaded : bool
        Whether openings are refused.
    shares_by_priority : Mapping
        Share of the openings that are admitted, from 0 to 1.
    demand : float
        Openings a second for the service, with those refused.
    admitted : float
        Openings a second that may be admitted.
    in_progress : int
        Requests in progress at the upstreams.
    limit : float
        Requests in progress that the upstreams take well.
    free_upstreams : int
        Upstreams with fewer requests in progress than they take well.
    """

    computed_at: datetime.timedelta
    revision: int = 0
    overloaded: bool = False
    shares_by_priority: collections.abc.Mapping[int, float] = {}
    demand: float = 0.0
    admitted: float = 0.0
    in_progress: int = 0
    limit: float = 0.0
    free_upstreams: int = 0
