"""Departure of a balancer that was told to end."""

import datetime

from acaciamoor.balancer.core import control as controls
from acaciamoor.balancer.core import effects
from acaciamoor.balancer.core import work as works
import acaciamoor.clock as clocks

Effects = list[effects.Effect]
# The longest timeout of a request: no bound request lasts longer.
LONGEST_REQUEST = datetime.timedelta(seconds=30)


class Departure:
    """Announces, hands over, waits for bound requests, forwards, and ends.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    grace_period : datetime.timedelta
        Time of forwarding after the last bound answer.
    control : ControlPath
        Announces the departure.
    work : WorkPath
        Hands over its queues.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        grace_period: datetime.timedelta,
        control: controls.ControlPath,
        work: works.WorkPath,
    ) -> None:
        self._clock = clock
        self._grace_period = grace_period
        self._control = control
        self._work = work
        self._started: datetime.timedelta | None = None
        self._quiet_since: datetime.timedelta | None = None
        self._ended = False

    @property
    def leaving(self) -> bool:
        """Whether the departure has started."""
        return self._started is not None

    def start(self) -> Effects:
        """Announce the departure; later calls change nothing."""
        if self.leaving:
            return []
        self._started = self._clock.monotonic()
        note = effects.Note(effects.Severity.INFO, 'leaving')
        return [note, *self._control.send_all(self._control.table.leave())]

    def tick(self) -> Effects:
        """Go on with the departure."""
        if self._started is None or self._ended:
            return []
        done = self._work.hand_over()
        now = self._clock.monotonic()
        if self._busy() and now - self._started < LONGEST_REQUEST:
            self._quiet_since = None
            return done
        if self._quiet_since is None:
            self._quiet_since = now
        if now - self._quiet_since < self._grace_period:
            return done
        self._ended = True
        done += self._control.send_all(self._control.table.exit())
        note = effects.Note(effects.Severity.INFO, 'left')
        return [*done, note, effects.Exit()]

    def _busy(self) -> bool:
        return (
            self._work.placers.bound > 0
            or self._work.placers.queued > 0
            or self._control.router.handing_over
        )
