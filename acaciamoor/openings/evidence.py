"""Upstreams that do not answer, told from the packets of callers.

No probe is sent. An opening packet to a live upstream is followed within
milliseconds by the caller's next packet. Its absence is evidence against the
upstream; any packet that follows an answer clears it.
"""

import datetime

import msgspec

from acaciamoor import model


class EvidenceSettings(msgspec.Struct, frozen=True):
    """How long silence counts.

    Parameters
    ----------
    first_suspicion : datetime.timedelta
        Time for which an upstream is avoided after it did not answer. 1.5 s
        was the best of the trials on the users' platform.
    longest_suspicion : datetime.timedelta
        Bound of the time, which doubles with each further silence. A trial
        flow costs its caller one retried opening packet.
    """

    first_suspicion: datetime.timedelta = datetime.timedelta(seconds=1.5)
    longest_suspicion: datetime.timedelta = datetime.timedelta(seconds=6)


class _Record:
    __slots__ = ('misses', 'until')

    def __init__(self) -> None:
        self.misses = 0
        self.until = datetime.timedelta(0)


class Evidence:
    """Upstreams under suspicion.

    Parameters
    ----------
    settings : EvidenceSettings
        How long silence counts.

    Examples
    --------
    >>> second = datetime.timedelta(seconds=1)
    >>> evidence = Evidence()
    >>> evidence.note_silence('desk-1', 0 * second)
    True
    >>> evidence.suspects('desk-1', 1 * second)
    True
    >>> evidence.note_answer('desk-1')
    True
    >>> evidence.suspects('desk-1', 1 * second)
    False
    """

    def __init__(self, settings: EvidenceSettings | None = None) -> None:
        self._settings = settings or EvidenceSettings()
        self._records_by_id: dict[model.UpstreamId, _Record] = {}

    def note_silence(
        self, upstream_id: model.UpstreamId, now: datetime.timedelta
    ) -> bool:
        """Note an opening without an answer; True if suspicion is new."""
        record = self._records_by_id.get(upstream_id)
        if record is None:
            record = self._records_by_id[upstream_id] = _Record()
        elif now < record.until:
            return False
        settings = self._settings
        period = min(
            settings.first_suspicion * (1 << min(record.misses, 8)),
            settings.longest_suspicion,
        )
        record.misses += 1
        record.until = now + period
        return True

    def note_answer(self, upstream_id: model.UpstreamId) -> bool:
        """Clear an upstream that answered; True if it was suspected."""
        return self._records_by_id.pop(upstream_id, None) is not None

    def suspects(
        self, upstream_id: model.UpstreamId, now: datetime.timedelta
    ) -> bool:
        """Return whether new flows should avoid an upstream."""
        record = self._records_by_id.get(upstream_id)
        return record is not None and now < record.until
