"""Forwarding decisions, free of input and output."""

import datetime
import random

import msgspec

from acaciamoor import directory as directories
from acaciamoor import hashing
from acaciamoor import model
from acaciamoor import openings
from acaciamoor import tokens
from acaciamoor.forwarder import effects
from acaciamoor.forwarder import packet as packets

_NO_ROUTE = effects.Drop(effects.DropReason.NO_ROUTE)
_NO_CONFIGURATION = effects.Drop(effects.DropReason.NO_CONFIGURATION)
_NOT_FROM_CALLER = effects.Drop(effects.DropReason.NOT_FROM_CALLER)
_UNKNOWN_TOKEN = effects.Drop(effects.DropReason.UNKNOWN_TOKEN)
_NO_UPSTREAM = effects.Drop(effects.DropReason.NO_UPSTREAM)
_OUTDATED = effects.Drop(effects.DropReason.OUTDATED)


class CoreSettings(msgspec.Struct, frozen=True):
    """Settings of the forwarding decisions.

    Parameters
    ----------
    data_centre : DataCentre
        Data centre of this host.
    retry_timeout : datetime.timedelta
        Time without an answer after which the host sends an opening packet to
        another upstream. A handshake takes 3 to 8 ms between data centres.
        Callers retransmit after 200 ms, by which time most responses are
        overdue.
    opening_lifetime : datetime.timedelta
        Time after which callers of the platform abandon an unanswered
        opening.
    pause_threshold : datetime.timedelta
        Gap between two events above which the process is taken to have been
        paused. Opening packets in the socket buffer are then out of date.
    idle_timeout : datetime.timedelta
        Time after which a flow without packets is no longer tracked.
    """

    data_centre: model.DataCentre
    retry_timeout: datetime.timedelta = datetime.timedelta(milliseconds=40)
    opening_lifetime: datetime.timedelta = datetime.timedelta(
        milliseconds=1400
    )
    pause_threshold: datetime.timedelta = datetime.timedelta(milliseconds=1500)
    idle_timeout: datetime.timedelta = datetime.timedelta(seconds=15)


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
    """

    def __init__(
        self,
        settings: CoreSettings,
        directory: directories.Directory,
        random_source: random.Random,
    ) -> None:
        self._settings = settings
        self._directory = directory
        self._pending = openings.PendingOpenings()
        self.load_tracker = openings.LoadTracker()
        self.failure_detector = openings.FailureDetector()
        self._flow_tracker = openings.FlowTracker(self.load_tracker)
        self._observations: list[effects.Observation] = []
        self.placer = openings.OpeningPlacer(
            settings.data_centre,
            self.load_tracker,
            self.failure_detector,
            random_source,
        )

    def handle(
        self, data: bytes, packet: packets.Packet, now: datetime.timedelta
    ) -> effects.Decision:
        """Return the decision about a packet from a caller."""
        if packet.opens:
            return self._handle_opening(data, packet, now)
        if packet.from_upstream:
            return _NOT_FROM_CALLER
        return self._handle_established(data, packet, now)

    def next_retry_at(self) -> datetime.timedelta | None:
        """Return when `retry_openings` is next due; None if nothing waits."""
        oldest = self._pending.oldest
        if oldest is None:
            return None
        return oldest.last_sent_at + self._settings.retry_timeout

    def retry_openings(
        self, now: datetime.timedelta
    ) -> list[effects.Decision]:
        """Send unanswered opening packets to other upstreams."""
        decisions: list[effects.Decision] = []
        due = now - self._settings.retry_timeout
        for opening in self._pending.older_than(due):
            self._pending.pop(opening.key)
            if opening.retried:
                # If two upstreams in a row seem silent, the caller has
                # probably gone or its packets now reach another host.
                continue
            self._record_timeout(opening, now)
            opening.retried = True
            decision = self._place(opening, opening.packet, now)
            if isinstance(decision, effects.Placement):
                self._pending.put(opening)
                decisions.append(decision)
        return decisions

    def take_observations(self) -> list[effects.Observation]:
        """Return and clear the observations since the last call."""
        observations = self._observations
        if observations:
            self._observations = []
        return observations

    def discard_pending(self) -> None:
        """Discard pending openings, which are out of date after a pause."""
        self._pending.clear()

    def expire(self, now: datetime.timedelta) -> None:
        """Remove idle flows and expired upstreams."""
        self._flow_tracker.expire(now, self._settings.idle_timeout)
        self._directory.expire(now)

    def _handle_opening(
        self, data: bytes, packet: packets.Packet, now: datetime.timedelta
    ) -> effects.Decision:
        if not self._directory.complete:
            return _NO_CONFIGURATION
        opening = self._pending.pop(packet.key)
        if opening is None:
            route = self._directory.find_route(packet.key[2:])
            if route is None:
                return self._refuse_unknown_route(packet)
            service = _choose_service(route, packet.key)
            opening = openings.Opening(packet.key, data, now, service, [])
        else:
            self._record_timeout(opening, now)
        decision = self._place(opening, data, now)
        if isinstance(decision, effects.Placement):
            self._pending.put(opening)
        return decision

    def _refuse_unknown_route(
        self, packet: packets.Packet
    ) -> effects.Decision:
        # A retransmission may belong to a flow that is open by now.
        if packet.acknowledged:
            return _NO_ROUTE
        return effects.Refusal(packet.key, effects.RefusalReason.NO_ROUTE)

    def _place(
        self,
        opening: openings.Opening,
        data: bytes,
        now: datetime.timedelta,
    ) -> effects.Decision:
        route = self._directory.find_route(opening.address)
        if route is None or opening.service not in route.weights_by_service:
            return _OUTDATED
        candidates = self._candidates(opening, now)
        entry = self.placer.choose(
            candidates, route.kind, opening.tried_ids, now
        )
        if entry is None:
            return _NO_UPSTREAM
        opening.tried_ids.append(entry.upstream_id)
        opening.last_sent_at = now
        return effects.Placement(
            opening.key,
            self._forward_to(opening.address, entry, data),
            opening.service,
            len(opening.tried_ids),
            opening.retried,
            len(candidates),
            sum(
                self.failure_detector.is_suspected(item.upstream_id, now)
                for item in candidates
            ),
        )

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
        entry = self._directory.find_upstream(key[2:], packet.token)
        if entry is None:
            return _UNKNOWN_TOKEN
        if self._directory.find_route(key[2:]) is None:
            return _NO_ROUTE
        upstream_id = entry.upstream_id
        opening = self._pending.pop(key)
        if opening is not None:
            self._record_answer(opening, upstream_id, now)
        if packet.ends:
            self._flow_tracker.record_end(key, now)
        else:
            self._flow_tracker.record_packet(
                key,
                upstream_id,
                packet.sequence,
                packet.acknowledged,
                packet.length,
                now,
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
            effects.HandshakeCompleted(
                upstream_id, now - opening.first_sent_at
            )
        )
        if self.failure_detector.record_answer(upstream_id):
            self._observations.append(
                effects.SuspicionCleared(upstream_id, opening.key)
            )

    def _record_timeout(
        self, opening: openings.Opening, now: datetime.timedelta
    ) -> None:
        silence = now - opening.last_sent_at
        if silence >= self._settings.opening_lifetime:
            return
        upstream_id = opening.tried_ids[-1]
        if self.failure_detector.record_timeout(upstream_id, now):
            self._observations.append(
                effects.UpstreamSuspected(upstream_id, opening.key, silence)
            )


def _choose_service(
    route: directories.Route, key: openings.pending.FlowKey
) -> str:
    weights = route.weights_by_service
    if len(weights) == 1:
        return next(iter(weights))
    chosen = hashing.choose_weighted(hashing.hash64(repr(key)), weights)
    return chosen or next(iter(weights))
