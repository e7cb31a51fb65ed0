"""Record of requests that makes non-idempotent work run at most once."""

import dataclasses
import datetime

from acaciamoor import clock as clocks
from acaciamoor import model
from acaciamoor.requests import verdict as verdicts
from acaciamoor.requests import work as works

# A caller's timeout is at most 30 s, so no copy of a request is sent later.
RETENTION = datetime.timedelta(seconds=30)


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerLimits:
    """Bounds of the ledger's memory.

    Parameters
    ----------
    entries : int
        Requests on record. When it is reached, a request without a record is
        answered with "outcome unknown" and does not run.
    cached_answer_parts : int
        Parts of answers that are kept for repetition; a part is one datagram
        of at most 1,200 bytes.
    """

    entries: int = 1 << 18
    cached_answer_parts: int = 8192


class RequestLedger:
    """Requests of one service and shard at one balancer.

    Parameters
    ----------
    clock : clocks.Clock
        Source of monotonic time.
    limits : LedgerLimits
        Bounds of the memory.
    """

    def __init__(
        self, clock: clocks.Clock, limits: LedgerLimits | None = None
    ) -> None:
        raise NotImplementedError

    def set_coverage(self, since: datetime.timedelta) -> None:
        """Trust the absence of a record only for requests after `since`.

        The limit only moves forward.
        """
        raise NotImplementedError

    def admit(
        self,
        work: works.Work,
        origin: works.Origin = works.Origin.CALLER,
    ) -> verdicts.Admission:
        """Decide about a datagram; `Verdict.RUN` creates a queued record."""
        raise NotImplementedError

    def bind(
        self,
        key: works.RequestKey,
        upstream_id: model.UpstreamId,
        attempt: int,
    ) -> None:
        """Record that `attempt` is about to be sent to an upstream."""
        raise NotImplementedError

    def is_current(
        self,
        key: works.RequestKey,
        upstream_id: model.UpstreamId,
        attempt: int,
    ) -> bool:
        """Return whether exactly this attempt is bound to this upstream."""
        raise NotImplementedError

    def requeue(self, key: works.RequestKey) -> None:
        """Record that the upstream refused the request before running it."""
        raise NotImplementedError

    def complete(
        self, key: works.RequestKey, answer: tuple[object, ...]
    ) -> None:
        """Record the answer, which is kept in a bounded cache."""
        raise NotImplementedError

    def refuse(self, key: works.RequestKey) -> None:
        """Leave a tombstone: the request has not run and never will."""
        raise NotImplementedError

    def lose(self, key: works.RequestKey) -> None:
        """Record that nobody knows whether the request ran."""
        raise NotImplementedError

    def expire(self) -> None:
        """Drop records `RETENTION` after the last attempt or change."""
        raise NotImplementedError
