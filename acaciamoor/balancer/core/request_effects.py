"""Effects of requests: replies to callers and forwards to balancers."""

import collections.abc
import datetime

from acaciamoor.balancer.core import counters as counts
from acaciamoor.balancer.core import effects
from acaciamoor.balancer.core import peer_link
from acaciamoor.balancer.core import placer_registry
from acaciamoor.balancer.core import requests
import acaciamoor.clock as clocks
import acaciamoor.model as model
import acaciamoor.placement as placement
import acaciamoor.wire as wire

Effects = list[effects.Effect]
HealthHandler = collections.abc.Callable[
    [placer_registry.ShardKey, placement.HealthChanged], Effects
]
# A balancer that doesn't lead the shard forwards a request to the leader in
# its view. After two such hops the datagram is dropped and the caller has to
# retransmit it.
MAX_HOPS = 2
_REQUEST_OUTCOMES_BY_WIRE_OUTCOME = {
    wire.Outcome.NOT_RUN: effects.RequestOutcome.NOT_RUN,
    wire.Outcome.OUTCOME_UNKNOWN: effects.RequestOutcome.OUTCOME_UNKNOWN,
}
# Exported as 0 from the start, since the report shows a metric that is absent
# as missing data.
_METRICS_EXPORTED_AT_ZERO = (
    counts.Metric.STREAMS_OPENED,
    counts.Metric.STREAMS_BROKEN,
    counts.Metric.REQUESTS_SENT,
)


class RequestEffectBuilder:
    """Builds the replies, forwards and counts that placers request.

    Implements `placer_effects.EffectBuilder`.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    placers : PlacerRegistry
        Selects the host that is asked for a record.
    link : PeerLink
        Forwards datagrams to other balancers.
    counters : Counters
        Counters of this balancer.
    on_health : callable
        Called when a placer ejects or readmits an upstream.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        placers: placer_registry.PlacerRegistry,
        link: peer_link.PeerLink,
        counters: counts.Counters,
        on_health: HealthHandler,
    ) -> None:
        self.on_health = on_health
        self._names_by_service: dict[model.ServiceId, str] = {}
        self._clock = clock
        self._placers = placers
        self._link = link
        self._counters = counters
        self._shed_requests_by_shard: dict[
            placer_registry.ShardKey, set[placement.RequestKey]
        ] = {}

    def refuse(
        self,
        request_part: placement.RequestPart,
        outcome: wire.Outcome,
        reason: str,
        retry_after: datetime.timedelta = datetime.timedelta(0),
        inputs: placement.RefusalInputs | None = None,
    ) -> Effects:
        """Refuse a request with the outcome that is known."""
        self._counters.add(counts.Metric.REFUSALS, str(reason))
        if retry_after:
            self._counters.add(counts.Metric.RETURNS, 'told')
        data = requests.refusal(
            request_part, outcome, str(reason), retry_after
        )
        service = self._name_of(request_part.caller.service_id)
        request_outcome = _REQUEST_OUTCOMES_BY_WIRE_OUTCOME[outcome]
        return [
            effects.ToCaller(request_part.caller.address, data),
            effects.RequestRefused(
                service,
                request_part.flow,
                request_outcome,
                str(reason),
                retry_after,
                inputs,
            ),
            effects.RequestEnded(service, request_outcome),
        ]

    def answer(
        self, request_part: placement.RequestPart, data: bytes
    ) -> Effects:
        """Send one part of an answer to its caller."""
        answer = effects.ToCaller(request_part.caller.address, data)
        if wire.decode(data).part > 0:
            return [answer]
        short_request_time = None
        if request_part.size_class is not wire.SizeClass.LONG:
            short_request_time = requests.time_held(
                request_part.payload, request_part, self._clock.monotonic()
            )
        request_ended = effects.RequestEnded(
            self._name_of(request_part.caller.service_id),
            effects.RequestOutcome.ANSWERED,
            short_request_time,
        )
        return [answer, request_ended]

    def ask_record_holder(
        self,
        key: placer_registry.ShardKey,
        request_part: placement.RequestPart,
    ) -> Effects:
        """Ask the likely holder of the record about a request."""
        holder = self._placers.likely_record_holder(key)
        if holder is None:
            return self.refuse(
                request_part,
                wire.Outcome.OUTCOME_UNKNOWN,
                placement.Reason.NO_RECORD,
            )
        return self.forward(
            holder,
            request_part,
            request_part.payload,
            wire.ForwardPurpose.COVERAGE,
        )

    def forward(
        self,
        host_id: model.HostId,
        request_part: placement.RequestPart,
        data: bytes,
        purpose: wire.ForwardPurpose,
    ) -> Effects:
        """Forward a datagram of a request to another balancer."""
        held = requests.time_held(data, request_part, self._clock.monotonic())
        return self._link.forward(
            host_id, wire.Forward(purpose, data, hops=MAX_HOPS, held=held)
        )

    def record_return(self) -> None:
        """Count a refused caller that came back when it was told to."""
        self._counters.add(counts.Metric.RETURNS, 'returned')

    def record_start(
        self, key: placer_registry.ShardKey, bind: placement.Bind
    ) -> Effects:
        """Count a request that is bound to an upstream."""
        request = bind.request_part.key
        name = self._name_of(key.service_id)
        self._counters.add(counts.Metric.REQUESTS_SENT, name)
        shed_requests = self._shed_requests_by_shard.get(key)
        if shed_requests and request in shed_requests:
            shed_requests.discard(request)
            self._counters.add(counts.Metric.RETRIES, name)
        return [effects.RequestStarted(name, bind.waited)]

    def set_service_name(self, service_id: model.ServiceId, name: str) -> None:
        """Set the name of a service and export its counts from 0."""
        self._names_by_service[service_id] = name
        for metric in _METRICS_EXPORTED_AT_ZERO:
            self._counters.cell(metric, name)

    def _name_of(self, service_id: model.ServiceId) -> str:
        return self._names_by_service.get(service_id, str(service_id))

    def record_shed(
        self, key: placer_registry.ShardKey, request: placement.RequestKey
    ) -> None:
        """Record a shed request, whose next binding counts as a retry."""
        self._shed_requests_by_shard.setdefault(key, set()).add(request)
