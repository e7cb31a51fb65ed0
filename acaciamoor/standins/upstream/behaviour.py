"""Limits and injected faults of the upstream stand-in."""

import dataclasses
import datetime

_ZERO = datetime.timedelta(0)


@dataclasses.dataclass(frozen=True, slots=True)
class Behaviour:
    """Limits and injected faults of one upstream.

    Parameters
    ----------
    name : str
        Identifier of the upstream, included in its answers.
    service : int
        Identifier of the service that the upstream belongs to.
    slots : int
        Maximum number of concurrent requests; further ones are shed.
    connections : int
        Maximum number of open streams.
    cold_start : datetime.timedelta
        Time after the start during which requests take `cold_factor` times as
        long.
    cold_factor : float
        Factor on the processing time during the cold start.
    report_lag : datetime.timedelta
        Age of the state that the health and load endpoints report.
    health_misleads : bool
        Whether the health endpoint reports healthy even while draining.
    load_misleads : bool
        Whether the load endpoint always reports all slots as free.
    push_interval : datetime.timedelta
        Time between datagrams pushed to each stream; zero disables pushes.
    shed_share : float
        Share of requests that are shed although a slot is free.
    seed : int
        Seed of the random choice of requests to shed.
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
