"""Requests in progress and the ways in which they end."""

import collections.abc
import datetime
import heapq
import itertools

from acaciamoor import clock as clocks
from acaciamoor.placement import messages
from acaciamoor.placement import pending as pendings
from acaciamoor.placement import tenure as tenures
from acaciamoor.requests import ledger as ledgers
from acaciamoor.requests import verdict as verdicts
from acaciamoor.requests import work as works
from acaciamoor.wire import envelope as wire


class RequestBook:
    """Requests in progress, kept in step with the ledger.

    Parameters
    ----------
    clock : clocks.Clock
        Source of monotonic time.
    ledger : ledgers.RequestLedger
        Records of all requests.
    tenure : tenures.Tenure
        Tells whether a request arrives under a lease.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        ledger: ledgers.RequestLedger,
        tenure: tenures.Tenure,
    ) -> None:
        self._clock = clock
        self._ledger = ledger
        self._tenure = tenure
        self._order = itertools.count()
        self._deadlines: list[
            tuple[datetime.timedelta, int, pendings.Pending]
        ] = []
        self.pending_by_key: dict[works.RequestKey, pendings.Pending] = {}

    def open(
        self,
        work: works.Work,
        admission: verdicts.Admission,
        origin: works.Origin,
    ) -> pendings.Pending:
        """Start a request that the ledger has just put on record."""
        now = self._clock.monotonic()
        item = pendings.Pending(
            work=work,
            order=next(self._order),
            lane=pendings.lane_of(work.size_class),
            arrived_at=now,
            parts_by_index={work.part: work.payload},
            tenured=self._tenure.holds,
            first_run=admission.first_run,
            not_before=now,
            provable_from=now,
        )
        if work.attempt and not work.idempotent:
            self._wait_for_views(item, origin, now)
        self.pending_by_key[work.key] = item
        heapq.heappush(self._deadlines, (work.deadline, item.order, item))
        return item

    def refuse(
        self, item: pendings.Pending, reason: works.Reason
    ) -> messages.Reply:
        """End a request that was not handed to an upstream.

        The outcome is "not run" only if no other placer can have run it.
        """
        provable = (
            item.first_run
            and item.tenured
            and self._clock.monotonic() >= item.provable_from
        )
        if not provable:
            return self.lose(item, reason)
        self._end(item)
        self._ledger.refuse(item.work.key)
        return messages.Reply(item.work, wire.Outcome.NOT_RUN, reason)

    def lose(
        self, item: pendings.Pending, reason: works.Reason
    ) -> messages.Reply:
        """End a request that may have run."""
        self._end(item)
        self._ledger.lose(item.work.key)
        return messages.Reply(item.work, wire.Outcome.OUTCOME_UNKNOWN, reason)

    def complete(self, item: pendings.Pending) -> None:
        """End a request whose answer has arrived in full."""
        self._end(item)
        answer = tuple(
            payload for _, payload in sorted(item.answer_by_part.items())
        )
        self._ledger.complete(item.work.key, answer)

    def due(
        self, now: datetime.timedelta
    ) -> collections.abc.Iterator[pendings.Pending]:
        """Yield the requests in progress whose deadline has passed."""
        while self._deadlines and self._deadlines[0][0] <= now:
            item = heapq.heappop(self._deadlines)[2]
            if not item.ended:
                yield item

    def _end(self, item: pendings.Pending) -> None:
        item.ended = True
        del self.pending_by_key[item.work.key]

    def _wait_for_views(
        self,
        item: pendings.Pending,
        origin: works.Origin,
        now: datetime.timedelta,
    ) -> None:
        # The first attempt was lost, or it waits at a new placer that this
        # host has not learned of. This host learns of it within the settle
        # time and then ends its lease, so the request runs at one of them.
        if origin is works.Origin.CALLER:
            item.not_before = item.provable_from = now + tenures.SETTLE
