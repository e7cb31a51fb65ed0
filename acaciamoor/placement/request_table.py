"""Table of the active requests and the transitions that end them."""

import collections.abc
import datetime
import heapq
import itertools

from acaciamoor import clock as clocks
from acaciamoor.placement import active_request
from acaciamoor.placement import lease as leases
from acaciamoor.placement import messages
from acaciamoor.requests import ledger as ledgers
from acaciamoor.requests import request_part as request_parts
from acaciamoor.requests import verdict as verdicts
from acaciamoor.wire import envelope as wire


class RequestTable:
    """Active requests by key; every change is recorded in the ledger.

    Parameters
    ----------
    clock : clocks.Clock
        Source of monotonic time.
    ledger : ledgers.RequestLedger
        Records of all requests.
    lease : leases.PlacerLease
        Lease under which requests arrive.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        ledger: ledgers.RequestLedger,
        lease: leases.PlacerLease,
    ) -> None:
        self._clock = clock
        self._ledger = ledger
        self._lease = lease
        self._order = itertools.count()
        self._deadlines: list[
            tuple[datetime.timedelta, int, active_request.ActiveRequest]
        ] = []
        self.requests_by_key: dict[
            request_parts.RequestKey, active_request.ActiveRequest
        ] = {}

    def add(
        self,
        request_part: request_parts.RequestPart,
        admission: verdicts.Admission,
        origin: request_parts.Origin,
    ) -> active_request.ActiveRequest:
        """Add a request that the ledger has just admitted."""
        now = self._clock.monotonic()
        request = active_request.ActiveRequest(
            first_part=request_part,
            order=next(self._order),
            lane=active_request.lane_of(request_part.size_class),
            arrived_at=now,
            parts_by_index={request_part.part: request_part.payload},
            under_lease=self._lease.is_held,
            no_earlier_run=admission.no_earlier_run,
            not_before=now,
            exclusive_from=now,
        )
        if request_part.attempt and not request_part.idempotent:
            self._delay_until_settled(request, origin, now)
        self.requests_by_key[request_part.key] = request
        heapq.heappush(
            self._deadlines, (request_part.deadline, request.order, request)
        )
        return request

    def is_proved_not_run(self, request: active_request.ActiveRequest) -> bool:
        """Return whether no other placer can have run a request either."""
        return (
            request.no_earlier_run
            and request.under_lease
            and self._clock.monotonic() >= request.exclusive_from
        )

    def refuse(
        self,
        request: active_request.ActiveRequest,
        reason: request_parts.Reason,
        retry_after: datetime.timedelta = datetime.timedelta(0),
        inputs: messages.RefusalInputs | None = None,
    ) -> messages.Reply:
        """End a request that this placer has not run.

        The outcome is "not run" if no other placer can have run the request,
        else "outcome unknown".
        """
        if not self.is_proved_not_run(request):
            return self.end_as_unknown(request, reason)
        self._end(request)
        self._ledger.mark_refused(request.first_part.key)
        return messages.Reply(
            request.first_part,
            wire.Outcome.NOT_RUN,
            reason,
            retry_after=retry_after,
            inputs=inputs,
        )

    def end_as_unknown(
        self,
        request: active_request.ActiveRequest,
        reason: request_parts.Reason,
    ) -> messages.Reply:
        """End a request that may have run, as "outcome unknown"."""
        self._end(request)
        self._ledger.mark_unknown(request.first_part.key)
        return messages.Reply(
            request.first_part, wire.Outcome.OUTCOME_UNKNOWN, reason
        )

    def complete(self, request: active_request.ActiveRequest) -> None:
        """End a request whose answer is complete."""
        self._end(request)
        answer = tuple(
            payload for _, payload in sorted(request.answer_by_part.items())
        )
        self._ledger.mark_completed(request.first_part.key, answer)

    def pop_overdue(
        self, now: datetime.timedelta
    ) -> collections.abc.Iterator[active_request.ActiveRequest]:
        """Yield the active requests whose deadline has passed."""
        while self._deadlines and self._deadlines[0][0] <= now:
            request = heapq.heappop(self._deadlines)[2]
            if not request.ended:
                yield request

    def _end(self, request: active_request.ActiveRequest) -> None:
        request.ended = True
        del self.requests_by_key[request.first_part.key]

    def _delay_until_settled(
        self,
        request: active_request.ActiveRequest,
        origin: request_parts.Origin,
        now: datetime.timedelta,
    ) -> None:
        # Either the first attempt was lost, or it is queued at a new placer
        # that this host does not know yet. Within the settle time this host
        # learns of that placer and gives up its lease, so only one of the two
        # placers runs the request.
        if origin is request_parts.Origin.CALLER:
            request.not_before = request.exclusive_from = (
                now + leases.SETTLE_TIME
            )
