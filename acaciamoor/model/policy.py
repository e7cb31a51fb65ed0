"""Admission and placement limits of a service."""

import dataclasses
import datetime


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Limits that apply to new requests and flows of one service.

    Parameters
    ----------
    queue_limit : int
        Maximum number of queued requests in one data centre.
    long_share : float
        Maximum share of the slots for requests that are declared long.
    retry_ratio : float
        Maximum ratio of retries to requests of the service.
    slow_start : datetime.timedelta
        Time in which a new upstream ramps up to its full share.
    ejection_floor : float
        Minimum share of the upstreams that stays in use, however many of them
        are detected as outliers.
    """

    queue_limit: int = 512
    long_share: float = 0.75
    retry_ratio: float = 0.1
    slow_start: datetime.timedelta = datetime.timedelta(seconds=10)
    ejection_floor: float = 0.5
