"""Passive failure detection of upstreams from the packets of callers.

No probes are sent. When an upstream answers an opening packet, the caller's
next packet follows within milliseconds. If none arrives in time, the upstream
is suspected; a packet that follows an answer clears the suspicion.
"""

import datetime

import msgspec

from acaciamoor import model


class FailureDetectorSettings(msgspec.Struct, frozen=True):
    """Duration of suspicions.

    Parameters
    ----------
    initial_suspicion : datetime.timedelta
        Time for which an upstream is avoided after its first timeout. 1.5 s
        gave the best results in trials on the platform.
    max_suspicion : datetime.timedelta
        Maximum of that time, which doubles with each further timeout. A flow
        that tests a dead upstream costs its caller one resent opening packet.
    """

    initial_suspicion: datetime.timedelta = datetime.timedelta(seconds=1.5)
    max_suspicion: datetime.timedelta = datetime.timedelta(seconds=6)


class _Record:
    __slots__ = ('timeouts', 'until')

    def __init__(self) -> None:
        self.timeouts = 0
        self.until = datetime.timedelta(0)


class FailureDetector:
    """Tracks which upstreams are suspected to have failed.

    Parameters
    ----------
    settings : FailureDetectorSettings
        Duration of suspicions.

    Examples
    --------
    >>> second = datetime.timedelta(seconds=1)
    >>> detector = FailureDetector()
    >>> detector.record_timeout('desk-1', 0 * second)
    True
    >>> detector.is_suspected('desk-1', 1 * second)
    True
    >>> detector.record_answer('desk-1')
    True
    >>> detector.is_suspected('desk-1', 1 * second)
    False
    """

    def __init__(
        self, settings: FailureDetectorSettings | None = None
    ) -> None:
        self._settings = settings or FailureDetectorSettings()
        self._records_by_id: dict[model.UpstreamId, _Record] = {}

    def record_timeout(
        self, upstream_id: model.UpstreamId, now: datetime.timedelta
    ) -> bool:
        """Suspect an upstream; True if it was not suspected at that time."""
        record = self._records_by_id.get(upstream_id)
        if record is None:
            record = self._records_by_id[upstream_id] = _Record()
        elif now < record.until:
            return False
        settings = self._settings
        period = min(
            settings.initial_suspicion * (1 << min(record.timeouts, 8)),
            settings.max_suspicion,
        )
        record.timeouts += 1
        record.until = now + period
        return True

    def record_answer(self, upstream_id: model.UpstreamId) -> bool:
        """Clear an upstream that answered; True if it had timed out before."""
        return self._records_by_id.pop(upstream_id, None) is not None

    def is_suspected(
        self, upstream_id: model.UpstreamId, now: datetime.timedelta
    ) -> bool:
        """Return whether new flows should avoid an upstream."""
        record = self._records_by_id.get(upstream_id)
        return record is not None and now < record.until

    def forget(self, upstream_id: model.UpstreamId) -> None:
        """Remove the record of an upstream that no longer exists."""
        self._records_by_id.pop(upstream_id, None)
