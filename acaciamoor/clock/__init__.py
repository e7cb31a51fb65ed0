"""Time as an interface, so that decisions can be tested on a manual clock."""

from acaciamoor.clock.clock import Clock
from acaciamoor.clock.clock import ManualClock
from acaciamoor.clock.clock import SystemClock

__all__ = ['Clock', 'ManualClock', 'SystemClock']
