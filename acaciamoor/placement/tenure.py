"""When this host may bind work."""

import datetime

from acaciamoor import clock as clocks

# A placer that has not heard from a quorum for this long does not bind.
LEASE = datetime.timedelta(seconds=1.5)
# A new placer queues for this long before it binds, so that the previous one
# has learned of it or its lease has ended.
SETTLE = datetime.timedelta(seconds=1)
# After a pause, datagrams that arrive within this time may have waited in the
# socket. Reading a full receive buffer of 212 KB takes about 0.1 s.
STALE_PERIOD = datetime.timedelta(milliseconds=500)


class Tenure:
    """Lease, settle time and pauses of one placer.

    Parameters
    ----------
    clock : clocks.Clock
        Source of monotonic time, which must include pauses.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._last_seen = clock.monotonic()
        self._stale_until = clock.monotonic()
        self.holds = False
        self.settled_at = clock.monotonic()

    def observe(self) -> bool:
        """Return whether the process was paused since the last call.

        A pause ends the lease, because another host may have taken over.
        """
        now = self._clock.monotonic()
        paused = now - self._last_seen > LEASE
        self._last_seen = now
        if paused:
            self.holds = False
            self._stale_until = now + STALE_PERIOD
        return paused

    def begin(self) -> None:
        """Start a lease and its settle time."""
        self.holds = True
        self.settled_at = self._clock.monotonic() + SETTLE

    def end(self) -> None:
        """End the lease."""
        self.holds = False

    @property
    def is_stale(self) -> bool:
        """Whether a datagram may have waited during a pause."""
        return self._clock.monotonic() < self._stale_until

    def may_bind(self, now: datetime.timedelta) -> bool:
        """Return whether work may be sent to upstreams at `now`."""
        return self.holds and now >= self.settled_at
