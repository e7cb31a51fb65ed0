"""Clock interface, so that tests can control time with a manual clock."""

from acaciamoor.clock.clock import Clock
from acaciamoor.clock.clock import ManualClock
from acaciamoor.clock.clock import SystemClock

__all__ = ['Clock', 'ManualClock', 'SystemClock']
