"""Rules for the new work of a service."""

import dataclasses
import datetime


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Limits that apply to the new work of one service.

    Parameters
    ----------
    queue_limit : int
        Requests that may wait in one data centre.
    long_share : float
        Share of the slots that announced long work may take.
    retry_ratio : float
        Retries allowed for each request of the service.
    slow_start : datetime.timedelta
        Time over which a new upstream reaches its full share.
    ejection_floor : float
        Share of the upstreams that always stays in use, however many of them
        look like outliers.
    """

    queue_limit: int = 512
    long_share: float = 0.75
    retry_ratio: float = 0.1
    slow_start: datetime.timedelta = datetime.timedelta(seconds=10)
    ejection_floor: float = 0.5
