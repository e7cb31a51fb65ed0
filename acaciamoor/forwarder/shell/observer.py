"""Log lines and metrics about what a host decides."""

import datetime
import functools
import logging

from acaciamoor import clock as clocks
from acaciamoor.forwarder import effects
from acaciamoor.forwarder import knowledge
from acaciamoor.openings import pending
from acaciamoor.telemetry import bounded
from acaciamoor.telemetry import exposition

_LOG = logging.getLogger(__name__)
_MS = datetime.timedelta(milliseconds=1)
# From a handshake inside a data centre to the time at which callers give up.
_HANDSHAKE_BOUNDS_S = (
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
    """Writes one line for each decision about a flow and counts all packets.

    Lines are limited a second; those left out are counted and reported.

    Parameters
    ----------
    clock : Clock
        Source of time.
    know : callable
        Returns what the host knows and how old it is, for the log.
    """

    def __init__(self, clock: clocks.Clock, know: knowledge.Know) -> None:
        self._rate_limiter = bounded.LogRateLimiter(clock)
        self._know = know
        self.packets = exposition.Counter(
            'acaciamoor_forwarder_packets_total',
            'Packets of callers by what became of them.',
        )
        self.unsent = exposition.Counter(
            'acaciamoor_forwarder_unsent_datagrams_total',
            'Datagrams that the operating system did not take.',
        )
        self.suspicions = exposition.Counter(
            'acaciamoor_forwarder_suspicions_total',
            'Upstreams that did not answer an opening packet.',
        )
        self.handshakes = exposition.Histogram(
            'acaciamoor_forwarder_handshake_seconds',
            'Time from an opening packet to the next packet of its flow.',
            _HANDSHAKE_BOUNDS_S,
        )

    @property
    def metrics(self) -> tuple[exposition.Metric, ...]:
        """All metrics of this object."""
        return (self.packets, self.unsent, self.suspicions, self.handshakes)

    def note_placed(self, placed: effects.Placed) -> None:
        """Note the choice of an upstream."""
        outcome = 'repeated' if placed.repeated else 'placed'
        self.packets.add(outcome=outcome)
        self._write(
            _category(placed),
            f'flow {outcome}',
            placed.key,
            upstream=placed.forward.upstream_id,
            service=placed.service,
            attempt=placed.attempt,
            candidates=placed.candidates,
            suspects=placed.suspects,
        )

    def note_refusal(self, refusal: effects.Refusal) -> None:
        """Note the reset of an opening."""
        self.packets.add(outcome='refused', reason=refusal.reason.value)
        self._write(
            bounded.LogCategory.FAILURE,
            'flow refused',
            refusal.key,
            reason=refusal.reason.value,
        )

    def note_dropped(
        self, dropped: effects.Dropped, key: pending.FlowKey | None
    ) -> None:
        """Note a packet that went nowhere."""
        self.packets.add(outcome='dropped', reason=dropped.reason.value)
        self._write(
            bounded.LogCategory.FAILURE,
            'packet dropped',
            key,
            reason=dropped.reason.value,
        )

    def note(self, notice: effects.Notice) -> None:
        """Note what the host has learned."""
        _note(notice, self)

    def note_opened(self, opened: effects.Opened) -> None:
        """Measure a handshake."""
        self.handshakes.record(opened.after.total_seconds())

    def note_suspected(self, suspected: effects.Suspected) -> None:
        """Note that an upstream is avoided."""
        self.suspicions.add()
        self._write(
            bounded.LogCategory.FAILURE,
            'upstream suspected',
            suspected.key,
            upstream=suspected.upstream_id,
            silence_ms=round(suspected.silence / _MS),
        )

    def note_cleared(self, cleared: effects.Cleared) -> None:
        """Note that an upstream has answered again."""
        self._write(
            bounded.LogCategory.FAILURE,
            'upstream cleared',
            cleared.key,
            upstream=cleared.upstream_id,
        )

    def tick(self) -> None:
        """Log how many lines were left out."""
        left_out = self._rate_limiter.pop_suppressed_count()
        if left_out:
            _LOG.warning('%d log lines were left out', left_out)

    def _write(
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
        known = self._know()
        fields['routes_version'] = known.routes_version
        fields['upstreams_version'] = known.upstreams_version
        fields['age_ms'] = known.age_ms
        _LOG.info(message, extra=fields)


def flow_name(key: pending.FlowKey) -> str:
    """Return the name of a flow in logs.

    Examples
    --------
    >>> flow_name((0x64400007, 40001, 0xC6120001, 443))
    '100.64.0.7:40001>198.18.0.1:443'
    """
    return f'{_ip(key[0])}:{key[1]}>{_ip(key[2])}:{key[3]}'


def _ip(number: int) -> str:
    return '.'.join(str(number >> shift & 255) for shift in (24, 16, 8, 0))


def _category(placed: effects.Placed) -> bounded.LogCategory:
    if placed.attempt > 1 or placed.suspects:
        return bounded.LogCategory.FAILURE
    return bounded.LogCategory.ROUTINE


@functools.singledispatch
def _note(notice: effects.Notice, observer: Observer) -> None:
    raise TypeError(f'unknown notice {notice!r}')


@_note.register
def _note_opened(notice: effects.Opened, observer: Observer) -> None:
    observer.note_opened(notice)


@_note.register
def _note_suspected(notice: effects.Suspected, observer: Observer) -> None:
    observer.note_suspected(notice)


@_note.register
def _note_cleared(notice: effects.Cleared, observer: Observer) -> None:
    observer.note_cleared(notice)
