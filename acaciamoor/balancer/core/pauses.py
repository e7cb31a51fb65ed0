"""Detection of a pause of this process."""

import datetime

from acaciamoor.balancer.core import events
import acaciamoor.clock as clocks

# The lease of a placer: others may have taken over after a longer pause.
PAUSE_LIMIT = datetime.timedelta(seconds=1.5)


class PauseDetector:
    """Compares the monotonic clock between two signs of activity.

    After a pause everything that waited in the sockets is stale, until each
    of them has been read to its end.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time, which must include stopped time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._last = clock.monotonic()
        self._stale: set[events.Channel] = set()
        # Whether any channel is stale; read for every packet.
        self.stale = False

    def check(self) -> bool:
        """Return whether the process was paused since the last call."""
        now = self._clock.monotonic()
        paused = now - self._last > PAUSE_LIMIT
        self._last = now
        if paused:
            self._stale.update(events.Channel)
            self.stale = True
        return paused

    def is_stale(self, channel: events.Channel) -> bool:
        """Return whether a datagram of `channel` waited during a pause."""
        return channel in self._stale

    def on_empty(self, channel: events.Channel) -> None:
        """Note that everything that waited in a socket was read."""
        self._stale.discard(channel)
        self.stale = bool(self._stale)
