"""Data path of requests: to the placer, to an upstream, and back."""

import collections.abc
import datetime
import random

from acaciamoor.balancer.core import counters as counts
from acaciamoor.balancer.core import effects
from acaciamoor.balancer.core import peer_link
from acaciamoor.balancer.core import placer_invoker
from acaciamoor.balancer.core import placer_manager
from acaciamoor.balancer.core import placer_registry
from acaciamoor.balancer.core import request_effects
from acaciamoor.balancer.core import requests
import acaciamoor.clock as clocks
import acaciamoor.membership as membership
import acaciamoor.model as model
import acaciamoor.placement as placement
import acaciamoor.wire as wire

Effects = list[effects.Effect]
_ZERO = datetime.timedelta(0)


class RequestPath:
    """Submits requests to their placers, here or on another balancer.

    Parameters
    ----------
    host_id : HostId
        This balancer.
    data_centre : DataCentre
        Data centre whose upstreams are used.
    clock : Clock
        Source of monotonic time.
    rng : random.Random
        Source of jitter.
    table : MembershipTable
        Provides the lease of this host.
    link : PeerLink
        Forwards datagrams to other balancers.
    counters : Counters
        Counters of this balancer.
    on_health : callable
        Called when a placer ejects or readmits an upstream.
    """

    def __init__(
        self,
        host_id: model.HostId,
        data_centre: model.DataCentre,
        clock: clocks.Clock,
        rng: random.Random,
        table: membership.MembershipTable,
        link: peer_link.PeerLink,
        counters: counts.Counters,
        on_health: request_effects.HealthHandler,
    ) -> None:
        self.placers = placer_registry.PlacerRegistry(
            host_id, data_centre, clock, rng
        )
        self._clock = clock
        self._link = link
        self._counters = counters
        self._effect_builder = request_effects.RequestEffectBuilder(
            clock, self.placers, link, counters, on_health
        )
        self._placer_invoker = placer_invoker.PlacerInvoker(
            self.placers, table, self._effect_builder
        )
        self._placer_manager = placer_manager.PlacerManager(
            self.placers, self._placer_invoker, clock
        )

    def set_members(self, members: model.MembershipView) -> Effects:
        """Replace the members; create placers of shards this host leads."""
        return self._placer_manager.set_members(members)

    def set_service(self, service: model.Service) -> Effects:
        """Apply a version of a service at once, without activation delay."""
        self._effect_builder.set_service_name(service.service_id, service.name)
        return self._placer_manager.set_service(service)

    def set_evacuated(self, evacuated: bool) -> Effects:
        """Apply an evacuation or its end at once, as `set_service` does."""
        return self._placer_manager.set_evacuated(evacuated)

    def remove_service(self, service_id: model.ServiceId) -> Effects:
        """Stop binding requests of a deleted service."""
        return self._placer_manager.remove_service(service_id)

    def on_request(
        self, datagram: requests.RequestDatagram, hops: int = 0
    ) -> Effects:
        """Handle a REQUEST from the fabric, or forwarded by a peer."""
        key = self._shard_of(datagram)
        if datagram.service_id not in self._placer_manager.services_by_id:
            return self._refuse_unknown(datagram, 'unknown-service')
        if not self.placers.leads(key):
            return self._forward_to_leader(key, datagram, hops)
        return self._submit(key, datagram, placement.Origin.CALLER)

    def on_stale_request(self, datagram: requests.RequestDatagram) -> Effects:
        """Handle a REQUEST that was buffered while the process was paused."""
        key = self._shard_of(datagram)
        is_known = datagram.service_id in self._placer_manager.services_by_id
        if is_known and self.placers.leads(key):
            return self._submit(key, datagram, placement.Origin.STALE)
        if is_known and datagram.envelope.idempotent:
            return self._forward_to_leader(key, datagram, 0)
        return self._refuse_unknown(datagram, placement.Reason.PLACER_PAUSED)

    def on_peer_request(
        self,
        datagram: requests.RequestDatagram,
        origin: placement.Origin,
        held: datetime.timedelta,
    ) -> Effects:
        """Handle a request that a peer asks about or hands over."""
        if datagram.service_id not in self._placer_manager.services_by_id:
            return self._refuse_unknown(datagram, 'unknown-service')
        return self._submit(self._shard_of(datagram), datagram, origin, held)

    def on_cancel(
        self, datagram: requests.RequestDatagram, hops: int = 0
    ) -> Effects:
        """Handle a CANCEL."""
        key = self._shard_of(datagram)
        if not self.placers.leads(key):
            return self._forward_to_leader(key, datagram, hops)
        envelope = datagram.envelope
        request_key = placement.RequestKey(envelope.flow, envelope.request)
        return self._placer_invoker.call(
            key, lambda placer: placer.cancel(request_key)
        )

    def on_close(
        self, datagram: requests.RequestDatagram, hops: int = 0
    ) -> Effects:
        """Handle the CLOSE of a flow of requests."""
        key = self._shard_of(datagram)
        if not self.placers.leads(key):
            return self._forward_to_leader(key, datagram, hops)
        flow = datagram.envelope.flow
        return self._placer_invoker.call(
            key, lambda placer: placer.close_flow(flow)
        )

    def on_answer(
        self,
        upstream_id: model.UpstreamId,
        envelope: wire.Envelope,
        data: bytes,
    ) -> Effects:
        """Handle an ANSWER or a REFUSAL of an upstream.

        Parameters
        ----------
        upstream_id : UpstreamId
            Upstream that the source address belongs to.
        envelope : Envelope
            The decoded envelope.
        data : bytes
            The envelope as received.
        """
        key = self.placers.shard_of(
            model.ServiceId(envelope.service), envelope.flow
        )
        identifiers = (upstream_id, envelope.flow, envelope.request)
        if envelope.kind is wire.EnvelopeKind.ANSWER:
            answer = placement.Answer(
                *identifiers,
                envelope.attempt,
                envelope.part,
                envelope.parts,
                payload=data,
            )
            return self._call_all_placers(
                model.ServiceId(envelope.service),
                lambda placer: placer.on_answer(answer),
            )
        if envelope.outcome is not wire.Outcome.NOT_RUN:
            # The upstream aborted the request while running it. The placer
            # ends it as "outcome unknown" at its deadline.
            return []
        self._effect_builder.record_shed(
            key, placement.RequestKey(envelope.flow, envelope.request)
        )
        shed = placement.Shed(*identifiers, envelope.attempt)
        return self._call_all_placers(
            model.ServiceId(envelope.service),
            lambda placer: placer.on_shed(shed),
        )

    def _call_all_placers(
        self,
        service_id: model.ServiceId,
        action: collections.abc.Callable[
            [placement.Placer], list[placement.Effect]
        ],
    ) -> Effects:
        """Run `action` on all local placers of a service.

        After a change of the number of shards, a request may be bound by
        another placer than that of the current shard of its flow.
        """
        return [
            effect
            for key in self.placers.local_shards(service_id)
            for effect in self._placer_invoker.call(key, action)
        ]

    def on_polled(
        self,
        service_id: model.ServiceId,
        probe_result: placement.ProbeResult,
        load_report: placement.LoadReport | None,
    ) -> Effects:
        """Handle the results of polling the endpoints of an upstream."""
        produced: Effects = []
        for key, entry in self.placers.entries_by_shard.items():
            if key.service_id != service_id or not any(
                upstream.upstream_id == probe_result.upstream_id
                for upstream in entry.upstreams
            ):
                continue
            produced += self._placer_invoker.call(
                key, lambda p: p.on_probe_result(probe_result)
            )
            if load_report is not None:
                produced += self._placer_invoker.call(
                    key, lambda p: p.on_report(load_report)
                )
        return produced

    def tick(self) -> Effects:
        """Run the timers of all placers."""
        produced: Effects = []
        for key in list(self.placers.entries_by_shard):
            produced += self._placer_invoker.call(key, placement.Placer.tick)
        self.placers.remove_retired(self._clock.monotonic())
        return produced

    def hand_over(self) -> Effects:
        """Hand over the queues of shards that another host leads now."""
        produced: Effects = []
        for key, entry in self.placers.entries_by_shard.items():
            successor = self.placers.leader(key)
            if successor is not None and not self.placers.leads(key):
                produced += self._placer_invoker.carry_out(
                    key, entry.placer.hand_over(successor)
                )
        return produced

    def _shard_of(
        self, datagram: requests.RequestDatagram
    ) -> placer_registry.ShardKey:
        return self.placers.shard_of(
            datagram.service_id, datagram.envelope.flow
        )

    def _submit(
        self,
        key: placer_registry.ShardKey,
        datagram: requests.RequestDatagram,
        origin: placement.Origin,
        held: datetime.timedelta = _ZERO,
    ) -> Effects:
        self._placer_manager.ensure_placer(key)
        request_part = datagram.to_request_part(self._clock.monotonic(), held)
        return self._placer_invoker.call(
            key, lambda placer: placer.submit(request_part, origin)
        )

    def _forward_to_leader(
        self,
        key: placer_registry.ShardKey,
        datagram: requests.RequestDatagram,
        hops: int,
    ) -> Effects:
        leader = self.placers.leader(key)
        if leader is None or hops >= request_effects.MAX_HOPS:
            self._counters.add(counts.Metric.DROPS, 'no-placer')
            return []
        return self._link.forward(
            leader,
            wire.Forward(
                wire.ForwardPurpose.WORK, datagram.data, hops=hops + 1
            ),
        )

    def _refuse_unknown(
        self, datagram: requests.RequestDatagram, reason: str
    ) -> Effects:
        request_part = datagram.to_request_part(self._clock.monotonic(), _ZERO)
        return self._effect_builder.refuse(
            request_part, wire.Outcome.OUTCOME_UNKNOWN, reason
        )
