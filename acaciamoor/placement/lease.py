"""Lease of the placer: when this host may bind requests."""

import datetime

from acaciamoor import clock as clocks

# A host that has not heard from a quorum for this long has lost its lease.
LEASE_DURATION = datetime.timedelta(seconds=1.5)
# A new placer only queues requests for this long. Meanwhile the previous
# placer learns of the change or its lease expires, so that the two never bind
# requests at the same time.
SETTLE_TIME = datetime.timedelta(seconds=1)
# Datagrams that are read within this time after a pause may have been buffered
# by the socket. Reading a full receive buffer of 212 KB takes about 0.1 s.
STALE_PERIOD = datetime.timedelta(milliseconds=500)


class PlacerLease:
    """Lease, settle time and pause detection of one placer.

    Parameters
    ----------
    clock : clocks.Clock
        Source of monotonic time, which must advance during pauses too.

    Attributes
    ----------
    is_held : bool
        Whether this host holds the lease.
    settled_at : datetime.timedelta
        Monotonic time at which the settle time of the lease ends.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._last_seen = clock.monotonic()
        self._stale_until = clock.monotonic()
        self.is_held = False
        self.settled_at = clock.monotonic()

    def detect_pause(self) -> bool:
        """Return whether the process was paused since the last call.

        A pause releases the lease, since another host may have taken over.
        """
        now = self._clock.monotonic()
        paused = now - self._last_seen > LEASE_DURATION
        self._last_seen = now
        if paused:
            self.is_held = False
            self._stale_until = now + STALE_PERIOD
        return paused

    def acquire(self) -> None:
        """Acquire the lease and start its settle time."""
        self.is_held = True
        self.settled_at = self._clock.monotonic() + SETTLE_TIME

    def release(self) -> None:
        """Release the lease."""
        self.is_held = False

    @property
    def datagrams_may_be_stale(self) -> bool:
        """Whether datagrams may have been buffered during a pause."""
        return self._clock.monotonic() < self._stale_until

    def may_bind(self, now: datetime.timedelta) -> bool:
        """Return whether requests may be sent to upstreams at `now`."""
        return self.is_held and now >= self.settled_at
