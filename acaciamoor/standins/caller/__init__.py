"""Caller stand-in that verifies the guarantees given to callers."""

from acaciamoor.standins.caller.checks import count_run_violations
from acaciamoor.standins.caller.counters import ServiceCounters
from acaciamoor.standins.caller.traffic import TrafficGenerator
from acaciamoor.standins.caller.traffic import TrafficSettings

__all__ = [
    'ServiceCounters',
    'TrafficGenerator',
    'TrafficSettings',
    'count_run_violations',
]
