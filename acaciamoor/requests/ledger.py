"""Records of requests, so that non-idempotent ones run at most once."""

import collections
import dataclasses
import datetime

from acaciamoor import clock as clocks
from acaciamoor import model
from acaciamoor.requests import answer_cache
from acaciamoor.requests import request_part as request_parts
from acaciamoor.requests import verdict as verdicts

# A caller's timeout is at most 30 s, so no attempt is sent later than that.
RETENTION_PERIOD = datetime.timedelta(seconds=30)
# The age in a datagram does not include its transit time, so a delay makes the
# first attempt appear to have been sent later than it was. The margin
# compensates for delays of up to this time.
COVERAGE_MARGIN = datetime.timedelta(seconds=2)

_State = verdicts.RequestState
_Verdict = verdicts.Verdict
_IN_PROGRESS = verdicts.Admission(_Verdict.IN_PROGRESS)
_ASK_PEER = verdicts.Admission(
    _Verdict.ASK_PEER, request_parts.Reason.NO_RECORD
)
_RUN_FIRST_TIME = verdicts.Admission(_Verdict.RUN, no_earlier_run=True)
_RUN_POSSIBLY_AGAIN = verdicts.Admission(_Verdict.RUN)
_REFUSED = verdicts.Admission(
    _Verdict.NOT_RUN, request_parts.Reason.REFUSED_BEFORE
)
_ACTIVE_STATES = frozenset([_State.QUEUED, _State.BOUND])


def _unknown(reason: request_parts.Reason) -> verdicts.Admission:
    return verdicts.Admission(_Verdict.OUTCOME_UNKNOWN, reason)


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerLimits:
    """Limits of the memory that a ledger uses.

    Parameters
    ----------
    entries : int
        Maximum number of records. At the maximum, a request without a record
        gets the outcome "outcome unknown" and does not run.
    cached_answer_parts : int
        Maximum number of parts of cached answers, which are sent again to
        callers that retransmit. A part is a datagram of at most 1,200 bytes.
    """

    entries: int = 1 << 18
    cached_answer_parts: int = 8192


@dataclasses.dataclass(slots=True)
class _Entry:
    state: verdicts.RequestState
    newest_attempt: int
    changed_at: datetime.timedelta
    upstream_id: model.UpstreamId | None = None
    bound_attempt: int = -1


class RequestLedger:
    """Records of the requests of one service or shard at one balancer.

    A record is kept until `RETENTION_PERIOD` after the last attempt or change
    of state. Attempt 0 without a record is a new request. A later attempt
    without a record may have run at another placer before. If it is not
    idempotent, it runs only if the first attempt was sent within the ledger's
    *coverage*: the time since which this balancer has a record of every
    request, so that a missing record proves that the request has not run.

    Parameters
    ----------
    clock : clocks.Clock
        Source of monotonic time.
    limits : LedgerLimits
        Limits of the memory.

    See Also
    --------
    acaciamoor.placement.Placer : Changes the states of the records.

    Examples
    --------
    >>> ledger = RequestLedger(clocks.ManualClock())
    >>> request_part = request_parts.RequestPart(
    ...     flow=1,
    ...     request=1,
    ...     attempt=0,
    ...     idempotent=False,
    ...     age=datetime.timedelta(0),
    ...     deadline=datetime.timedelta(seconds=1),
    ... )
    >>> ledger.admit(request_part).verdict
    <Verdict.RUN: 'run'>
    >>> ledger.admit(request_part).verdict
    <Verdict.IN_PROGRESS: 'in progress'>
    """

    def __init__(
        self, clock: clocks.Clock, limits: LedgerLimits | None = None
    ) -> None:
        self._clock = clock
        self._limits = limits or LedgerLimits()
        self._coverage_since = clock.monotonic()
        self._entries_by_key: dict[request_parts.RequestKey, _Entry] = {}
        self._expiry: collections.deque[
            tuple[datetime.timedelta, request_parts.RequestKey]
        ] = collections.deque()
        self._answers = answer_cache.AnswerCache(
            self._limits.cached_answer_parts
        )

    def __len__(self) -> int:
        return len(self._entries_by_key)

    @property
    def coverage_since(self) -> datetime.timedelta:
        """Monotonic time at which the coverage starts."""
        return self._coverage_since

    def set_coverage(self, since: datetime.timedelta) -> None:
        """Start the coverage at `since`, unless it starts later already.

        Use this when another host may have run requests before `since`.
        """
        self._coverage_since = max(self._coverage_since, since)

    def admit(
        self,
        request_part: request_parts.RequestPart,
        origin: request_parts.Origin = request_parts.Origin.CALLER,
    ) -> verdicts.Admission:
        """Decide what to do with a datagram.

        With `Verdict.RUN`, the request is recorded as queued.
        """
        entry = self._entries_by_key.get(request_part.key)
        if entry is None:
            return self._admit_new(request_part, origin)
        if entry.state in _ACTIVE_STATES:
            self._record_attempt(entry, request_part)
            return _IN_PROGRESS
        newer = request_part.attempt > entry.newest_attempt
        self._record_attempt(entry, request_part)
        if entry.state is _State.COMPLETED:
            return self._repeat_answer(request_part.key)
        if entry.state is _State.REFUSED:
            return _REFUSED
        if (
            request_part.idempotent
            and newer
            and origin is not request_parts.Origin.PEER
        ):
            entry.state = _State.QUEUED
            return _RUN_POSSIBLY_AGAIN
        return _unknown(request_parts.Reason.NO_RECORD)

    def state(
        self, key: request_parts.RequestKey
    ) -> verdicts.RequestState | None:
        """Return the recorded state, or None without a record."""
        entry = self._entries_by_key.get(key)
        return entry.state if entry else None

    def mark_bound(
        self,
        key: request_parts.RequestKey,
        upstream_id: model.UpstreamId,
        attempt: int,
    ) -> None:
        """Record that `attempt` is about to be sent to an upstream."""
        entry = self._set_state(key, _State.BOUND)
        entry.upstream_id = upstream_id
        entry.bound_attempt = attempt

    def is_bound_to(
        self,
        key: request_parts.RequestKey,
        upstream_id: model.UpstreamId,
        attempt: int,
    ) -> bool:
        """Return whether this very attempt is bound to this upstream."""
        entry = self._entries_by_key.get(key)
        return (
            entry is not None
            and entry.state is _State.BOUND
            and entry.upstream_id == upstream_id
            and entry.bound_attempt == attempt
        )

    def mark_queued(self, key: request_parts.RequestKey) -> None:
        """Record that the upstream refused the request before running it."""
        self._set_state(key, _State.QUEUED).upstream_id = None

    def mark_completed(
        self, key: request_parts.RequestKey, answer: tuple[object, ...]
    ) -> None:
        """Record that the request is complete, and cache its answer."""
        self._set_state(key, _State.COMPLETED)
        self._answers.put(key, answer)

    def mark_refused(self, key: request_parts.RequestKey) -> None:
        """Record that the request has not run and never will (a tombstone)."""
        self._set_state(key, _State.REFUSED)

    def mark_unknown(self, key: request_parts.RequestKey) -> None:
        """Record that it is unknown whether the request ran."""
        self._set_state(key, _State.UNKNOWN)

    def expire(self) -> None:
        """Remove the records whose retention period has passed."""
        now = self._clock.monotonic()
        while self._expiry and self._expiry[0][0] <= now:
            _, key = self._expiry.popleft()
            entry = self._entries_by_key[key]
            due = entry.changed_at + RETENTION_PERIOD
            if entry.state in _ACTIVE_STATES:
                due = now + RETENTION_PERIOD
            if due > now:
                self._expiry.append((due, key))
            else:
                del self._entries_by_key[key]
                self._answers.discard(key)

    def _admit_new(
        self,
        request_part: request_parts.RequestPart,
        origin: request_parts.Origin,
    ) -> verdicts.Admission:
        if origin is request_parts.Origin.PEER:
            return _unknown(request_parts.Reason.NO_RECORD)
        if (
            origin is request_parts.Origin.STALE
            and not request_part.idempotent
        ):
            return _unknown(request_parts.Reason.PLACER_PAUSED)
        if not self._may_run(request_part, origin):
            return _ASK_PEER
        if len(self._entries_by_key) >= self._limits.entries:
            return _unknown(request_parts.Reason.LEDGER_FULL)
        now = self._clock.monotonic()
        self._entries_by_key[request_part.key] = _Entry(
            _State.QUEUED, request_part.attempt, now
        )
        self._expiry.append((now + RETENTION_PERIOD, request_part.key))
        if origin is request_parts.Origin.STALE:
            return _RUN_POSSIBLY_AGAIN
        if request_part.idempotent and request_part.attempt > 0:
            return _RUN_POSSIBLY_AGAIN
        return _RUN_FIRST_TIME

    def _may_run(
        self,
        request_part: request_parts.RequestPart,
        origin: request_parts.Origin,
    ) -> bool:
        if request_part.idempotent or request_part.attempt == 0:
            return True
        if origin is request_parts.Origin.HAND_OVER:
            return True
        first_attempt = self._clock.monotonic() - request_part.age
        return first_attempt - COVERAGE_MARGIN > self._coverage_since

    def _repeat_answer(
        self, key: request_parts.RequestKey
    ) -> verdicts.Admission:
        answer = self._answers.get(key)
        if answer is None:
            return _unknown(request_parts.Reason.ANSWER_EXPIRED)
        return verdicts.Admission(_Verdict.REPEAT_ANSWER, answer=answer)

    def _record_attempt(
        self, entry: _Entry, request_part: request_parts.RequestPart
    ) -> None:
        entry.newest_attempt = max(entry.newest_attempt, request_part.attempt)
        entry.changed_at = self._clock.monotonic()

    def _set_state(
        self, key: request_parts.RequestKey, state: verdicts.RequestState
    ) -> _Entry:
        entry = self._entries_by_key[key]
        entry.state = state
        entry.changed_at = self._clock.monotonic()
        return entry
