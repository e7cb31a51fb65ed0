"""Judges upstreams by their answers, time-outs and health probes.

Neither source is believed alone: an upstream that answers stays in use
whatever its health endpoint says, and one that only times out is ejected
even if the endpoint says that it is healthy.
"""

import collections.abc
import dataclasses
import datetime
import enum
import math
import statistics

from acaciamoor import model
from acaciamoor.placement import estimates

# Time-outs in a row, with no answer between, that eject an upstream.
TIMEOUTS_IN_A_ROW = 3
# Failed probes in a row that eject an upstream which does not answer.
PROBES_IN_A_ROW = 3
# Successful probes in a row that readmit an upstream.
PROBES_TO_READMIT = 2
# An answer this recent outweighs failed probes.
RECENT_ANSWER = datetime.timedelta(seconds=2)
# Typical time of an upstream relative to the median of all that makes it an
# outlier. With 5% stragglers of 50x, chance gives less than 3.
_OUTLIER_FACTOR = 5.0
_OUTLIER_SAMPLES = 50
_OUTLIER_PEERS = 3
# An upstream is ejected for this long; the time doubles up to the limit.
_FIRST_EJECTION = datetime.timedelta(seconds=5)
_LONGEST_EJECTION = datetime.timedelta(seconds=60)
# Without any probe result for this long, readmission goes by time alone.
_PROBES_ABSENT = datetime.timedelta(seconds=10)


class Judgement(enum.Enum):
    """Why an upstream is ejected."""

    DEAD = 'dead'
    OUTLIER = 'outlier'


@dataclasses.dataclass(slots=True)
class Record:
    """Observations of one upstream."""

    timeouts: int = 0
    failed_probes: int = 0
    good_probes: int = 0
    answered_at: datetime.timedelta | None = None
    probed_at: datetime.timedelta | None = None
    log_seconds: estimates.Mean = dataclasses.field(
        default_factory=estimates.Mean
    )
    ejected_until: datetime.timedelta | None = None
    ejection: datetime.timedelta = _FIRST_EJECTION


class HealthMonitor:
    """Records of all upstreams of a service."""

    def __init__(self) -> None:
        self._records_by_id: dict[model.UpstreamId, Record] = {}

    def set_upstreams(
        self, upstream_ids: collections.abc.Iterable[model.UpstreamId]
    ) -> None:
        """Forget the upstreams that are not listed any more."""
        self._records_by_id = {
            upstream_id: self._records_by_id.get(upstream_id, Record())
            for upstream_id in upstream_ids
        }

    def on_answer(
        self,
        upstream_id: model.UpstreamId,
        seconds: float,
        now: datetime.timedelta,
    ) -> Judgement | None:
        """Take an answer and how long it took."""
        record = self._records_by_id.get(upstream_id)
        if record is None:
            return None
        record.timeouts = 0
        record.answered_at = now
        record.log_seconds.add(math.log(max(seconds, 1e-6)))
        return Judgement.OUTLIER if self._is_outlier(record) else None

    def on_timeout(self, upstream_id: model.UpstreamId) -> Judgement | None:
        """Take a request that was not answered by its deadline."""
        record = self._records_by_id.get(upstream_id)
        if record is None:
            return None
        record.timeouts += 1
        if record.timeouts < TIMEOUTS_IN_A_ROW:
            return None
        dead = record.failed_probes >= PROBES_IN_A_ROW
        return Judgement.DEAD if dead else Judgement.OUTLIER

    def on_probe(
        self,
        upstream_id: model.UpstreamId,
        healthy: bool,
        now: datetime.timedelta,
    ) -> Judgement | None:
        """Take the result of a health probe."""
        record = self._records_by_id.get(upstream_id)
        if record is None:
            return None
        record.probed_at = now
        record.good_probes = record.good_probes + 1 if healthy else 0
        record.failed_probes = 0 if healthy else record.failed_probes + 1
        if record.failed_probes < PROBES_IN_A_ROW:
            return None
        answered = record.answered_at
        if answered is not None and now - answered < RECENT_ANSWER:
            return None
        return Judgement.DEAD

    def eject(
        self, upstream_id: model.UpstreamId, now: datetime.timedelta
    ) -> None:
        """Note that an upstream was taken out of use."""
        record = self._records_by_id[upstream_id]
        record.ejected_until = now + record.ejection
        record.ejection = min(2 * record.ejection, _LONGEST_EJECTION)
        record.good_probes = 0

    def readmissible(self, now: datetime.timedelta) -> list[model.UpstreamId]:
        """Return ejected upstreams that may be tried again, and reset them."""
        found = [
            upstream_id
            for upstream_id, record in self._records_by_id.items()
            if self._may_return(record, now)
        ]
        for upstream_id in found:
            self._records_by_id[upstream_id] = Record(
                ejection=self._records_by_id[upstream_id].ejection,
                probed_at=self._records_by_id[upstream_id].probed_at,
            )
        return found

    def _may_return(self, record: Record, now: datetime.timedelta) -> bool:
        if record.ejected_until is None or now < record.ejected_until:
            return False
        probed = record.probed_at
        if probed is None or now - probed > _PROBES_ABSENT:
            return True
        return record.good_probes >= PROBES_TO_READMIT

    def _is_outlier(self, record: Record) -> bool:
        if record.log_seconds.samples < _OUTLIER_SAMPLES:
            return False
        known = [
            other.log_seconds.value
            for other in self._records_by_id.values()
            if other.log_seconds.samples >= _OUTLIER_SAMPLES
        ]
        if len(known) < _OUTLIER_PEERS:
            return False
        limit = statistics.median(known) + math.log(_OUTLIER_FACTOR)
        return record.log_seconds.value > limit
