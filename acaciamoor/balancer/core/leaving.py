"""Graceful shutdown of a balancer."""

import datetime

from acaciamoor.balancer.core import control_plane
from acaciamoor.balancer.core import effects
from acaciamoor.balancer.core import request_path
import acaciamoor.clock as clocks

Effects = list[effects.Effect]
# Longest timeout of a request, so no request stays bound for longer.
MAX_REQUEST_TIMEOUT = datetime.timedelta(seconds=30)


class GracefulShutdown:
    """Shuts a balancer down without breaking flows or requests.

    The balancer announces that it is leaving, hands over its queues and flow
    records, waits for the answers to bound requests, goes on forwarding for a
    grace period, and exits.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    grace_period : datetime.timedelta
        Time for which it forwards datagrams after the last bound request.
    control_plane : ControlPlane
        Announces the shutdown to the other hosts.
    request_path : RequestPath
        Hands over the queues of its placers.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        grace_period: datetime.timedelta,
        control_plane: control_plane.ControlPlane,
        request_path: request_path.RequestPath,
    ) -> None:
        self._clock = clock
        self._grace_period = grace_period
        self._control_plane = control_plane
        self._request_path = request_path
        self._started_at: datetime.timedelta | None = None
        self._idle_since: datetime.timedelta | None = None
        self._has_exited = False

    @property
    def leaving(self) -> bool:
        """Whether the shutdown has started."""
        return self._started_at is not None

    def start(self) -> Effects:
        """Announce the shutdown; later calls do nothing."""
        if self.leaving:
            return []
        self._started_at = self._clock.monotonic()
        log = effects.WriteLog(effects.Severity.INFO, 'leaving')
        return [
            log,
            *self._control_plane.send_all(self._control_plane.table.leave()),
        ]

    def tick(self) -> Effects:
        """Continue the shutdown."""
        if self._started_at is None or self._has_exited:
            return []
        produced = self._request_path.hand_over()
        now = self._clock.monotonic()
        if (
            self._has_unfinished_work()
            and now - self._started_at < MAX_REQUEST_TIMEOUT
        ):
            self._idle_since = None
            return produced
        if self._idle_since is None:
            self._idle_since = now
        if now - self._idle_since < self._grace_period:
            return produced
        self._has_exited = True
        produced += self._control_plane.send_all(
            self._control_plane.table.exit()
        )
        log = effects.WriteLog(effects.Severity.INFO, 'left')
        return [*produced, log, effects.Exit()]

    def _has_unfinished_work(self) -> bool:
        return (
            self._request_path.placers.bound > 0
            or self._request_path.placers.queued > 0
            or self._control_plane.router.handing_over
        )
