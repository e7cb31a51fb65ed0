"""Log lines about refused requests."""

import datetime
import logging

from acaciamoor.balancer import core as cores
import acaciamoor.clock as clocks
from acaciamoor.telemetry import bounded

_LOG = logging.getLogger('acaciamoor.balancer')
_MS = datetime.timedelta(milliseconds=1)


class RequestLog:
    """Logs each refusal with what it rests on, at a limited rate.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._rate_limiter = bounded.LogRateLimiter(clock)

    def record(self, effect: cores.Effect) -> None:
        """Log `effect` if it is a refusal."""
        if not isinstance(effect, cores.RequestRefused):
            return
        if not self._rate_limiter.try_acquire(bounded.LogCategory.FAILURE):
            return
        suppressed = self._rate_limiter.pop_suppressed_count()
        if suppressed:
            _LOG.warning('%d log lines were left out', suppressed)
        fields = {
            'service': effect.service,
            'flow': effect.flow,
            'reason': effect.reason,
            'outcome': effect.outcome.value,
            'retry_after_ms': effect.retry_after // _MS,
        }
        if effect.inputs is not None:
            fields['queued'] = effect.inputs.queued
            fields['slots'] = effect.inputs.slots
            fields['wait_ms'] = effect.inputs.expected_wait // _MS
            age = effect.inputs.estimate_age
            fields['age_ms'] = -1 if age is None else age // _MS
        _LOG.info('request refused', extra=fields)
