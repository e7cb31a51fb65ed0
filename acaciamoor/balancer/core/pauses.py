"""Detection of pauses of this process."""

import datetime

from acaciamoor.balancer.core import events
import acaciamoor.clock as clocks

# Duration of a placer's lease. After a longer pause, another host may have
# taken over.
PAUSE_LIMIT = datetime.timedelta(seconds=1.5)


class PauseDetector:
    """Detects pauses from gaps between checks on the monotonic clock.

    After a pause, the datagrams of a channel are stale until its socket buffer
    has been read to the end.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time, which must advance during pauses too.

    Attributes
    ----------
    any_stale : bool
        Whether any channel is stale. A plain attribute, since it is read for
        every packet.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._last_check = clock.monotonic()
        self._stale_channels: set[events.Channel] = set()
        self.any_stale = False

    def detect_pause(self) -> bool:
        """Return whether the process was paused since the last call."""
        now = self._clock.monotonic()
        paused = now - self._last_check > PAUSE_LIMIT
        self._last_check = now
        if paused:
            self._stale_channels.update(events.Channel)
            self.any_stale = True
        return paused

    def is_stale(self, channel: events.Channel) -> bool:
        """Return whether datagrams of `channel` may have waited in a pause."""
        return channel in self._stale_channels

    def on_channel_empty(self, channel: events.Channel) -> None:
        """Record that the socket buffer of a channel was read to the end."""
        self._stale_channels.discard(channel)
        self.any_stale = bool(self._stale_channels)
