"""Upstreams that hosts avoid together."""

import collections.abc
import datetime
import math

import msgspec

from acaciamoor import directory
from acaciamoor import load_reports
from acaciamoor import model
from acaciamoor.evidence import settings as evidence_settings
from acaciamoor.evidence import upstream as upstreams

# Upstreams about which evidence is kept; a report holds no more.
_MAX_RECORDS = 4096
# The worst come first, as a part of a service only is avoided.
_ORDER = (
    upstreams.Verdict.SILENT,
    upstreams.Verdict.PARTIAL,
    upstreams.Verdict.FLAPPING,
)
# Share of the capacity of a service that stays in use in any case; see
# docs/parts.md, part 6.
_MIN_USED = 0.5
# Share of the interval by which a sum may be older than the newest one, so
# that the two are of the same interval.
_NEW_SHARE = 0.6
_EMPTY = upstreams.Sample()
_ZERO = datetime.timedelta(0)


class Change(msgspec.Struct, frozen=True):
    """Change of what the evidence says of an upstream.

    Parameters
    ----------
    upstream_id : UpstreamId
        The upstream.
    before, after : Verdict
        What the evidence said, and what it says now.
    openings, unanswered, answers : int
        Sums of the interval that led to the change.
    ban : datetime.timedelta
        Time for which it is avoided although it answers.
    answered : bool
        Whether a silence has ended with an answer; False if its evidence is
        too old.
    """

    upstream_id: model.UpstreamId
    before: upstreams.Verdict
    after: upstreams.Verdict
    openings: int
    unanswered: int
    answers: int
    ban: datetime.timedelta
    answered: bool


class SharedEvidence:
    """Judges from the sums of reports which upstreams new flows avoid.

    All hosts take in the same sums, and decide nearly the same.

    Parameters
    ----------
    data_centre : DataCentre
        Data centre of this host.
    settings : EvidenceSettings or None
        Thresholds.

    Examples
    --------
    >>> second = datetime.timedelta(seconds=1)
    >>> evidence = SharedEvidence('kgn-a')
    >>> summary = load_reports.LoadSummary(
    ...     'kgn-a', 'h-1', 7, 1, 75, 0.1, 0.2,
    ...     [load_reports.UpstreamLoad('desk-1', openings=3, unanswered=3)],
    ... )
    >>> [change] = evidence.update({'kgn-a': summary}, second)
    >>> change.upstream_id, change.after
    ('desk-1', <Verdict.SILENT: 'silent'>)
    """

    def __init__(
        self,
        data_centre: model.DataCentre,
        settings: evidence_settings.EvidenceSettings | None = None,
    ) -> None:
        self._data_centre = data_centre
        self._settings = settings or evidence_settings.EvidenceSettings()
        self._records_by_id: dict[
            model.UpstreamId, upstreams.UpstreamEvidence
        ] = {}
        self._verdicts_by_id: dict[model.UpstreamId, upstreams.Verdict] = {}
        self._updated_at = _ZERO
        # Incarnation and serial of the last summary of each data centre.
        self._seen_by_data_centre: dict[str, tuple[int, int]] = {}

    @property
    def verdicts_by_id(
        self,
    ) -> collections.abc.Mapping[model.UpstreamId, upstreams.Verdict]:
        """Upstreams that are not healthy, as of the last update."""
        return self._verdicts_by_id

    def update(
        self,
        summaries: collections.abc.Mapping[str, load_reports.LoadSummary],
        now: datetime.timedelta,
        known: collections.abc.Container[model.UpstreamId] | None = None,
    ) -> list[Change]:
        """Take in new sums, each of them once; return what has changed.

        Parameters
        ----------
        summaries : mapping of str to LoadSummary
            Newest sum of each data centre.
        now : datetime.timedelta
            Current time.
        known : container of UpstreamId or None
            Upstreams that exist; evidence about others is ignored. None if
            that is not known.
        """
        records = self._records_by_id
        fresh = self._take_new(summaries)
        if not fresh:
            return []
        for summary in fresh:
            for load in summary.upstreams:
                if (
                    load.unanswered
                    and load.upstream_id not in records
                    and (known is None or load.upstream_id in known)
                    and len(records) < _MAX_RECORDS
                ):
                    records[load.upstream_id] = upstreams.UpstreamEvidence(
                        self._settings, now
                    )
        if not records:
            return []
        everyone, own = self._sum(fresh)
        elapsed = max(_ZERO, now - self._updated_at)
        decay = math.exp(-elapsed / self._settings.memory)
        self._updated_at = now
        changes: list[Change] = []
        for upstream_id, record in list(records.items()):
            before = self._verdicts_by_id.get(
                upstream_id, upstreams.Verdict.HEALTHY
            )
            record.record(
                everyone.get(upstream_id, _EMPTY),
                own.get(upstream_id, _EMPTY),
                decay,
                now,
            )
            after = record.verdict(now)
            if after is not before:
                changes.append(_describe(upstream_id, record, before, now))
            if after is upstreams.Verdict.HEALTHY:
                self._verdicts_by_id.pop(upstream_id, None)
            else:
                self._verdicts_by_id[upstream_id] = after
            if record.is_settled(now):
                del records[upstream_id]
        return changes

    def forget(self, upstream_id: model.UpstreamId) -> None:
        """Remove what is known of an upstream that no longer exists."""
        self._records_by_id.pop(upstream_id, None)
        self._verdicts_by_id.pop(upstream_id, None)

    def is_measurable(self, upstream_id: model.UpstreamId) -> bool:
        """Return whether the last interval says how fast an upstream is.

        Requests that hang at a silent upstream look like those at a slow one.
        """
        record = self._records_by_id.get(upstream_id)
        return record is None or record.measurable

    def list_doubtful(
        self, now: datetime.timedelta
    ) -> frozenset[model.UpstreamId]:
        """Return the upstreams that fail, or failed a short time ago."""
        return frozenset(
            upstream_id
            for upstream_id, record in self._records_by_id.items()
            if record.is_doubtful(now)
        )

    def select_avoided(
        self,
        candidates: collections.abc.Sequence[directory.UpstreamEntry],
        load: float | None,
    ) -> frozenset[model.UpstreamId]:
        """Return the upstreams of a service that new flows avoid.

        Parameters
        ----------
        candidates : sequence of UpstreamEntry
            Upstreams of the service that accept new flows.
        load : float or None
            Demand for the service, as a share of the capacity of all
            candidates; None if it is not known.
        """
        verdicts = self._verdicts_by_id
        if not verdicts:
            return frozenset()
        bad = [entry for entry in candidates if entry.upstream_id in verdicts]
        bad.sort(key=self._severity)
        capacity = sum(_slots(entry) for entry in candidates)
        settings = self._settings
        avoided = 0
        chosen = []
        for entry in bad:
            slots = _slots(entry)
            rest = capacity - avoided - slots
            if avoided + slots > settings.max_avoided * capacity and (
                avoided or rest < _MIN_USED * capacity
            ):
                continue
            silent = verdicts[entry.upstream_id] is upstreams.Verdict.SILENT
            if not silent and (
                load is None or load * capacity > settings.max_load * rest
            ):
                # It answers most of the time, and the others have no room.
                continue
            avoided += slots
            chosen.append(entry.upstream_id)
        return frozenset(chosen)

    def trial_share(
        self,
        avoided: collections.abc.Collection[model.UpstreamId],
        openings: int,
    ) -> float:
        """Return the share of the new flows that test avoided upstreams.

        The hosts of a data centre draw alone, and hit each of the upstreams
        a few times in an interval together.

        Parameters
        ----------
        avoided : collection of UpstreamId
            Upstreams of a service that are avoided.
        openings : int
            Openings for the service in an interval, by all hosts of the data
            centre.
        """
        settings = self._settings
        return min(
            settings.trials * len(avoided) / max(1, openings),
            settings.max_trial_share,
        )

    def _take_new(
        self, summaries: collections.abc.Mapping[str, load_reports.LoadSummary]
    ) -> list[load_reports.LoadSummary]:
        """Return the sums that were not taken in before."""
        seen = self._seen_by_data_centre
        fresh = []
        for data_centre, summary in summaries.items():
            number = (summary.incarnation, summary.serial)
            if seen.get(data_centre) != number:
                seen[data_centre] = number
                fresh.append(summary)
        for data_centre in seen.keys() - summaries.keys():
            del seen[data_centre]
        return fresh

    def _sum(
        self, summaries: list[load_reports.LoadSummary]
    ) -> tuple[
        dict[model.UpstreamId, upstreams.Sample],
        dict[model.UpstreamId, upstreams.Sample],
    ]:
        """Return the sums of all data centres, and of the own one."""
        records = self._records_by_id
        everyone: dict[model.UpstreamId, upstreams.Sample] = {}
        own: dict[model.UpstreamId, upstreams.Sample] = {}
        newest_age = min(summary.age for summary in summaries)
        for summary in summaries:
            # Answers of an interval before say nothing against silence.
            is_new = summary.age <= newest_age + _NEW_SHARE * summary.interval
            is_own = summary.data_centre == self._data_centre
            for load in summary.upstreams:
                upstream_id = load.upstream_id
                if upstream_id not in records:
                    # Most upstreams have no trouble.
                    continue
                numbers = (
                    load.openings,
                    load.unanswered,
                    (load.finished + load.rejected) if is_new else 0,
                )
                if is_own:
                    own[upstream_id] = upstreams.Sample(*numbers)
                if upstream_id in everyone:
                    everyone[upstream_id].add(*numbers)
                else:
                    everyone[upstream_id] = upstreams.Sample(*numbers)
        return everyone, own

    def _severity(
        self, entry: directory.UpstreamEntry
    ) -> tuple[int, datetime.timedelta, str]:
        upstream_id = entry.upstream_id
        return (
            _ORDER.index(self._verdicts_by_id[upstream_id]),
            self._records_by_id[upstream_id].since,
            upstream_id,
        )


def _slots(entry: directory.UpstreamEntry) -> int:
    return max(1, entry.upstream.slots)


def _describe(
    upstream_id: model.UpstreamId,
    record: upstreams.UpstreamEvidence,
    before: upstreams.Verdict,
    now: datetime.timedelta,
) -> Change:
    return Change(
        upstream_id,
        before,
        record.verdict(now),
        record.last.openings,
        record.last.unanswered,
        record.last.answers,
        max(_ZERO, record.ban_until - now),
        before is upstreams.Verdict.SILENT and record.answered,
    )
