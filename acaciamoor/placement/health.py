"""Passive and active health checks of upstreams.

Passive checks observe answers and timeouts, active checks are health probes.
Neither is sufficient alone: failed probes don't eject an upstream that
answers requests, and an upstream that only times out is ejected even if its
health endpoint reports that it is healthy.
"""

import collections.abc
import dataclasses
import datetime
import enum
import math
import statistics

from acaciamoor import model
from acaciamoor.placement import estimates

# Consecutive timeouts, without an answer between, that eject an upstream.
TIMEOUTS_TO_EJECT = 3
# Consecutive failed probes that eject an upstream without recent answers.
FAILED_PROBES_TO_EJECT = 3
# Consecutive successful probes that readmit an upstream.
SUCCESSFUL_PROBES_TO_READMIT = 2
# Failed probes are disregarded if the latest answer is younger than this.
RECENT_ANSWER_AGE = datetime.timedelta(seconds=2)
# An upstream is an outlier if its typical time exceeds the median of all
# upstreams by this factor. With 5% stragglers of 50x, random variation alone
# stays below a factor of 3.
_OUTLIER_FACTOR = 5.0
_OUTLIER_MIN_SAMPLES = 50
_OUTLIER_MIN_UPSTREAMS = 3
# The duration of an ejection doubles with each one, up to the maximum.
_MIN_EJECTION = datetime.timedelta(seconds=5)
_MAX_EJECTION = datetime.timedelta(seconds=60)
# Without a probe result for this long, an upstream is readmitted as soon as
# its ejection has expired.
_PROBE_SILENCE_LIMIT = datetime.timedelta(seconds=10)


class EjectionReason(enum.Enum):
    """Why an upstream is ejected.

    A ``DEAD`` upstream neither answers requests nor passes health probes. An
    ``OUTLIER`` is much slower than the others or lets requests time out.
    """

    DEAD = 'dead'
    OUTLIER = 'outlier'


@dataclasses.dataclass(slots=True)
class UpstreamHealth:
    """Health observations of one upstream.

    Parameters
    ----------
    timeouts : int
        Consecutive timeouts without an answer between.
    failed_probes, successful_probes : int
        Consecutive results of health probes.
    answered_at, probed_at : datetime.timedelta or None
        Monotonic times of the latest answer and the latest probe result.
    mean_log_seconds : estimates.AdaptiveMean
        Mean of the natural logarithms of the running times in seconds.
    ejected_until : datetime.timedelta or None
        Monotonic time until which the upstream is ejected at least.
    next_ejection : datetime.timedelta
        Duration of the next ejection.
    """

    timeouts: int = 0
    failed_probes: int = 0
    successful_probes: int = 0
    answered_at: datetime.timedelta | None = None
    probed_at: datetime.timedelta | None = None
    mean_log_seconds: estimates.AdaptiveMean = dataclasses.field(
        default_factory=estimates.AdaptiveMean
    )
    ejected_until: datetime.timedelta | None = None
    next_ejection: datetime.timedelta = _MIN_EJECTION


class HealthMonitor:
    """Decides which upstreams of a service to eject and to readmit."""

    def __init__(self) -> None:
        self._health_by_id: dict[model.UpstreamId, UpstreamHealth] = {}

    def set_upstreams(
        self, upstream_ids: collections.abc.Iterable[model.UpstreamId]
    ) -> None:
        """Track these upstreams; observations of all others are dropped."""
        self._health_by_id = {
            upstream_id: self._health_by_id.get(upstream_id, UpstreamHealth())
            for upstream_id in upstream_ids
        }

    def on_answer(
        self,
        upstream_id: model.UpstreamId,
        seconds: float,
        now: datetime.timedelta,
    ) -> EjectionReason | None:
        """Record an answer; return a reason to eject the upstream, if any."""
        health = self._health_by_id.get(upstream_id)
        if health is None:
            return None
        health.timeouts = 0
        health.answered_at = now
        health.mean_log_seconds.add(math.log(max(seconds, 1e-6)))
        return EjectionReason.OUTLIER if self._is_outlier(health) else None

    def on_timeout(
        self, upstream_id: model.UpstreamId
    ) -> EjectionReason | None:
        """Record a timeout; return a reason to eject the upstream, if any."""
        health = self._health_by_id.get(upstream_id)
        if health is None:
            return None
        health.timeouts += 1
        if health.timeouts < TIMEOUTS_TO_EJECT:
            return None
        dead = health.failed_probes >= FAILED_PROBES_TO_EJECT
        return EjectionReason.DEAD if dead else EjectionReason.OUTLIER

    def on_probe(
        self,
        upstream_id: model.UpstreamId,
        healthy: bool,
        now: datetime.timedelta,
    ) -> EjectionReason | None:
        """Record a probe result; return a reason for ejection, if any."""
        health = self._health_by_id.get(upstream_id)
        if health is None:
            return None
        health.probed_at = now
        health.successful_probes = (
            health.successful_probes + 1 if healthy else 0
        )
        health.failed_probes = 0 if healthy else health.failed_probes + 1
        if health.failed_probes < FAILED_PROBES_TO_EJECT:
            return None
        answered = health.answered_at
        if answered is not None and now - answered < RECENT_ANSWER_AGE:
            return None
        return EjectionReason.DEAD

    def record_ejection(
        self, upstream_id: model.UpstreamId, now: datetime.timedelta
    ) -> None:
        """Record an ejection and double the duration of the next one."""
        health = self._health_by_id[upstream_id]
        health.ejected_until = now + health.next_ejection
        health.next_ejection = min(2 * health.next_ejection, _MAX_EJECTION)
        health.successful_probes = 0

    def pop_readmissible(
        self, now: datetime.timedelta
    ) -> list[model.UpstreamId]:
        """Return the upstreams to readmit and reset their observations."""
        found = [
            upstream_id
            for upstream_id, health in self._health_by_id.items()
            if self._may_readmit(health, now)
        ]
        for upstream_id in found:
            self._health_by_id[upstream_id] = UpstreamHealth(
                next_ejection=self._health_by_id[upstream_id].next_ejection,
                probed_at=self._health_by_id[upstream_id].probed_at,
            )
        return found

    def _may_readmit(
        self, health: UpstreamHealth, now: datetime.timedelta
    ) -> bool:
        if health.ejected_until is None or now < health.ejected_until:
            return False
        probed = health.probed_at
        if probed is None or now - probed > _PROBE_SILENCE_LIMIT:
            return True
        return health.successful_probes >= SUCCESSFUL_PROBES_TO_READMIT

    def _is_outlier(self, health: UpstreamHealth) -> bool:
        if health.mean_log_seconds.samples < _OUTLIER_MIN_SAMPLES:
            return False
        known = [
            other.mean_log_seconds.value
            for other in self._health_by_id.values()
            if other.mean_log_seconds.samples >= _OUTLIER_MIN_SAMPLES
        ]
        if len(known) < _OUTLIER_MIN_UPSTREAMS:
            return False
        limit = statistics.median(known) + math.log(_OUTLIER_FACTOR)
        return health.mean_log_seconds.value > limit
