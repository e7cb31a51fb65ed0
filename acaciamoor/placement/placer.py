"""The placer: binds the work of a service to upstreams as slots free."""

import collections.abc
import datetime
import random

from acaciamoor import clock as clocks
from acaciamoor import model
from acaciamoor.placement import dispatch
from acaciamoor.placement import intake
from acaciamoor.placement import messages
from acaciamoor.placement import outcomes
from acaciamoor.placement import retry
from acaciamoor.placement import supervision
from acaciamoor.requests import ledger as ledgers
from acaciamoor.requests import work as works

Effects = list[messages.Effect]


class Placer:
    """Queue and slots of one service, or of one shard of a large service.

    All methods are called from one task. Every method that returns effects
    may return effects for other requests too, for example the `Bind` of a
    request that gets the slot which an answer has freed.

    The owner calls `tick` at least every 10 ms. A gap of more than 1.5 s
    between two calls of any method counts as a pause of the process: the
    queue ends as "outcome unknown", bound requests stay, and the owner has
    to renew the lease.

    Requests are bound late, when a slot is free, so that short work does not
    wait behind long work at an upstream that was chosen too early.

    Parameters
    ----------
    clock : clocks.Clock
        Source of monotonic time.
    rng : random.Random
        Source of jitter.
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
    >>> desk = model.Upstream(
    ...     model.UpstreamId('desk-1'),
    ...     model.DataCentre('kgn-a'),
    ...     model.Address('127.0.0.1', 9001),
    ... )
    >>> placer.set_upstreams([desk]), placer.set_lease(holds=True)
    ([], [])
    >>> order = works.Work(
    ...     flow=1,
    ...     request=1,
    ...     attempt=0,
    ...     idempotent=False,
    ...     age=datetime.timedelta(0),
    ...     deadline=datetime.timedelta(seconds=9),
    ... )
    >>> placer.submit(order)
    []
    >>> clock.advance(datetime.timedelta(seconds=1))
    >>> [effect.upstream.upstream_id for effect in placer.tick()]
    ['desk-1']
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
        self._core = dispatch.Dispatcher(clock, policy, ledger)
        self._book = self._core.book
        self._tenure = self._core.tenure
        self._budget = retry.RetryBudget(policy.retry_ratio)
        self._supervisor = supervision.Supervisor(clock, self._core)
        self._intake = intake.Intake(clock, self._core, ledger, self._budget)
        self._outcomes = outcomes.Outcomes(
            clock, rng, self._core, self._budget, self._supervisor
        )

    @property
    def queued(self) -> int:
        """Requests that wait for a slot."""
        return len(self._core.queue)

    @property
    def bound(self) -> int:
        """Requests that an upstream may be running."""
        return self._core.bound

    def submit(
        self,
        work: works.Work,
        origin: works.Origin = works.Origin.CALLER,
    ) -> Effects:
        """Take a datagram of a request, whichever part or attempt it is."""
        effects = self._enter()
        return effects + self._intake.submit(work, origin)

    def on_part(self, work: works.Work) -> Effects:
        """Take a part of a request in progress; `submit` calls it."""
        return self._enter() + self._intake.add_part(work)

    def on_answer(self, answer: messages.Answer) -> Effects:
        """Take one part of an answer.

        Late, crossed and duplicate answers have no effect.
        """
        effects = self._enter()
        effects += self._outcomes.on_answer(answer)
        return effects + self._core.bind_ready()

    def on_shed(self, shed: messages.Shed) -> Effects:
        """Take an upstream's refusal before running a request."""
        effects = self._enter()
        effects += self._outcomes.on_shed(shed)
        return effects + self._core.bind_ready()

    def on_report(self, report: messages.LoadReport) -> Effects:
        """Take a load report, which may lag or mislead."""
        effects = self._enter()
        self._core.pool.on_report(report, self._clock.monotonic())
        return effects + self._core.bind_ready()

    def on_probe_result(self, result: messages.ProbeResult) -> Effects:
        """Take the result of a health probe, which may mislead."""
        effects = self._enter()
        effects += self._supervisor.on_probe(result)
        return effects + self._core.bind_ready()

    def cancel(self, key: works.RequestKey) -> Effects:
        """Drop a request whose caller has gone; nobody is told."""
        effects = self._enter()
        effects += self._outcomes.cancel(key)
        return effects + self._core.bind_ready()

    def close_flow(self, flow: int) -> Effects:
        """Forget the upstream of a flow that its caller closed."""
        self._core.flows.close(flow)
        return self._enter()

    def set_upstreams(
        self, upstreams: collections.abc.Iterable[model.Upstream]
    ) -> Effects:
        """Apply the upstreams of the data centre (of the shard) at once."""
        effects = self._enter()
        listed = list(upstreams)
        self._core.pool.set_upstreams(listed, self._clock.monotonic())
        self._supervisor.set_upstreams(listed)
        self._core.stop_waiting_for_unusable()
        return effects + self._core.bind_ready()

    def set_policy(self, policy: model.Policy) -> Effects:
        """Apply other limits of the service."""
        effects = self._enter()
        self._core.policy = policy
        self._core.pool.slow_start = policy.slow_start
        self._budget.ratio = policy.retry_ratio
        return effects + self._core.bind_ready()

    def set_lease(self, holds: bool) -> Effects:
        """Start or end the right to bind; without a change, do nothing.

        False as soon as this host is not the placer by its own view or has
        not heard from a quorum within 1.5 s; the owner checks this before
        every other call. True starts a settle time of 1 s, and the coverage
        starts at its end.
        """
        effects = self._enter()
        if holds == self._tenure.holds:
            return effects
        if not holds:
            self._tenure.end()
            return effects
        self._tenure.begin()
        self._ledger.set_coverage(self._tenure.settled_at)
        self._core.pool.start_learning(self._tenure.settled_at)
        return effects

    def set_coverage(self, since: datetime.timedelta) -> Effects:
        """Trust the absence of a record only for requests after `since`.

        Called when the host was suspected or in doubt. A pause and a new
        lease move the limit by themselves; it never moves back.
        """
        effects = self._enter()
        self._ledger.set_coverage(since)
        return effects

    def hand_over(self, host_id: model.HostId) -> Effects:
        """Pass the whole queue to `host_id` and stop binding.

        Bound requests stay until they are answered; see `bound`.
        """
        effects = self._enter()
        self._tenure.end()
        for item in self._core.queue.items():
            self._core.queue.discard(item)
            lost = self._book.lose(item, works.Reason.PLACER_CHANGED)
            if item.tenured or item.work.idempotent:
                payloads = tuple(item.parts_by_index.values())
                effects.append(messages.HandOver(item.work, payloads, host_id))
            else:
                effects.append(lost)
        return effects

    def tick(self) -> Effects:
        """Act on deadlines, jittered retries and records that expire."""
        effects = self._enter()
        effects += self._outcomes.on_deadlines()
        self._core.release_abandoned()
        self._core.flows.expire(self._clock.monotonic())
        self._ledger.expire()
        effects += self._supervisor.readmit()
        return effects + self._core.bind_ready()

    def _enter(self) -> Effects:
        return self._intake.on_pause() if self._tenure.observe() else []
