"""Judgement of one upstream from sums of reports."""

import datetime
import enum

from acaciamoor.evidence import settings as evidence_settings

_ZERO = datetime.timedelta(0)
# Doublings beyond these exceed any maximum.
_MAX_DOUBLINGS = 16
# Weight below which an unanswered opening counts for nothing.
_LITTLE = 0.3


class Verdict(enum.Enum):
    """What the evidence says of an upstream."""

    HEALTHY = 'healthy'
    SILENT = 'silent'
    # It leaves a share of the openings unanswered.
    PARTIAL = 'partial'
    # It answers now, after it was silent several times.
    FLAPPING = 'flapping'


class Sample:
    """Sums about an upstream in an interval.

    Parameters
    ----------
    openings, unanswered : int
        Opening packets sent, and those that were not answered.
    answers : int
        Requests that were answered or rejected.
    """

    __slots__ = ('answers', 'openings', 'unanswered')

    def __init__(
        self, openings: int = 0, unanswered: int = 0, answers: int = 0
    ) -> None:
        self.openings = openings
        self.unanswered = unanswered
        self.answers = answers

    def add(self, openings: int, unanswered: int, answers: int) -> None:
        """Add the sums of another data centre."""
        self.openings += openings
        self.unanswered += unanswered
        self.answers += answers


class _Totals:
    """Openings and unanswered ones, which lose weight with time."""

    __slots__ = ('openings', 'unanswered')

    def __init__(self) -> None:
        self.openings = 0.0
        self.unanswered = 0.0

    def add(self, sample: Sample, decay: float) -> None:
        self.openings = self.openings * decay + sample.openings
        self.unanswered = self.unanswered * decay + sample.unanswered


class SilenceTrack:
    """Decides whether an upstream is silent to a group of hosts.

    The hosts are those of all data centres, or those of one.

    Parameters
    ----------
    settings : EvidenceSettings
        Thresholds.
    """

    __slots__ = ('_answered', '_settings', '_totals', 'silent')

    def __init__(self, settings: evidence_settings.EvidenceSettings) -> None:
        self._settings = settings
        self.silent = False
        # Since the last answer.
        self._totals = _Totals()
        # Openings without a sign of silence since the last one.
        self._answered = 0

    def record(self, sample: Sample, decay: float) -> None:
        """Take in an interval.

        Parameters
        ----------
        sample : Sample
            Sums of the interval.
        decay : float
            Weight that earlier evidence has left.
        """
        if self._shows_silence(sample, decay):
            self.silent = True
            self._answered = 0
        elif sample.answers > sample.unanswered or self._is_answered(sample):
            self.silent = False

    @property
    def is_questionable(self) -> bool:
        """Whether it has left an opening unanswered since its last answer."""
        return self._totals.unanswered > _LITTLE

    def clear(self) -> None:
        """Forget all evidence."""
        self.silent = False
        self._totals = _Totals()

    def _shows_silence(self, sample: Sample, decay: float) -> bool:
        settings = self._settings
        unanswered = sample.unanswered
        mostly = 2 * unanswered >= sample.openings
        if sample.answers:
            # It may have fallen silent after these answers, or finish what it
            # had received before. If that is not clear, the next interval
            # tells.
            self._totals = _Totals()
            if mostly:
                self._totals.add(sample, 1.0)
            return (
                mostly
                and unanswered >= settings.min_mixed
                and unanswered >= 2 * sample.answers
            )
        totals = self._totals
        totals.add(sample, decay)
        return (
            unanswered > 0
            and totals.unanswered >= settings.min_unanswered
            and 2 * totals.unanswered >= totals.openings
        )

    def _is_answered(self, sample: Sample) -> bool:
        """Return whether openings are answered, though no request is yet.

        The requests of some services take seconds. Openings at the end of an
        interval are unanswered in the next one. Added up over all intervals,
        they ended the silence of a dead upstream every 10 s; a wait for the
        next interval finds recoveries 0.2 s later.
        """
        if not self.silent:
            return False
        if sample.unanswered:
            self._answered = 0
            return False
        self._answered += sample.openings
        return self._answered >= self._settings.min_answered


class UpstreamEvidence:
    """Evidence about an upstream, and the ban if it flaps.

    Parameters
    ----------
    settings : EvidenceSettings
        Thresholds.
    now : datetime.timedelta
        Current time.
    """

    __slots__ = (
        '_everyone',
        '_own',
        '_own_evidence_at',
        '_own_totals',
        '_settings',
        '_totals',
        'answered',
        'ban_until',
        'evidence_at',
        'flaps',
        'last',
        'measurable',
        'partial',
        'recovered_at',
        'silent',
        'since',
    )

    def __init__(
        self,
        settings: evidence_settings.EvidenceSettings,
        now: datetime.timedelta,
    ) -> None:
        self._settings = settings
        self._everyone = SilenceTrack(settings)
        # Hosts of one data centre alone may have lost the path.
        self._own = SilenceTrack(settings)
        self._totals = _Totals()
        self._own_totals = _Totals()
        self.evidence_at = now
        self._own_evidence_at = now
        self.silent = False
        # Whether the last silence ended with an answer, and not because its
        # evidence is too old.
        self.answered = False
        self.partial = False
        self.flaps = 0
        self.ban_until = _ZERO
        self.recovered_at: datetime.timedelta | None = None
        self.since = now
        self.last = Sample()
        # Whether the last interval says how fast it is.
        self.measurable = True

    def record(
        self,
        everyone: Sample,
        own: Sample,
        decay: float,
        now: datetime.timedelta,
    ) -> None:
        """Take in an interval.

        Parameters
        ----------
        everyone, own : Sample
            Sums of all data centres, and of the own one.
        decay : float
            Weight that earlier evidence has left.
        now : datetime.timedelta
            Current time.
        """
        settings = self._settings
        self.last = everyone
        if own.unanswered or own.answers:
            self._own_evidence_at = now
        if everyone.unanswered or everyone.answers:
            self.evidence_at = now
        is_old = now - self.evidence_at > settings.memory
        if is_old:
            self._everyone.clear()
        self._everyone.record(everyone, decay)
        if self._everyone.silent:
            self._own.clear()
        elif now - self._own_evidence_at > settings.memory:
            # Others may hear the upstream all the time.
            is_old = is_old or self._own.silent
            self._own.clear()
        else:
            self._own.record(own, decay)
        # Known from the interval before: one that begins to fall silent may
        # look the same for an interval.
        fails_in_part = self.partial
        self._totals.add(everyone, decay)
        self._own_totals.add(own, decay)
        self._update_partial()
        self._update_silence(now, answered=not is_old)
        self.measurable = not (
            self.silent
            or self._has_hanging_requests(now)
            or (
                not (fails_in_part and self.partial)
                and (
                    self._everyone.is_questionable
                    or 2 * everyone.unanswered > everyone.answers
                )
            )
        )

    def verdict(self, now: datetime.timedelta) -> Verdict:
        """Return what the evidence says now."""
        if self.silent:
            return Verdict.SILENT
        if now < self.ban_until:
            return Verdict.FLAPPING
        return Verdict.PARTIAL if self.partial else Verdict.HEALTHY

    def is_settled(self, now: datetime.timedelta) -> bool:
        """Return whether nothing about the upstream needs to be kept."""
        return (
            self.verdict(now) is Verdict.HEALTHY
            and not self._everyone.is_questionable
            and self._totals.unanswered < 1.0
            and not self._may_flap(now)
        )

    def is_doubtful(self, now: datetime.timedelta) -> bool:
        """Return whether it fails, or failed a short time ago."""
        return self._may_flap(now) or (
            self.verdict(now) is not Verdict.HEALTHY
        )

    def _update_partial(self) -> None:
        settings = self._settings
        # The path from the hosts of another data centre may be at fault.
        totals = self._own_totals
        if totals.openings < settings.min_partial:
            totals = self._totals
        unanswered = totals.unanswered
        share = unanswered / max(1.0, totals.openings)
        if not self.partial:
            self.partial = (
                not self.silent
                and self.last.answers > 0
                and unanswered >= settings.min_partial
                and share >= settings.partial_share
            )
        elif share < settings.partial_share / 2 or unanswered < 1.0:
            self.partial = False

    def _update_silence(self, now: datetime.timedelta, answered: bool) -> None:
        silent = self._everyone.silent or self._own.silent
        if silent == self.silent:
            return
        self.silent = silent
        self.since = now
        if silent:
            self.partial = False
            if not self._may_flap(now):
                self.flaps = 0
            elif self.answered:
                self.flaps += 1
            return
        self.answered = answered
        # Openings of the time before do not make it one that fails in part.
        self._totals = _Totals()
        self._own_totals = _Totals()
        self.recovered_at = now
        if answered:
            self.ban_until = now + self._ban()

    def _has_hanging_requests(self, now: datetime.timedelta) -> bool:
        return (
            self.recovered_at is not None
            and now - self.recovered_at < self._settings.hang_time
        )

    def _may_flap(self, now: datetime.timedelta) -> bool:
        if self.recovered_at is None:
            return False
        start = max(self.recovered_at, self.ban_until)
        return now - start < self._settings.flap_window

    def _ban(self) -> datetime.timedelta:
        if not self.flaps:
            return _ZERO
        settings = self._settings
        doublings = min(self.flaps - 1, _MAX_DOUBLINGS)
        return min(settings.initial_ban * (1 << doublings), settings.max_ban)
