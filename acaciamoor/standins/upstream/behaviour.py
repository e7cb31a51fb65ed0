"""How an upstream stand-in behaves, faults included."""

import dataclasses
import datetime

_ZERO = datetime.timedelta(0)


@dataclasses.dataclass(frozen=True, slots=True)
class Behaviour:
    """Limits and faults of one upstream.

    Parameters
    ----------
    name : str
        Identifier of the upstream; answers carry it.
    service : int
        Service that it belongs to.
    slots : int
        Requests that run at the same time; more are shed.
    connections : int
        Open streams that it takes.
    cold_start : datetime.timedelta
        Time after the start in which work takes `cold_factor` times longer.
    cold_factor : float
        Slowdown of work during the cold start.
    report_lag : datetime.timedelta
        Age of what the health and load endpoints report.
    health_misleads : bool
        Whether the health endpoint always reports good health.
    load_misleads : bool
        Whether the load endpoint always reports free slots.
    push_interval : datetime.timedelta
        Time between datagrams pushed to each stream; zero pushes none.
    shed_share : float
        Share of the requests that are shed although a slot is free.
    """

    name: str
    service: int
    slots: int = 2
    connections: int = 2000
    cold_start: datetime.timedelta = _ZERO
    cold_factor: float = 4.0
    report_lag: datetime.timedelta = _ZERO
    health_misleads: bool = False
    load_misleads: bool = False
    push_interval: datetime.timedelta = _ZERO
    shed_share: float = 0.0
    seed: int = 7
