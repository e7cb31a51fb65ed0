"""Replies to callers and requests passed to other balancers."""

import collections.abc

from acaciamoor.balancer.core import counters as counts
from acaciamoor.balancer.core import effects
from acaciamoor.balancer.core import peers
from acaciamoor.balancer.core import placers as leaders
from acaciamoor.balancer.core import requests
import acaciamoor.clock as clocks
import acaciamoor.model as model
import acaciamoor.placement as placement
import acaciamoor.wire as wire

Effects = list[effects.Effect]
Health = collections.abc.Callable[
    [leaders.ShardKey, placement.HealthChanged], Effects
]
# A balancer that is not the placer passes a request to the one that it
# believes is; after two such hops the caller's retransmission is waited for.
MAX_HOPS = 2
_ENDS_BY_OUTCOME = {
    wire.Outcome.NOT_RUN: effects.RequestOutcome.NOT_RUN,
    wire.Outcome.OUTCOME_UNKNOWN: effects.RequestOutcome.OUTCOME_UNKNOWN,
}
# The report shows a metric that is absent as missing data.
_COUNTED_FROM_START = (
    counts.Metric.STREAMS_OPENED,
    counts.Metric.STREAMS_BROKEN,
    counts.Metric.NEW_WORK,
)


class Replies:
    """Carries out what placers decide; a `placer_effects.Carrier`.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    placers : Placers
        Knows the hosts that may have records.
    link : PeerLink
        Makes messages to other balancers.
    counters : Counters
        Counts what happens.
    on_health : callable
        Told when a placer judges the health of an upstream anew.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        placers: leaders.Placers,
        link: peers.PeerLink,
        counters: counts.Counters,
        on_health: Health,
    ) -> None:
        self.on_health = on_health
        self._names_by_service: dict[model.ServiceId, str] = {}
        self._clock = clock
        self._placers = placers
        self._link = link
        self._counters = counters
        self._shed_by_shard: dict[
            leaders.ShardKey, set[placement.RequestKey]
        ] = {}

    def refuse(
        self, work: placement.Work, outcome: wire.Outcome, reason: str
    ) -> Effects:
        """Tell a caller what is known about its request."""
        self._counters.add(counts.Metric.REFUSALS, str(reason))
        data = requests.refusal(work, outcome, str(reason))
        ended = effects.RequestEnded(
            self._name_of(work.caller.service_id),
            _ENDS_BY_OUTCOME[outcome],
        )
        return [effects.ToCaller(work.caller.address, data), ended]

    def answer(self, work: placement.Work, data: bytes) -> Effects:
        """Pass one part of an answer to its caller."""
        sent = effects.ToCaller(work.caller.address, data)
        if wire.decode(data).part > 0:
            return [sent]
        taken = None
        if work.size_class is not wire.SizeClass.LONG:
            taken = requests.held_since_receipt(
                work.payload, work, self._clock.monotonic()
            )
        ended = effects.RequestEnded(
            self._name_of(work.caller.service_id),
            effects.RequestOutcome.ANSWERED,
            taken,
        )
        return [sent, ended]

    def ask(self, key: leaders.ShardKey, work: placement.Work) -> Effects:
        """Ask the likely holder of a record about a request."""
        witness = self._placers.witness(key)
        if witness is None:
            return self.refuse(
                work,
                wire.Outcome.OUTCOME_UNKNOWN,
                placement.Reason.NO_RECORD,
            )
        return self.forward(
            witness, work, work.payload, wire.ForwardPurpose.COVERAGE
        )

    def forward(
        self,
        host_id: model.HostId,
        work: placement.Work,
        data: bytes,
        purpose: wire.ForwardPurpose,
    ) -> Effects:
        """Pass a datagram of a request to another balancer."""
        held = requests.held_since_receipt(data, work, self._clock.monotonic())
        return self._link.forward(
            host_id, wire.Forward(purpose, data, hops=MAX_HOPS, held=held)
        )

    def count_bind(
        self, key: leaders.ShardKey, request: placement.RequestKey
    ) -> None:
        """Count a request that is sent to an upstream."""
        name = self._name_of(key.service_id)
        self._counters.add(counts.Metric.NEW_WORK, name)
        shed = self._shed_by_shard.get(key)
        if shed and request in shed:
            shed.discard(request)
            self._counters.add(counts.Metric.RETRIES, name)

    def set_name(self, service_id: model.ServiceId, name: str) -> None:
        """Learn the name of a service and show its counts from 0."""
        self._names_by_service[service_id] = name
        for metric in _COUNTED_FROM_START:
            self._counters.cell(metric, name)

    def _name_of(self, service_id: model.ServiceId) -> str:
        return self._names_by_service.get(service_id, str(service_id))

    def note_shed(
        self, key: leaders.ShardKey, request: placement.RequestKey
    ) -> None:
        """Count the next sending of a request as a retry."""
        self._shed_by_shard.setdefault(key, set()).add(request)
