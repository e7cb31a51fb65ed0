"""The placer: binds the work of a service to upstreams as slots free."""

import collections.abc
import datetime
import random

from acaciamoor import clock as clocks
from acaciamoor import model
from acaciamoor.placement import messages
from acaciamoor.requests import ledger as ledgers
from acaciamoor.requests import work as works

Effects = list[messages.Effect]


class Placer:
    """Queue and slots of one service, or of one shard of a large service.

    All methods are called from one task. Every method that returns effects
    may return effects for other requests too, for example the `Bind` of a
    request that gets the slot which an answer has freed.

    The owner calls `tick` at least every 10 ms. A gap of more than 1.5 s
    between two calls of any method counts as a pause of the process.

    Parameters
    ----------
    clock : clocks.Clock
        Source of monotonic time.
    rng : random.Random
        Source of jitter.
    policy : model.Policy
        Limits of the service.
    ledger : ledgers.RequestLedger or None
        Records that outlive a change of placer; a new one by default.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        policy: model.Policy,
        ledger: ledgers.RequestLedger | None = None,
    ) -> None:
        raise NotImplementedError

    def submit(
        self,
        work: works.Work,
        origin: works.Origin = works.Origin.CALLER,
    ) -> Effects:
        """Take a datagram of a request, whichever part or attempt it is."""
        raise NotImplementedError

    def on_part(self, work: works.Work) -> Effects:
        """Take a part of a request in progress; `submit` calls it."""
        raise NotImplementedError

    def on_answer(self, answer: messages.Answer) -> Effects:
        """Take one part of an answer.

        Late, crossed and duplicate answers have no effect.
        """
        raise NotImplementedError

    def on_shed(self, shed: messages.Shed) -> Effects:
        """Take an upstream's refusal before running a request."""
        raise NotImplementedError

    def on_report(self, report: messages.LoadReport) -> Effects:
        """Take a load report, which may lag or mislead."""
        raise NotImplementedError

    def on_probe_result(self, result: messages.ProbeResult) -> Effects:
        """Take the result of a health probe, which may mislead."""
        raise NotImplementedError

    def cancel(self, key: works.RequestKey) -> Effects:
        """Drop a request whose caller has gone."""
        raise NotImplementedError

    def close_flow(self, flow: int) -> Effects:
        """Forget the upstream of a flow that its caller closed."""
        raise NotImplementedError

    def set_upstreams(
        self, upstreams: collections.abc.Iterable[model.Upstream]
    ) -> Effects:
        """Apply the upstreams of the data centre (of the shard) at once."""
        raise NotImplementedError

    def set_policy(self, policy: model.Policy) -> Effects:
        """Apply other limits of the service."""
        raise NotImplementedError

    def set_lease(self, holds: bool) -> Effects:
        """Start or end the right to bind.

        False as soon as this host is not the placer by its own view or has
        not heard from a quorum within 1.5 s; the owner checks this before
        every other call. True starts a settle time of 1 s.
        """
        raise NotImplementedError

    def set_coverage(self, since: datetime.timedelta) -> Effects:
        """Trust the absence of a record only for requests after `since`.

        Called when the host was suspected or in doubt. A pause and a new
        lease move the limit by themselves.
        """
        raise NotImplementedError

    def hand_over(self, host_id: model.HostId) -> Effects:
        """Pass the whole queue to `host_id` and stop binding.

        Bound requests stay until they are answered; see `bound`.
        """
        raise NotImplementedError

    def tick(self) -> Effects:
        """Act on deadlines, jittered retries and records that expire."""
        raise NotImplementedError

    @property
    def queued(self) -> int:
        """Requests that wait for a slot."""
        raise NotImplementedError

    @property
    def bound(self) -> int:
        """Requests that an upstream may be running."""
        raise NotImplementedError
