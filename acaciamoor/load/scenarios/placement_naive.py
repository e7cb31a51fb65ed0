"""Balancer hosts with naive placement, on a virtual network."""

import collections
import datetime
import enum
import random

from acaciamoor import harness
from acaciamoor.load.scenarios import placement_hosts as hosts
from acaciamoor.model import policy as policies
from acaciamoor.model import upstream as upstreams
from acaciamoor.naive import placement as naive
from acaciamoor.placement import messages
from acaciamoor.requests import work as works
from acaciamoor.wire import envelope as wire

REPORT_AGE = datetime.timedelta(milliseconds=200)
REPORT_PERIOD = datetime.timedelta(milliseconds=20)
# A naive balancer gives a request up after this time and calls it not run.
GIVE_UP = datetime.timedelta(seconds=3)


class NaiveKind(enum.Enum):
    """The naive baselines."""

    HASH = 'by hash'
    TWO_OWN = 'two candidates, own counts'
    TWO_REPORTED = 'two candidates, reports 0.2 s old'
    LEAST_REPORTED = 'least outstanding, reports 0.2 s old'
    LEAST_EXACT = 'least outstanding, exact counts'


class SharedCounts:
    """Outstanding requests of all balancers, exact and as reported."""

    def __init__(self, network: harness.VirtualNetwork) -> None:
        self.exact: naive.RequestCounts = collections.Counter()
        self.reported: naive.RequestCounts = collections.Counter()
        self.false_reports_by_id: dict[str, int] = {}
        self._network = network
        self._measure()

    def placement(
        self, kind: NaiveKind, rng: random.Random
    ) -> naive.PlacementPolicy:
        """Return the placement of one balancer."""
        least = naive.LeastOutstandingPlacement
        if kind is NaiveKind.HASH:
            return naive.HashPlacement()
        if kind is NaiveKind.TWO_OWN:
            return least(rng, collections.Counter(), candidate_count=2)
        if kind is NaiveKind.TWO_REPORTED:
            return least(
                rng, self.reported, candidate_count=2, updates_counts=False
            )
        if kind is NaiveKind.LEAST_REPORTED:
            return least(rng, self.reported, updates_counts=False)
        return least(rng, self.exact)

    def _measure(self) -> None:
        measured = {**self.exact, **self.false_reports_by_id}
        self._network.call_later(REPORT_AGE, lambda: self._report(measured))
        self._network.call_later(REPORT_PERIOD, self._measure)

    def _report(self, measured: dict[str, int]) -> None:
        self.reported.clear()
        self.reported.update(measured)


class NaiveHost:
    """Sends each datagram on at once, without a record of requests."""

    def __init__(
        self,
        name: str,
        network: harness.VirtualNetwork,
        policy: policies.Policy,
        on_reply: hosts.ReplyFunction,
        tick: datetime.timedelta,
        kind: NaiveKind = NaiveKind.HASH,
        counts: SharedCounts | None = None,
    ) -> None:
        self.name = name
        self.alive = True
        self.cut_off = False
        self._network = network
        self._on_reply = on_reply
        self._counts = counts or SharedCounts(network)
        self._placement = self._counts.placement(kind, random.Random(name))
        self._upstreams_by_id: dict[str, upstreams.Upstream] = {}
        self._works_by_token: dict[tuple[int, int, int], works.Work] = {}
        network.add_host(name, self.on_message)

    def start_as(self, leader: str, second: str) -> None:
        """Ignore the view: every naive balancer serves alone."""

    def refresh(self) -> None:
        """Ignore it."""

    def on_message(self, sender: str, message: object) -> None:
        """Take a request, an answer or the list of upstreams."""
        if isinstance(message, hosts.Forward):
            self._send(message.work)
        elif isinstance(message, messages.Answer):
            self._on_answer(message)
        elif isinstance(message, hosts.NewUpstreams):
            self._upstreams_by_id = {
                item.upstream_id: item
                for item in message.upstreams
                if item.takes_new_work
            }

    def _send(self, work: works.Work) -> None:
        chosen = self._placement.choose(
            work.flow, sorted(self._upstreams_by_id)
        )
        upstream = self._upstreams_by_id[chosen]
        self._placement.on_request_start(chosen)
        token = (work.flow, work.request, work.attempt)
        self._works_by_token[token] = work
        self._network.send(
            self.name, chosen, messages.Bind(work, upstream, (work.payload,))
        )
        now = self._network.clock.monotonic()
        self._network.call_later(
            min(work.deadline - now, GIVE_UP),
            lambda: self._give_up(token, chosen),
            host=self.name,
        )

    def _on_answer(self, answer: messages.Answer) -> None:
        token = (answer.flow, answer.request, answer.attempt)
        work = self._works_by_token.pop(token, None)
        if work is None:
            return
        self._placement.on_request_end(answer.upstream_id)
        self._on_reply(
            messages.Reply(work, wire.Outcome.COMPLETE, payload=answer.payload)
        )

    def _give_up(self, token: tuple[int, int, int], chosen: str) -> None:
        work = self._works_by_token.pop(token, None)
        if work is None:
            return
        self._placement.on_request_end(chosen)
        self._on_reply(
            messages.Reply(work, wire.Outcome.NOT_RUN, works.Reason.TIMEOUT)
        )
