"""Forwarding decisions, free of input and output."""

import datetime
import random

from acaciamoor import admission as admissions
from acaciamoor import capacity
from acaciamoor import directory as directories
from acaciamoor import evidence
from acaciamoor import hashing
from acaciamoor import load_reports
from acaciamoor import model
from acaciamoor import openings
from acaciamoor import pacing
from acaciamoor import tokens
from acaciamoor.forwarder import core_settings
from acaciamoor.forwarder import effects
from acaciamoor.forwarder import held_packets
from acaciamoor.forwarder import packet as packets

_NO_ROUTE = effects.Drop(effects.DropReason.NO_ROUTE)
_NO_UPSTREAM = effects.Drop(effects.DropReason.NO_UPSTREAM)
_NOT_FROM_CALLER = effects.Drop(effects.DropReason.NOT_FROM_CALLER)
_UNKNOWN_TOKEN = effects.Drop(effects.DropReason.UNKNOWN_TOKEN)
_MAX_FLOWS = effects.Drop(effects.DropReason.MAX_FLOWS)
_EVACUATED = effects.Drop(effects.DropReason.EVACUATED)
_WARM_UP = effects.Drop(effects.DropReason.WARM_UP)
_OUTDATED = effects.Drop(effects.DropReason.OUTDATED)
_DUPLICATE = effects.Drop(effects.DropReason.DUPLICATE)
_WAIT_FOR_CONFIGURATION = effects.Wait(effects.WaitReason.NO_CONFIGURATION)
_WAIT_FOR_UPSTREAM = effects.Wait(effects.WaitReason.NO_UPSTREAM)
_WAIT_FOR_PACE = effects.Wait(effects.WaitReason.WARM_UP)
_ZERO = datetime.timedelta(0)


class ForwarderCore:
    """Places new flows and forwards later packets by their routing token.

    Parameters
    ----------
    settings : CoreSettings
        Settings of the decisions.
    directory : Directory
        Routes and upstreams.
    random_source : random.Random
        Source of randomness for ties between upstreams.
    load_collector : LoadCollector or None
        Counts the load that passes this host, for its reports.
    load_picture : LoadPicture or None
        Load that all hosts share; None if they do not.

    Attributes
    ----------
    admission : AdmissionController or None
        Refuses less important flows in overload; None if all are admitted.
    """

    def __init__(
        self,
        settings: core_settings.CoreSettings,
        directory: directories.Directory,
        random_source: random.Random,
        load_collector: load_reports.LoadCollector | None = None,
        load_picture: load_reports.LoadPicture | None = None,
    ) -> None:
        self._settings = settings
        self._directory = directory
        self._pending = openings.PendingOpenings()
        self._held = held_packets.HeldPackets()
        self.load_tracker = openings.LoadTracker()
        self._demand_tracker = demand_tracker = openings.DemandTracker()
        self.failure_detector = openings.FailureDetector()
        self.load_collector = load_collector or load_reports.LoadCollector(
            '', settings.data_centre, 0
        )
        self._flow_tracker = openings.FlowTracker(
            self.load_tracker,
            demand_tracker,
            load_collector=self.load_collector,
        )
        self.admission: admissions.AdmissionController | None = None
        self._observations: list[effects.Observation] = []
        # Services without upstreams, and since when.
        self._empty_since_by_service: dict[str, datetime.timedelta] = {}
        # Services for which openings wait for the pace of warm-up, and when
        # the pace kept the last new one back.
        self._waited_at_by_service: dict[str, datetime.timedelta] = {}
        # Table whose services are the only ones in the state by service.
        self._pruned_table: directories.RouteTable | None = None
        self.pacer = pacing.WarmUpPacer(settings.pacing, settings.host_id)
        self.placer = openings.OpeningPlacer(
            settings.data_centre,
            self.load_tracker,
            demand_tracker,
            self.failure_detector,
            random_source,
            picture=load_picture,
            handle_change=self._record_capacity,
            handle_evidence=self._record_evidence,
        )

    def handle(
        self,
        data: bytes,
        packet: packets.Packet,
        now: datetime.timedelta,
        backlog: datetime.timedelta = _ZERO,
    ) -> effects.Decision:
        """Return the decision about a packet from a caller.

        Parameters
        ----------
        data : bytes
            Packet as received.
        packet : Packet
            Its header.
        now : datetime.timedelta
            Current time.
        backlog : datetime.timedelta
            Longest time for which the packet may have waited in the socket.
        """
        if packet.opens:
            return self._handle_opening(data, packet, now, backlog)
        if packet.from_upstream:
            return _NOT_FROM_CALLER
        return self._handle_established(data, packet, now)

    def next_retry_at(self) -> datetime.timedelta | None:
        """Return when `retry_openings` is next due; None if nothing waits."""
        settings = self._settings
        due = []
        if (opening := self._pending.oldest) is not None:
            due.append(opening.last_tried_at + settings.retry_timeout)
        if (held := self._held.oldest) is not None:
            due.append(held.received_at + settings.hold_limit)
        return min(due, default=None)

    def retry_openings(
        self, now: datetime.timedelta
    ) -> list[effects.Decision]:
        """Send unanswered opening packets to other upstreams.

        All packets that wait in the socket must have been handled before:
        the answer to an opening may be among them. Openings that wait for an
        upstream are placed if there is one now. Packets that were held for
        too long are dropped.
        """
        decisions: list[effects.Decision] = [
            _UNKNOWN_TOKEN
            for _ in self._held.take_older_than(
                now - self._settings.hold_limit
            )
        ]
        due = now - self._settings.retry_timeout
        for opening in self._pending.older_than(due):
            self._pending.pop(opening.key)
            if opening.retried or self._is_abandoned(opening, now):
                # If two upstreams in a row seem silent, the caller has
                # probably gone or its packets now reach another host.
                continue
            if opening.tried_ids:
                self._record_timeout(opening, now)
                opening.retried = True
            decision = self._place(opening, now)
            if isinstance(decision, effects.Placement | effects.Refusal):
                decisions.append(decision)
        return decisions

    def resume_waiting(
        self, now: datetime.timedelta
    ) -> list[effects.Decision]:
        """Handle what waits for lists or upstreams, after these changed."""
        if not self._directory.complete:
            return []
        decisions = [
            self._handle_established(held.data, held.packet, now)
            for held in self._held.take_all()
        ]
        for opening in self._pending.unplaced():
            if self._is_abandoned(opening, now):
                self._pending.pop(opening.key)
                continue
            decision = self._place(opening, now)
            if not isinstance(decision, effects.Wait):
                decisions.append(decision)
        return decisions

    def take_observations(self) -> list[effects.Observation]:
        """Return and clear the observations since the last call."""
        observations = self._observations
        if observations:
            self._observations = []
        return observations

    def discard_pending(self) -> None:
        """Discard what waits here, which is out of date after a pause."""
        self._pending.clear()
        self._held.take_all()

    def update_load(self, now: datetime.timedelta) -> None:
        """Take in the load that hosts share, if there is a new summary."""
        self._flow_tracker.abandon_silent(now)
        self.placer.update_load(self._directory.entries_by_id.values(), now)

    def expire(self, now: datetime.timedelta) -> None:
        """Remove idle flows and expired upstreams."""
        self._flow_tracker.expire(now, self._settings.idle_timeout)
        for upstream_id in self._directory.expire(now):
            self.load_tracker.forget(upstream_id)
            self.failure_detector.forget(upstream_id)
            self.placer.forget(upstream_id)
            self.pacer.forget(upstream_id)
        self._forget_services()

    def _forget_services(self) -> None:
        """Remove what is kept about services that no route names any more."""
        table = self._directory.table
        if table is self._pruned_table:
            return
        self._pruned_table = table
        services = {
            service
            for route in table.routes_by_address.values()
            for service in route.weights_by_service
        }
        for state_by_service in (
            self._empty_since_by_service,
            self._waited_at_by_service,
        ):
            for service in state_by_service.keys() - services:
                del state_by_service[service]
        self._demand_tracker.retain(services)
        self.load_collector.retain_services(services)

    def _handle_opening(
        self,
        data: bytes,
        packet: packets.Packet,
        now: datetime.timedelta,
        backlog: datetime.timedelta,
    ) -> effects.Decision:
        settings = self._settings
        opening = self._pending.get(packet.key)
        if opening is None:
            opening = openings.Opening(packet.key, data, now)
            # A retransmission may belong to a flow that is open by now.
            if not packet.acknowledged:
                opening.refusable_until = (
                    now - backlog + settings.refusal_limit
                )
        elif opening.tried_ids:
            silence = now - opening.last_tried_at
            if silence < settings.retry_timeout:
                # Both copies have waited in the socket.
                return _DUPLICATE
            if silence - backlog >= settings.retry_timeout:
                self._record_timeout(opening, now)
        opening.packet = data
        return self._place(opening, now)

    def _place(
        self,
        opening: openings.Opening,
        now: datetime.timedelta,
    ) -> effects.Decision:
        """Send an opening packet to an upstream, keep it, or refuse it."""
        if not self._directory.complete:
            return self._wait(opening, now, _WAIT_FOR_CONFIGURATION)
        route = self._directory.find_route(opening.address)
        if route is None:
            return self._refuse(
                opening,
                now,
                effects.RefusalReason.NO_ROUTE,
                _OUTDATED if opening.tried_ids else _NO_ROUTE,
            )
        if not opening.service:
            opening.service = _choose_service(route, opening.key)
        elif opening.service not in route.weights_by_service:
            self._pending.pop(opening.key)
            return _OUTDATED
        available = self._candidates(opening, now)
        if available and not self._admit(opening, route, now):
            return self._refuse_overload(opening, route, now)
        candidates = self._select_paced(opening, available, now)
        entry = self.placer.choose(
            candidates,
            route.kind,
            opening.tried_ids,
            now,
            self._directory.max_flows(opening.service),
        )
        if entry is None:
            self._observe_wait(opening, route, now)
            if candidates:
                return self._refuse(
                    opening, now, effects.RefusalReason.MAX_FLOWS, _MAX_FLOWS
                )
            if available:
                return self._handle_slow_service(opening, available, now)
            return self._handle_empty_service(opening, now)
        self._empty_since_by_service.pop(opening.service, None)
        self.pacer.record_opening(entry.upstream_id, now)
        if not opening.tried_ids:
            self.load_collector.add_demand(opening.service, route.priority)
        self.load_collector.add_opening(entry.upstream_id)
        opening.tried_ids.append(entry.upstream_id)
        opening.last_tried_at = now
        self._pending.put(opening)
        return effects.Placement(
            opening.key,
            self._forward_to(opening.address, entry, opening.packet),
            opening.service,
            len(opening.tried_ids),
            opening.retried,
            len(candidates),
            sum(
                self.failure_detector.is_suspected(item.upstream_id, now)
                for item in candidates
            ),
        )

    def _select_paced(
        self,
        opening: openings.Opening,
        entries: list[directories.UpstreamEntry],
        now: datetime.timedelta,
    ) -> list[directories.UpstreamEntry]:
        """Return the upstreams where the pace of warm-up allows a flow.

        There are none for an opening behind others that wait for the pace,
        unless all upstreams are warm by now.
        """
        limits = self._get_limits(opening.service)
        if limits is None or not limits.warm_up_rate:
            return entries
        if (
            now == opening.received_at
            and self._count_waiting(opening.service, now)
            and any(
                self.pacer.is_limited(entry.upstream_id, limits, now)
                for entry in entries
            )
        ):
            return []
        may_open = self.pacer.may_open
        return [
            entry
            for entry in entries
            if may_open(entry.upstream_id, limits, now)
        ]

    def _count_waiting(self, service: str, now: datetime.timedelta) -> int:
        """Return the number of openings that wait for the pace."""
        waited_at = self._waited_at_by_service.get(service)
        if waited_at is None:
            return 0
        if now - waited_at > self._settings.opening_lifetime:
            del self._waited_at_by_service[service]
            return 0
        return self._pending.count_unplaced(service)

    def _get_limits(self, service: str) -> directories.ServiceLimits | None:
        return self._directory.table.limits_by_service.get(service)

    def _handle_slow_service(
        self,
        opening: openings.Opening,
        entries: list[directories.UpstreamEntry],
        now: datetime.timedelta,
    ) -> effects.Decision:
        """Keep an opening until the pace allows it, if it ever will.

        Callers that cannot be served before they give up learn it at once,
        and may return through another host.
        """
        self._empty_since_by_service.pop(opening.service, None)
        if now > opening.received_at:
            # It has its place in the line, or an upstream has seen it.
            return self._wait(opening, now, _WAIT_FOR_PACE)
        ahead = self._count_waiting(opening.service, now)
        limits = self._get_limits(opening.service)
        until = now + self._settings.opening_lifetime
        room = sum(
            self.pacer.count_openings(entry.upstream_id, limits, now, until)
            for entry in entries
        )
        if ahead < room:
            # One that waits for its turn only does not prolong the line.
            may_open = self.pacer.may_open
            if not any(
                may_open(entry.upstream_id, limits, now) for entry in entries
            ):
                self._waited_at_by_service[opening.service] = now
            return self._wait(opening, now, _WAIT_FOR_PACE)
        return self._refuse(
            opening, now, effects.RefusalReason.WARM_UP, _WARM_UP
        )

    def _admit(
        self,
        opening: openings.Opening,
        route: directories.Route,
        now: datetime.timedelta,
    ) -> bool:
        """Return whether a flow may be opened, as far as load is concerned.

        Only a first copy that no upstream has seen can be refused.
        """
        admission = self.admission
        if (
            admission is None
            or opening.admitted
            or not _is_refusable(opening, now)
        ):
            return True
        admission.update_routes(self._directory.table)
        opening.admitted = admission.decide(
            opening.service, route.priority, opening.key[0], now
        )
        return opening.admitted

    def _refuse_overload(
        self,
        opening: openings.Opening,
        route: directories.Route,
        now: datetime.timedelta,
    ) -> effects.Refusal:
        self._pending.pop(opening.key)
        service, priority = opening.service, route.priority
        self.load_collector.add_demand(service, priority, refused=True)
        basis = self.admission.evidence_of(service)
        return effects.Refusal(
            opening.key,
            effects.RefusalReason.OVERLOAD,
            effects.Overload(
                service,
                priority,
                basis,
                now - basis.computed_at,
                self.admission.is_behind_lower(service, priority, now),
            ),
        )

    def _observe_wait(
        self,
        opening: openings.Opening,
        route: directories.Route,
        now: datetime.timedelta,
    ) -> None:
        """Record an important flow that waits behind less important ones."""
        if self.admission is not None and self.admission.is_behind_lower(
            opening.service, route.priority, now
        ):
            self._observations.append(
                effects.ImportantFlowWaits(
                    opening.key, opening.service, route.priority
                )
            )

    def _handle_empty_service(
        self,
        opening: openings.Opening,
        now: datetime.timedelta,
    ) -> effects.Decision:
        if self._directory.is_evacuated(opening.service, now):
            # The operator's order lasts; waiting would not help the caller.
            return self._refuse(
                opening, now, effects.RefusalReason.EVACUATED, _EVACUATED
            )
        # While upstreams are replaced, the next one may register at any
        # moment. A service that has been empty for as long as callers wait
        # for an opening most likely stays empty for longer.
        since = self._empty_since_by_service.setdefault(opening.service, now)
        if now - since < self._settings.opening_lifetime:
            return self._wait(opening, now, _WAIT_FOR_UPSTREAM)
        return self._refuse(
            opening, now, effects.RefusalReason.NO_UPSTREAM, _NO_UPSTREAM
        )

    def _refuse(
        self,
        opening: openings.Opening,
        now: datetime.timedelta,
        reason: effects.RefusalReason,
        otherwise: effects.Drop,
    ) -> effects.Decision:
        """Refuse a flow that no upstream can have seen; else drop a copy."""
        self._pending.pop(opening.key)
        if _is_refusable(opening, now):
            # It is no part of the demand in the reports: the admission would
            # take it for a sign of overload.
            return effects.Refusal(opening.key, reason)
        return otherwise

    def _wait(
        self,
        opening: openings.Opening,
        now: datetime.timedelta,
        decision: effects.Wait,
    ) -> effects.Wait:
        opening.last_tried_at = now
        self._pending.put(opening)
        return decision

    def _is_abandoned(
        self, opening: openings.Opening, now: datetime.timedelta
    ) -> bool:
        return now - opening.received_at >= self._settings.opening_lifetime

    def _candidates(
        self, opening: openings.Opening, now: datetime.timedelta
    ) -> list[directories.UpstreamEntry]:
        token_of = self._directory.token_of
        return [
            entry
            for entry in self._directory.candidates(opening.service, now)
            if token_of(opening.address, entry.upstream_id)
        ]

    def _forward_to(
        self,
        address: tokens.ServiceAddress,
        entry: directories.UpstreamEntry,
        data: bytes,
    ) -> effects.Forward:
        token = self._directory.token_of(address, entry.upstream_id)
        return effects.Forward(
            data,
            entry.upstream_id,
            entry.upstream.address.as_tuple(),
            entry.wire_id,
            token or tokens.NO_TOKEN,
        )

    def _handle_established(
        self, data: bytes, packet: packets.Packet, now: datetime.timedelta
    ) -> effects.Decision:
        key = packet.key
        # Without a route there is no look-up by token: it would keep an index
        # for any address that a caller names.
        routed = self._directory.find_route(key[2:]) is not None
        entry = None
        if routed:
            entry = self._directory.find_upstream(key[2:], packet.token)
        if entry is None:
            if self._directory.complete:
                return _UNKNOWN_TOKEN if routed else _NO_ROUTE
            self._held.put(data, packet, now)
            return _WAIT_FOR_CONFIGURATION
        upstream_id = entry.upstream_id
        opening = self._pending.pop(key)
        if opening is not None:
            self._record_answer(opening, upstream_id, now)
        if packet.ends:
            # A reset that answers a late packet acknowledges nothing; its
            # number is 0.
            self._flow_tracker.record_end(
                key, now, packet.acknowledged or None
            )
        else:
            self._flow_tracker.record_packet(
                key,
                upstream_id,
                packet.sequence,
                packet.acknowledged,
                packet.length,
                now,
                entry.service,
            )
        return effects.Forward(
            data,
            upstream_id,
            entry.upstream.address.as_tuple(),
            entry.wire_id,
            packet.token,
        )

    def _record_answer(
        self,
        opening: openings.Opening,
        upstream_id: model.UpstreamId,
        now: datetime.timedelta,
    ) -> None:
        self._observations.append(
            effects.HandshakeCompleted(upstream_id, now - opening.received_at)
        )
        if self.failure_detector.record_answer(upstream_id):
            self._observations.append(
                effects.SuspicionCleared(upstream_id, opening.key)
            )

    def _record_capacity(
        self,
        upstream_id: model.UpstreamId,
        before: capacity.Capacity,
        after: capacity.Capacity,
    ) -> None:
        self._observations.append(
            effects.CapacityChanged(
                upstream_id, before.rate, after.rate, after.limit
            )
        )

    def _record_evidence(self, change: evidence.Change) -> None:
        self._observations.append(effects.EvidenceChanged(change))

    def _record_timeout(
        self, opening: openings.Opening, now: datetime.timedelta
    ) -> None:
        silence = now - opening.last_tried_at
        if silence >= self._settings.opening_lifetime:
            return
        upstream_id = opening.tried_ids[-1]
        self.load_collector.add_unanswered(upstream_id)
        if self.failure_detector.record_timeout(upstream_id, now):
            self._observations.append(
                effects.UpstreamSuspected(upstream_id, opening.key, silence)
            )


def _is_refusable(opening: openings.Opening, now: datetime.timedelta) -> bool:
    """Return whether no upstream can have seen the flow."""
    return now < opening.refusable_until and not opening.tried_ids


def _choose_service(
    route: directories.Route, key: openings.pending.FlowKey
) -> str:
    weights = route.weights_by_service
    if len(weights) == 1:
        return next(iter(weights))
    chosen = hashing.choose_weighted(hashing.hash64(repr(key)), weights)
    return chosen or next(iter(weights))
