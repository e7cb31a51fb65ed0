"""Simulated balancer hosts with naive placement."""

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
from acaciamoor.requests import request_part as request_parts
from acaciamoor.wire import envelope as wire

REPORT_DELAY = datetime.timedelta(milliseconds=200)
REPORT_INTERVAL = datetime.timedelta(milliseconds=20)
# After this time, a naive balancer replies "not run", which may be false.
REPLY_TIMEOUT = datetime.timedelta(seconds=3)


class Baseline(enum.Enum):
    """Naive placement to compare with.

    The value is appended to the names of the measures.
    """

    HASH = 'by hash'
    TWO_OWN_COUNTS = 'two candidates, own counts'
    TWO_REPORTED_COUNTS = 'two candidates, reports 0.2 s old'
    LEAST_REPORTED_COUNT = 'least outstanding, reports 0.2 s old'
    LEAST_EXACT_COUNT = 'least outstanding, exact counts'


class SharedCounts:
    """Outstanding requests by upstream, exact and as reported with a delay.

    The counts include the requests of all balancers.
    """

    def __init__(self, network: harness.VirtualNetwork) -> None:
        self.exact: naive.RequestCounts = collections.Counter()
        self.reported: naive.RequestCounts = collections.Counter()
        self.false_reports_by_id: dict[str, int] = {}
        self._network = network
        self._sample_counts()

    def placement(
        self, baseline: Baseline, rng: random.Random
    ) -> naive.PlacementPolicy:
        """Return a new placement for one balancer."""
        least = naive.LeastOutstandingPlacement
        if baseline is Baseline.HASH:
            return naive.HashPlacement()
        if baseline is Baseline.TWO_OWN_COUNTS:
            return least(rng, collections.Counter(), candidate_count=2)
        if baseline is Baseline.TWO_REPORTED_COUNTS:
            return least(
                rng, self.reported, candidate_count=2, updates_counts=False
            )
        if baseline is Baseline.LEAST_REPORTED_COUNT:
            return least(rng, self.reported, updates_counts=False)
        return least(rng, self.exact)

    def _sample_counts(self) -> None:
        measured = {**self.exact, **self.false_reports_by_id}
        self._network.call_later(
            REPORT_DELAY, lambda: self._publish_counts(measured)
        )
        self._network.call_later(REPORT_INTERVAL, self._sample_counts)

    def _publish_counts(self, measured: dict[str, int]) -> None:
        self.reported.clear()
        self.reported.update(measured)


class NaiveHost:
    """Forwards each datagram immediately and keeps no record of requests.

    It has the interface of `placement_hosts.PlacerHost`.
    """

    def __init__(
        self,
        name: str,
        network: harness.VirtualNetwork,
        policy: policies.Policy,
        on_reply: hosts.ReplyCallback,
        tick: datetime.timedelta,
        baseline: Baseline = Baseline.HASH,
        counts: SharedCounts | None = None,
    ) -> None:
        self.name = name
        self.alive = True
        self.cut_off = False
        self._network = network
        self._on_reply = on_reply
        self._counts = counts or SharedCounts(network)
        self._placement = self._counts.placement(baseline, random.Random(name))
        self._upstreams_by_id: dict[str, upstreams.Upstream] = {}
        self._request_parts_by_attempt: dict[
            tuple[int, int, int], request_parts.RequestPart
        ] = {}
        network.add_host(name, self.on_message)

    def set_initial_leader(self, leader: str, successor: str) -> None:
        """Ignore the leader, which naive balancers do not have."""

    def rejoin(self) -> None:
        """Do nothing: a naive balancer holds no lease."""

    def on_message(self, sender: str, message: object) -> None:
        """Handle a request, an answer or an update of the upstreams."""
        if isinstance(message, hosts.Forward):
            self._send(message.request_part)
        elif isinstance(message, messages.Answer):
            self._on_answer(message)
        elif isinstance(message, hosts.UpstreamsUpdate):
            self._upstreams_by_id = {
                item.upstream_id: item
                for item in message.upstreams
                if item.takes_new_work
            }

    def _send(self, request_part: request_parts.RequestPart) -> None:
        chosen = self._placement.choose(
            request_part.flow, sorted(self._upstreams_by_id)
        )
        upstream = self._upstreams_by_id[chosen]
        self._placement.on_request_start(chosen)
        attempt_key = (
            request_part.flow,
            request_part.request,
            request_part.attempt,
        )
        self._request_parts_by_attempt[attempt_key] = request_part
        self._network.send(
            self.name,
            chosen,
            messages.Bind(request_part, upstream, (request_part.payload,)),
        )
        now = self._network.clock.monotonic()
        self._network.call_later(
            min(request_part.deadline - now, REPLY_TIMEOUT),
            lambda: self._time_out(attempt_key, chosen),
            host=self.name,
        )

    def _on_answer(self, answer: messages.Answer) -> None:
        attempt_key = (answer.flow, answer.request, answer.attempt)
        request_part = self._request_parts_by_attempt.pop(attempt_key, None)
        if request_part is None:
            return
        self._placement.on_request_end(answer.upstream_id)
        self._on_reply(
            messages.Reply(
                request_part, wire.Outcome.COMPLETE, payload=answer.payload
            )
        )

    def _time_out(
        self, attempt_key: tuple[int, int, int], chosen: str
    ) -> None:
        request_part = self._request_parts_by_attempt.pop(attempt_key, None)
        if request_part is None:
            return
        self._placement.on_request_end(chosen)
        self._on_reply(
            messages.Reply(
                request_part,
                wire.Outcome.NOT_RUN,
                request_parts.Reason.TIMEOUT,
            )
        )
