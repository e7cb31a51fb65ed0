"""Path of requests: to the placer, to an upstream, and back."""

import collections.abc
import datetime
import random

from acaciamoor.balancer.core import assignments
from acaciamoor.balancer.core import calls
from acaciamoor.balancer.core import counters as counts
from acaciamoor.balancer.core import effects
from acaciamoor.balancer.core import peers
from acaciamoor.balancer.core import placers as leaders
from acaciamoor.balancer.core import replies
from acaciamoor.balancer.core import requests
import acaciamoor.clock as clocks
import acaciamoor.membership as membership
import acaciamoor.model as model
import acaciamoor.placement as placement
import acaciamoor.wire as wire

Effects = list[effects.Effect]
_ZERO = datetime.timedelta(0)


class WorkPath:
    """Brings requests to the placer and carries out what it decides.

    Parameters
    ----------
    host_id : HostId
        This balancer.
    data_centre : DataCentre
        Whose upstreams are used.
    clock : Clock
        Source of monotonic time.
    rng : random.Random
        Source of jitter.
    table : MembershipTable
        Asked for the lease.
    link : PeerLink
        Makes messages to other balancers.
    counters : Counters
        Counts what happens.
    on_health : callable
        Told when a placer judges the health of an upstream anew.
    """

    def __init__(
        self,
        host_id: model.HostId,
        data_centre: model.DataCentre,
        clock: clocks.Clock,
        rng: random.Random,
        table: membership.MembershipTable,
        link: peers.PeerLink,
        counters: counts.Counters,
        on_health: replies.Health,
    ) -> None:
        self.placers = leaders.Placers(host_id, data_centre, clock, rng)
        self._clock = clock
        self._link = link
        self._counters = counters
        self._replies = replies.Replies(
            clock, self.placers, link, counters, on_health
        )
        self._calls = calls.PlacerCalls(self.placers, table, self._replies)
        self._assignments = assignments.ServiceAssignments(
            self.placers, self._calls, clock
        )

    def set_members(self, members: model.MembershipView) -> Effects:
        """Take in the hosts and lead what falls to this host."""
        return self._assignments.set_members(members)

    def set_service(self, service: model.Service) -> Effects:
        """Apply a version of a service at once, without activation delay."""
        self._replies.set_name(service.service_id, service.name)
        return self._assignments.set_service(service)

    def remove_service(self, service_id: model.ServiceId) -> Effects:
        """Stop new work of a deleted service."""
        return self._assignments.remove_service(service_id)

    def on_request(
        self, datagram: requests.RequestDatagram, hops: int = 0
    ) -> Effects:
        """Take a REQUEST, from the fabric or passed on by a peer."""
        key = self._shard(datagram)
        if datagram.service_id not in self._assignments.services_by_id:
            return self._unknown(datagram, 'unknown-service')
        if not self.placers.leads(key):
            return self._pass_on(key, datagram, hops)
        return self._submit(key, datagram, placement.Origin.CALLER)

    def on_stale_request(self, datagram: requests.RequestDatagram) -> Effects:
        """Take a REQUEST that waited while the process was paused."""
        key = self._shard(datagram)
        known = datagram.service_id in self._assignments.services_by_id
        if known and self.placers.leads(key):
            return self._submit(key, datagram, placement.Origin.STALE)
        if known and datagram.envelope.idempotent:
            return self._pass_on(key, datagram, 0)
        return self._unknown(datagram, placement.Reason.PLACER_PAUSED)

    def on_peer_request(
        self,
        datagram: requests.RequestDatagram,
        origin: placement.Origin,
        held: datetime.timedelta,
    ) -> Effects:
        """Take a request that a peer asks about or hands over."""
        if datagram.service_id not in self._assignments.services_by_id:
            return self._unknown(datagram, 'unknown-service')
        return self._submit(self._shard(datagram), datagram, origin, held)

    def on_cancel(
        self, datagram: requests.RequestDatagram, hops: int = 0
    ) -> Effects:
        """Take a CANCEL."""
        key = self._shard(datagram)
        if not self.placers.leads(key):
            return self._pass_on(key, datagram, hops)
        envelope = datagram.envelope
        request_key = placement.RequestKey(envelope.flow, envelope.request)
        return self._calls.call(key, lambda placer: placer.cancel(request_key))

    def on_close(
        self, datagram: requests.RequestDatagram, hops: int = 0
    ) -> Effects:
        """Take the CLOSE of a flow of requests."""
        key = self._shard(datagram)
        if not self.placers.leads(key):
            return self._pass_on(key, datagram, hops)
        flow = datagram.envelope.flow
        return self._calls.call(key, lambda placer: placer.close_flow(flow))

    def on_answer(
        self,
        upstream_id: model.UpstreamId,
        envelope: wire.Envelope,
        data: bytes,
    ) -> Effects:
        """Take an ANSWER or a REFUSAL of an upstream.

        Parameters
        ----------
        upstream_id : UpstreamId
            The upstream whose address it came from.
        envelope : Envelope
            The decoded envelope.
        data : bytes
            The envelope as received.
        """
        key = self.placers.shard_of(
            model.ServiceId(envelope.service), envelope.flow
        )
        numbers = (upstream_id, envelope.flow, envelope.request)
        if envelope.kind is wire.EnvelopeKind.ANSWER:
            answer = placement.Answer(
                *numbers,
                envelope.attempt,
                envelope.part,
                envelope.parts,
                payload=data,
            )
            return self._call_all(
                model.ServiceId(envelope.service),
                lambda placer: placer.on_answer(answer),
            )
        if envelope.outcome is not wire.Outcome.NOT_RUN:
            # The upstream gave up in the middle of a run. The placer ends
            # the request as unknown at its deadline.
            return []
        self._replies.note_shed(
            key, placement.RequestKey(envelope.flow, envelope.request)
        )
        shed = placement.Shed(*numbers, envelope.attempt)
        return self._call_all(
            model.ServiceId(envelope.service),
            lambda placer: placer.on_shed(shed),
        )

    def _call_all(
        self,
        service_id: model.ServiceId,
        action: collections.abc.Callable[
            [placement.Placer], list[placement.Effect]
        ],
    ) -> Effects:
        """Run `action` on all placers of a service.

        After a change of the shards a request may be bound at a placer other
        than the one that its flow belongs to now.
        """
        return [
            effect
            for key in self.placers.held(service_id)
            for effect in self._calls.call(key, action)
        ]

    def on_observed(
        self,
        service_id: model.ServiceId,
        healthy: placement.ProbeResult,
        load: placement.LoadReport | None,
    ) -> Effects:
        """Take what the endpoints of an upstream reported."""
        done: Effects = []
        for key, leadership in self.placers.leaderships_by_shard.items():
            if key.service_id != service_id or not any(
                upstream.upstream_id == healthy.upstream_id
                for upstream in leadership.upstreams
            ):
                continue
            done += self._calls.call(key, lambda p: p.on_probe_result(healthy))
            if load is not None:
                done += self._calls.call(key, lambda p: p.on_report(load))
        return done

    def tick(self) -> Effects:
        """Run the timers of all placers."""
        done: Effects = []
        for key in list(self.placers.leaderships_by_shard):
            done += self._calls.call(key, placement.Placer.tick)
        self.placers.drop_retired(self._clock.monotonic())
        return done

    def hand_over(self) -> Effects:
        """Pass all queues to the hosts that lead after this one left."""
        done: Effects = []
        for key, leadership in self.placers.leaderships_by_shard.items():
            successor = self.placers.leader(key)
            if successor is not None and not self.placers.leads(key):
                done += self._calls.carry_out(
                    key, leadership.placer.hand_over(successor)
                )
        return done

    def _shard(self, datagram: requests.RequestDatagram) -> leaders.ShardKey:
        return self.placers.shard_of(
            datagram.service_id, datagram.envelope.flow
        )

    def _submit(
        self,
        key: leaders.ShardKey,
        datagram: requests.RequestDatagram,
        origin: placement.Origin,
        held: datetime.timedelta = _ZERO,
    ) -> Effects:
        self._assignments.ensure_placer(key)
        work = datagram.work(self._clock.monotonic(), held)
        return self._calls.call(
            key, lambda placer: placer.submit(work, origin)
        )

    def _pass_on(
        self,
        key: leaders.ShardKey,
        datagram: requests.RequestDatagram,
        hops: int,
    ) -> Effects:
        leader = self.placers.leader(key)
        if leader is None or hops >= replies.MAX_HOPS:
            self._counters.add(counts.Metric.DROPS, 'no-placer')
            return []
        return self._link.forward(
            leader,
            wire.Forward(
                wire.ForwardPurpose.WORK, datagram.data, hops=hops + 1
            ),
        )

    def _unknown(
        self, datagram: requests.RequestDatagram, reason: str
    ) -> Effects:
        work = datagram.work(self._clock.monotonic(), _ZERO)
        return self._replies.refuse(work, wire.Outcome.OUTCOME_UNKNOWN, reason)
