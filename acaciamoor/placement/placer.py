"""The placer: binds requests to upstreams as slots become free."""

import collections.abc
import datetime
import random

from acaciamoor import clock as clocks
from acaciamoor import model
from acaciamoor.placement import dispatch
from acaciamoor.placement import ejection
from acaciamoor.placement import messages
from acaciamoor.placement import outcomes
from acaciamoor.placement import request_handler
from acaciamoor.placement import retry
from acaciamoor.requests import ledger as ledgers
from acaciamoor.requests import request_part as request_parts

Effects = list[messages.Effect]


class Placer:
    """Scheduler of one service, or of one shard of a large service.

    The placer is not thread-safe; call all methods from one task. A method
    that returns effects may return effects for other requests too. For
    example, an answer frees a slot, so `on_answer` may return the `Bind` of a
    queued request.

    The owner calls `tick` at least every 10 ms. A gap of more than 1.5 s
    between calls of any methods counts as a pause of the process: queued
    requests end as "outcome unknown", bound requests are kept, and the owner
    has to set the lease again.

    A request is assigned to an upstream only when a slot is free (late
    binding). Otherwise short requests could wait at an upstream behind long
    ones while another upstream has a free slot.

    Parameters
    ----------
    clock : clocks.Clock
        Source of monotonic time.
    rng : random.Random
        Source of the jitter of retries.
    policy : model.Policy
        Limits of the service.
    ledger : ledgers.RequestLedger or None
        Records of the requests; a new ledger by default.

    See Also
    --------
    acaciamoor.requests.RequestLedger : Decides which datagrams may run.

    Examples
    --------
    >>> clock = clocks.ManualClock()
    >>> placer = Placer(clock, random.Random(1), model.Policy())
    >>> upstream = model.Upstream(
    ...     model.UpstreamId('upstream-1'),
    ...     model.DataCentre('kgn-a'),
    ...     model.Address('127.0.0.1', 9001),
    ... )
    >>> placer.set_upstreams([upstream]), placer.set_lease(holds=True)
    ([], [])
    >>> request_part = request_parts.RequestPart(
    ...     flow=1,
    ...     request=1,
    ...     attempt=0,
    ...     idempotent=False,
    ...     age=datetime.timedelta(0),
    ...     deadline=datetime.timedelta(seconds=9),
    ... )
    >>> placer.submit(request_part)
    []
    >>> clock.advance(datetime.timedelta(seconds=1))
    >>> [effect.upstream.upstream_id for effect in placer.tick()]
    ['upstream-1']
    """

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        policy: model.Policy,
        ledger: ledgers.RequestLedger | None = None,
    ) -> None:
        if ledger is None:
            ledger = ledgers.RequestLedger(clock)
        self._clock = clock
        self._ledger = ledger
        self._dispatcher = dispatch.Dispatcher(clock, policy, ledger, rng)
        self._requests = self._dispatcher.requests
        self._lease = self._dispatcher.lease
        self._budget = retry.RetryBudget(policy.retry_ratio)
        self._ejection_controller = ejection.EjectionController(
            clock, self._dispatcher
        )
        self._request_handler = request_handler.RequestHandler(
            clock, self._dispatcher, ledger, self._budget
        )
        self._outcome_handler = outcomes.OutcomeHandler(
            clock,
            rng,
            self._dispatcher,
            self._budget,
            self._ejection_controller,
        )

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._dispatcher.queue)

    @property
    def bound(self) -> int:
        """Number of requests that an upstream may be running."""
        return self._dispatcher.bound

    def submit(
        self,
        request_part: request_parts.RequestPart,
        origin: request_parts.Origin = request_parts.Origin.CALLER,
    ) -> Effects:
        """Handle a datagram of a request, whichever part or attempt it is."""
        effects = self._check_for_pause()
        return effects + self._request_handler.submit(request_part, origin)

    def on_part(self, request_part: request_parts.RequestPart) -> Effects:
        """Handle a part of an active request; other parts are ignored."""
        return self._check_for_pause() + self._request_handler.add_part(
            request_part
        )

    def on_answer(self, answer: messages.Answer) -> Effects:
        """Handle one part of an answer.

        Late and duplicate answers, and those of another upstream or attempt
        than the bound one, cause no reply.
        """
        effects = self._check_for_pause()
        effects += self._outcome_handler.on_answer(answer)
        return effects + self._dispatcher.bind_ready()

    def on_shed(self, shed: messages.Shed) -> Effects:
        """Handle an upstream's refusal to run a request."""
        effects = self._check_for_pause()
        effects += self._outcome_handler.on_shed(shed)
        return effects + self._dispatcher.bind_ready()

    def on_report(self, report: messages.LoadReport) -> Effects:
        """Handle a load report, which may be outdated or wrong."""
        effects = self._check_for_pause()
        self._dispatcher.pool.on_report(report, self._clock.monotonic())
        return effects + self._dispatcher.bind_ready()

    def on_probe_result(self, result: messages.ProbeResult) -> Effects:
        """Handle the result of a health probe, which may be wrong."""
        effects = self._check_for_pause()
        effects += self._ejection_controller.on_probe(result)
        return effects + self._dispatcher.bind_ready()

    def cancel(self, key: request_parts.RequestKey) -> Effects:
        """End a request that its caller cancelled, without a reply."""
        effects = self._check_for_pause()
        effects += self._outcome_handler.cancel(key)
        return effects + self._dispatcher.bind_ready()

    def close_flow(self, flow: int) -> Effects:
        """End the affinity of a flow that its caller closed."""
        self._dispatcher.affinity.remove(flow)
        return self._check_for_pause()

    def set_upstreams(
        self, upstreams: collections.abc.Iterable[model.Upstream]
    ) -> Effects:
        """Replace the list of upstreams of the service or shard."""
        effects = self._check_for_pause()
        listed = list(upstreams)
        self._dispatcher.pool.set_upstreams(listed, self._clock.monotonic())
        self._ejection_controller.set_upstreams(listed)
        self._dispatcher.unpin_unavailable()
        return effects + self._dispatcher.bind_ready()

    def set_policy(self, policy: model.Policy) -> Effects:
        """Replace the limits of the service."""
        effects = self._check_for_pause()
        self._dispatcher.policy = policy
        self._dispatcher.pool.slow_start = policy.slow_start
        self._budget.ratio = policy.retry_ratio
        return effects + self._dispatcher.bind_ready()

    def set_lease(self, holds: bool) -> Effects:
        """Acquire or release the lease; without a change, do nothing.

        Only the holder of the lease binds requests. The owner checks the
        lease before every other call. It passes False as soon as this host is
        not the leader of the shard in its own view or has not heard from a
        quorum within 1.5 s. An acquired lease starts with a settle time of
        1 s, during which requests are only queued; the ledger's coverage
        starts at its end.
        """
        effects = self._check_for_pause()
        if holds == self._lease.is_held:
            return effects
        if not holds:
            self._lease.release()
            return effects
        self._lease.acquire()
        self._ledger.set_coverage(self._lease.settled_at)
        self._dispatcher.pool.accept_inherited(self._lease.settled_at)
        return effects

    def set_coverage(self, since: datetime.timedelta) -> Effects:
        """Let the ledger's coverage start at `since`, or later.

        The ledger then takes the absence of a record as proof only for
        requests that were first sent after `since`. The owner calls this
        after the host was suspected or declared dead, since another host may
        have run requests meanwhile. A pause and a new lease advance the start
        of the coverage by themselves; it never moves back.
        """
        effects = self._check_for_pause()
        self._ledger.set_coverage(since)
        return effects

    def hand_over(self, host_id: model.HostId) -> Effects:
        """Transfer all queued requests to `host_id` and release the lease.

        Bound requests stay at this placer until they end; see `bound`.
        """
        effects = self._check_for_pause()
        self._lease.release()
        for request in self._dispatcher.queue.waiting_requests():
            self._dispatcher.queue.discard(request)
            reply = self._requests.end_as_unknown(
                request, request_parts.Reason.PLACER_CHANGED
            )
            if request.under_lease or request.first_part.idempotent:
                payloads = tuple(request.parts_by_index.values())
                effects.append(
                    messages.HandOver(request.first_part, payloads, host_id)
                )
            else:
                effects.append(reply)
        return effects

    def tick(self) -> Effects:
        """Process deadlines, delayed retries, readmissions and expiries."""
        effects = self._check_for_pause()
        effects += self._outcome_handler.on_deadlines()
        self._dispatcher.release_due_slots()
        self._dispatcher.affinity.expire(self._clock.monotonic())
        self._ledger.expire()
        effects += self._ejection_controller.readmit()
        return effects + self._dispatcher.bind_ready()

    def _check_for_pause(self) -> Effects:
        return (
            self._request_handler.on_pause()
            if self._lease.detect_pause()
            else []
        )
