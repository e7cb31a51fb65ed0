"""Clock protocol with a system and a manual implementation."""

import datetime
import time
import typing


class Clock(typing.Protocol):
    """Source of wall-clock and monotonic time.

    Durations are always measured with `monotonic`. `now` is used only for
    timestamps in reports and logs, because the wall clock of a host may jump.
    """

    def now(self) -> datetime.datetime:
        """Return the wall-clock time in UTC."""

    def monotonic(self) -> datetime.timedelta:
        """Return the time since an arbitrary fixed point in time."""


class SystemClock:
    """Clock of the operating system.

    The monotonic time continues while the process is stopped or the machine
    is suspended, so that a process can detect that it was paused.
    """

    def now(self) -> datetime.datetime:
        """Return the wall-clock time in UTC."""
        return datetime.datetime.now(tz=datetime.UTC)

    def monotonic(self) -> datetime.timedelta:
        """Return the time since an arbitrary fixed point in time."""
        return datetime.timedelta(
            microseconds=time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000
        )


class ManualClock:
    """Clock that advances only through its methods, for tests.

    Parameters
    ----------
    start : datetime.datetime
        Wall-clock time at monotonic time zero.

    Examples
    --------
    >>> import datetime
    >>> clock = ManualClock()
    >>> clock.advance(datetime.timedelta(seconds=2))
    >>> clock.monotonic()
    datetime.timedelta(seconds=2)
    """

    def __init__(
        self,
        start: datetime.datetime = datetime.datetime(
            2026, 1, 1, tzinfo=datetime.UTC
        ),
    ) -> None:
        self._start = start
        self._elapsed = datetime.timedelta(0)

    def now(self) -> datetime.datetime:
        """Return the start time plus the elapsed time."""
        return self._start + self._elapsed

    def monotonic(self) -> datetime.timedelta:
        """Return the elapsed time."""
        return self._elapsed

    def advance(self, step: datetime.timedelta) -> None:
        """Advance the clock by `step`.

        Raises
        ------
        ValueError
            If `step` is negative.
        """
        if step < datetime.timedelta(0):
            raise ValueError(f'cannot move the clock back by {-step}')
        self._elapsed += step

    def advance_to(self, instant: datetime.timedelta) -> None:
        """Advance the clock to monotonic time `instant`.

        Raises
        ------
        ValueError
            If `instant` is in the past.
        """
        self.advance(instant - self._elapsed)
