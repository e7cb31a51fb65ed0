"""Log lines and metrics of forwarding decisions."""

import datetime
import functools
import logging

from acaciamoor import clock as clocks
from acaciamoor import evidence
from acaciamoor.forwarder import effects
from acaciamoor.forwarder import sync_status
from acaciamoor.openings import pending
from acaciamoor.platform import versions
from acaciamoor.telemetry import bounded
from acaciamoor.telemetry import exposition

_LOG = logging.getLogger(__name__)
_MS = datetime.timedelta(milliseconds=1)
# From a handshake within a data centre to the timeout of callers, in seconds.
_HANDSHAKE_BUCKETS_S = (
    0.002,
    0.005,
    0.01,
    0.02,
    0.04,
    0.08,
    0.2,
    0.4,
    0.8,
    1.4,
)


class Observer:
    """Logs each decision about a flow and counts all packets.

    The rate of log lines is limited; suppressed lines are counted and
    reported.

    Parameters
    ----------
    clock : Clock
        Source of time.
    get_sync_status : callable
        Returns the versions in force and their age, for the log.
    """

    def __init__(
        self, clock: clocks.Clock, get_sync_status: sync_status.GetSyncStatus
    ) -> None:
        self._rate_limiter = bounded.LogRateLimiter(clock)
        self._get_sync_status = get_sync_status
        self.packets = exposition.Counter(
            'acaciamoor_forwarder_packets_total',
            'Packets of callers by what became of them.',
        )
        self.unsent = exposition.Counter(
            'acaciamoor_forwarder_unsent_datagrams_total',
            'Datagrams that the operating system did not take.',
        )
        self.failures = exposition.Counter(
            'acaciamoor_forwarder_internal_errors_total',
            'Packets that the program failed to handle.',
        )
        self.suspicions = exposition.Counter(
            'acaciamoor_forwarder_suspicions_total',
            'Upstreams that did not answer an opening packet.',
        )
        self.overload_refusals = exposition.Counter(
            'acaciamoor_forwarder_overload_refusals_total',
            'Flows that were refused because their service is overloaded.',
        )
        self.refusals_beside_room = exposition.Counter(
            'acaciamoor_forwarder_refusals_beside_room_total',
            'The same while the picture showed an upstream with room.',
        )
        self.priority_inversions = exposition.Counter(
            'acaciamoor_forwarder_priority_inversions_total',
            'Flows that were refused or waited while less important ones were '
            'admitted.',
        )
        self.capacity_changes = exposition.Counter(
            'acaciamoor_forwarder_capacity_changes_total',
            'Changes of a measured rate by more than a factor of two.',
        )
        self.evidence_changes = exposition.Counter(
            'acaciamoor_forwarder_evidence_changes_total',
            'Changes of what shared evidence says of an upstream.',
        )
        self.handshakes = exposition.Histogram(
            'acaciamoor_forwarder_handshake_seconds',
            'Time from an opening packet to the next packet of its flow.',
            _HANDSHAKE_BUCKETS_S,
        )

    @property
    def metrics(self) -> tuple[exposition.Metric, ...]:
        """Metrics that this observer updates."""
        return (
            self.packets,
            self.unsent,
            self.failures,
            self.suspicions,
            self.overload_refusals,
            self.refusals_beside_room,
            self.priority_inversions,
            self.capacity_changes,
            self.evidence_changes,
            self.handshakes,
        )

    def record_placement(self, placement: effects.Placement) -> None:
        """Record the placement of a flow."""
        outcome = 'repeated' if placement.retried else 'placed'
        self.packets.add(outcome=outcome)
        self._log(
            _category(placement),
            f'flow {outcome}',
            placement.key,
            upstream=placement.forward.upstream_id,
            service=placement.service,
            attempt=placement.attempt,
            candidates=placement.candidates,
            suspects=placement.suspects,
        )

    def record_refusal(self, refusal: effects.Refusal) -> None:
        """Record a refused flow."""
        self.packets.add(outcome='refused', reason=refusal.reason.value)
        if refusal.overload is not None:
            self._record_overload(refusal.key, refusal.overload)
            return
        self._log(
            bounded.LogCategory.FAILURE,
            'flow refused',
            refusal.key,
            reason=refusal.reason.value,
        )

    def _record_overload(
        self, key: pending.FlowKey, overload: effects.Overload
    ) -> None:
        labels = {
            'service': overload.service,
            'priority': str(overload.priority),
        }
        evidence = overload.evidence
        self.overload_refusals.add(**labels)
        if evidence.free_upstreams:
            self.refusals_beside_room.add(**labels)
        if overload.behind_lower:
            self.priority_inversions.add(**labels, outcome='refused')
        self._log(
            bounded.LogCategory.FAILURE,
            'flow refused',
            key,
            reason=effects.RefusalReason.OVERLOAD.value,
            service=overload.service,
            priority=overload.priority,
            demand_per_s=round(evidence.demand),
            admitted_per_s=round(evidence.admitted),
            in_progress=evidence.in_progress,
            limit=round(evidence.limit),
            free_upstreams=evidence.free_upstreams,
            picture_age_ms=round(overload.age / _MS),
        )

    def record_important_wait(self, wait: effects.ImportantFlowWaits) -> None:
        """Record a flow that waits while less important ones are admitted."""
        self.priority_inversions.add(
            service=wait.service, priority=str(wait.priority), outcome='waited'
        )
        self._log(
            bounded.LogCategory.FAILURE,
            'important flow waits',
            wait.key,
            service=wait.service,
            priority=wait.priority,
        )

    def record_wait(
        self, wait: effects.Wait, key: pending.FlowKey | None
    ) -> None:
        """Record a flow that waits to be placed."""
        self.packets.add(outcome='waiting', reason=wait.reason.value)
        self._log(
            bounded.LogCategory.FAILURE,
            'flow waits',
            key,
            reason=wait.reason.value,
        )

    def record_drop(
        self, drop: effects.Drop, key: pending.FlowKey | None
    ) -> None:
        """Record a dropped packet."""
        self.packets.add(outcome='dropped', reason=drop.reason.value)
        self._log(
            bounded.LogCategory.FAILURE,
            'packet dropped',
            key,
            reason=drop.reason.value,
        )

    def record_failure(self, key: pending.FlowKey | None) -> None:
        """Record the exception that is being handled."""
        self.failures.add()
        if self._rate_limiter.try_acquire(bounded.LogCategory.FAILURE):
            flow = None if key is None else flow_name(key)
            _LOG.exception('packet not handled', extra={'flow': flow})

    def record(self, observation: effects.Observation) -> None:
        """Record an observation."""
        _record(observation, self)

    def record_handshake(self, handshake: effects.HandshakeCompleted) -> None:
        """Record the duration of a handshake."""
        self.handshakes.record(handshake.duration.total_seconds())

    def record_suspicion(self, suspicion: effects.UpstreamSuspected) -> None:
        """Record that an upstream is now suspected."""
        self.suspicions.add()
        self._log(
            bounded.LogCategory.FAILURE,
            'upstream suspected',
            suspicion.key,
            upstream=suspicion.upstream_id,
            silence_ms=round(suspicion.silence / _MS),
        )

    def record_clearance(self, clearance: effects.SuspicionCleared) -> None:
        """Record that an upstream is no longer suspected."""
        self._log(
            bounded.LogCategory.FAILURE,
            'upstream cleared',
            clearance.key,
            upstream=clearance.upstream_id,
        )

    def record_capacity(self, change: effects.CapacityChanged) -> None:
        """Record that an upstream became slower or faster."""
        self.capacity_changes.add()
        self._log(
            bounded.LogCategory.ROUTINE,
            'capacity changed',
            None,
            upstream=change.upstream_id,
            rate_before=round(change.rate_before, 1),
            rate=round(change.rate, 1),
            limit=round(change.limit, 1),
        )

    def record_evidence(self, change: evidence.Change) -> None:
        """Record that hosts judge an upstream otherwise than before."""
        self.evidence_changes.add(verdict=change.after.value)
        self._log(
            bounded.LogCategory.FAILURE,
            f'upstream is {change.after.value} to all hosts',
            None,
            upstream=change.upstream_id,
            before=change.before.value,
            openings=change.openings,
            unanswered=change.unanswered,
            answers=change.answers,
            ban_ms=round(change.ban / _MS),
        )

    def log_suppressed_lines(self) -> None:
        """Log how many lines the rate limit suppressed."""
        suppressed = self._rate_limiter.pop_suppressed_count()
        if suppressed:
            _LOG.warning('%d log lines were left out', suppressed)

    def _log(
        self,
        category: bounded.LogCategory,
        message: str,
        key: pending.FlowKey | None,
        **fields: object,
    ) -> None:
        if not self._rate_limiter.try_acquire(category):
            return
        if key is not None:
            fields['flow'] = flow_name(key)
        status = self._get_sync_status()
        fields['routes_version'] = status.routes_version
        fields['upstreams_version'] = versions.format_version(
            status.upstreams_version
        )
        fields['age_ms'] = status.age_ms
        _LOG.info(message, extra=fields)


def flow_name(key: pending.FlowKey) -> str:
    """Return the text that identifies a flow in log lines.

    Examples
    --------
    >>> flow_name((0x64400007, 40001, 0xC6120001, 443))
    '100.64.0.7:40001>198.18.0.1:443'
    """
    return f'{_format_ip(key[0])}:{key[1]}>{_format_ip(key[2])}:{key[3]}'


def _format_ip(number: int) -> str:
    return '.'.join(str(number >> shift & 255) for shift in (24, 16, 8, 0))


def _category(placement: effects.Placement) -> bounded.LogCategory:
    if placement.attempt > 1 or placement.suspects:
        return bounded.LogCategory.FAILURE
    return bounded.LogCategory.ROUTINE


@functools.singledispatch
def _record(observation: effects.Observation, observer: Observer) -> None:
    raise TypeError(f'no handler for observation {observation!r}')


@_record.register
def _record_handshake(
    observation: effects.HandshakeCompleted, observer: Observer
) -> None:
    observer.record_handshake(observation)


@_record.register
def _record_suspicion(
    observation: effects.UpstreamSuspected, observer: Observer
) -> None:
    observer.record_suspicion(observation)


@_record.register
def _record_clearance(
    observation: effects.SuspicionCleared, observer: Observer
) -> None:
    observer.record_clearance(observation)


@_record.register
def _record_important_wait(
    observation: effects.ImportantFlowWaits, observer: Observer
) -> None:
    observer.record_important_wait(observation)


@_record.register
def _record_capacity(
    observation: effects.CapacityChanged, observer: Observer
) -> None:
    observer.record_capacity(observation)


@_record.register
def _record_evidence(
    observation: effects.EvidenceChanged, observer: Observer
) -> None:
    observer.record_evidence(observation.change)
