"""Decisions about packets, without input and output."""

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

_NO_ROUTE = effects.Dropped(effects.DropReason.NO_ROUTE)
_NO_CONFIGURATION = effects.Dropped(effects.DropReason.NO_CONFIGURATION)
_NOT_FROM_CALLER = effects.Dropped(effects.DropReason.NOT_FROM_CALLER)
_UNKNOWN_TOKEN = effects.Dropped(effects.DropReason.UNKNOWN_TOKEN)
_NO_UPSTREAM = effects.Dropped(effects.DropReason.NO_UPSTREAM)
_OUTDATED = effects.Dropped(effects.DropReason.OUTDATED)


class CoreSettings(msgspec.Struct, frozen=True):
    """Limits of one host.

    Parameters
    ----------
    data_centre : DataCentre
        Data centre of this host.
    repeat_after : datetime.timedelta
        Time without an answer after which an opening packet is sent to
        another upstream. A handshake takes 3 to 8 ms between data centres;
        callers repeat on their own after 200 ms, later than most responses
        are due.
    opening_lifetime : datetime.timedelta
        Time after which callers give an opening up, on the users' platform.
    pause : datetime.timedelta
        Gap between two packets or timers that shows that the process was
        stopped. What waited in the socket meanwhile is out of date.
    idle : datetime.timedelta
        Time after which a flow without packets is forgotten.
    """

    data_centre: model.DataCentre
    repeat_after: datetime.timedelta = datetime.timedelta(milliseconds=40)
    opening_lifetime: datetime.timedelta = datetime.timedelta(
        milliseconds=1400
    )
    pause: datetime.timedelta = datetime.timedelta(milliseconds=1500)
    idle: datetime.timedelta = datetime.timedelta(seconds=15)


class ForwarderCore:
    """Sends opening packets to chosen upstreams and all others after them.

    Parameters
    ----------
    settings : CoreSettings
        Limits of this host.
    directory : Directory
        Routes and upstreams.
    random_source : random.Random
        Breaks ties between upstreams.
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
        self.book = openings.LoadBook()
        self.evidence = openings.Evidence()
        self._activity = openings.FlowActivity(self.book)
        self._notices: list[effects.Notice] = []
        self.placer = openings.OpeningPlacer(
            settings.data_centre, self.book, self.evidence, random_source
        )

    def handle(
        self, data: bytes, packet: packets.Packet, now: datetime.timedelta
    ) -> effects.Decision:
        """Decide about a packet of a caller."""
        if packet.opens:
            return self._open(data, packet, now)
        if packet.from_upstream:
            return _NOT_FROM_CALLER
        return self._follow(data, packet, now)

    def due_at(self) -> datetime.timedelta | None:
        """Return when `repeat` has something to do next."""
        oldest = self._pending.oldest
        if oldest is None:
            return None
        return oldest.at + self._settings.repeat_after

    def repeat(self, now: datetime.timedelta) -> list[effects.Decision]:
        """Send openings that got no answer to other upstreams."""
        decisions: list[effects.Decision] = []
        due = now - self._settings.repeat_after
        for opening in self._pending.older_than(due):
            self._pending.pop(opening.key)
            if opening.repeated:
                # Two silent upstreams in a row rather show that the caller is
                # gone or that its packets pass another host now.
                continue
            self._note_silence(opening, now)
            opening.repeated = True
            decision = self._send(opening, opening.packet, now)
            if isinstance(decision, effects.Placed):
                self._pending.put(opening)
                decisions.append(decision)
        return decisions

    def notices(self) -> list[effects.Notice]:
        """Return what the host has learned since the last call."""
        notices = self._notices
        if notices:
            self._notices = []
        return notices

    def resume(self) -> None:
        """Forget openings after a pause: their callers went on alone."""
        self._pending.clear()

    def expire(self, now: datetime.timedelta) -> None:
        """Forget flows and upstreams that have ended."""
        self._activity.expire(now, self._settings.idle)
        self._directory.expire(now)

    def _open(
        self, data: bytes, packet: packets.Packet, now: datetime.timedelta
    ) -> effects.Decision:
        if not self._directory.complete:
            return _NO_CONFIGURATION
        opening = self._pending.pop(packet.key)
        if opening is None:
            route = self._directory.route(packet.key[2:])
            if route is None:
                return self._refuse_unknown_route(packet)
            service = _choose_service(route, packet.key)
            opening = openings.Opening(packet.key, data, now, service, [])
        else:
            self._note_silence(opening, now)
        decision = self._send(opening, data, now)
        if isinstance(decision, effects.Placed):
            self._pending.put(opening)
        return decision

    def _refuse_unknown_route(
        self, packet: packets.Packet
    ) -> effects.Decision:
        # A copy may belong to a flow that was opened meanwhile.
        if packet.acknowledged:
            return _NO_ROUTE
        return effects.Refusal(packet.key, effects.RefusalReason.NO_ROUTE)

    def _send(
        self,
        opening: openings.Opening,
        data: bytes,
        now: datetime.timedelta,
    ) -> effects.Decision:
        route = self._directory.route(opening.address)
        if route is None or opening.service not in route.weights_by_service:
            return _OUTDATED
        candidates = self._candidates(opening, now)
        listed = self.placer.choose(
            candidates, route.kind, opening.tried_ids, now
        )
        if listed is None:
            return _NO_UPSTREAM
        opening.tried_ids.append(listed.upstream_id)
        opening.at = now
        return effects.Placed(
            opening.key,
            self._forward(opening.address, listed, data),
            opening.service,
            len(opening.tried_ids),
            opening.repeated,
            len(candidates),
            sum(
                self.evidence.suspects(item.upstream_id, now)
                for item in candidates
            ),
        )

    def _candidates(
        self, opening: openings.Opening, now: datetime.timedelta
    ) -> list[directories.ListedUpstream]:
        token_of = self._directory.token_of
        return [
            listed
            for listed in self._directory.candidates(opening.service, now)
            if token_of(opening.address, listed.upstream_id)
        ]

    def _forward(
        self,
        address: tokens.ServiceAddress,
        listed: directories.ListedUpstream,
        data: bytes,
    ) -> effects.Forward:
        token = self._directory.token_of(address, listed.upstream_id)
        return effects.Forward(
            data,
            listed.upstream_id,
            listed.upstream.address.as_tuple(),
            listed.number,
            token or tokens.NO_TOKEN,
        )

    def _follow(
        self, data: bytes, packet: packets.Packet, now: datetime.timedelta
    ) -> effects.Decision:
        key = packet.key
        listed = self._directory.find(key[2:], packet.token)
        if listed is None:
            return _UNKNOWN_TOKEN
        if self._directory.route(key[2:]) is None:
            return _NO_ROUTE
        upstream_id = listed.upstream_id
        opening = self._pending.pop(key)
        if opening is not None:
            self._note_answer(opening, upstream_id, now)
        if packet.ends:
            self._activity.note_end(key, now)
        else:
            self._activity.note_packet(
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
            listed.upstream.address.as_tuple(),
            listed.number,
            packet.token,
        )

    def _note_answer(
        self,
        opening: openings.Opening,
        upstream_id: model.UpstreamId,
        now: datetime.timedelta,
    ) -> None:
        self._notices.append(
            effects.Opened(upstream_id, now - opening.first_at)
        )
        if self.evidence.note_answer(upstream_id):
            self._notices.append(effects.Cleared(upstream_id, opening.key))

    def _note_silence(
        self, opening: openings.Opening, now: datetime.timedelta
    ) -> None:
        silence = now - opening.at
        if silence >= self._settings.opening_lifetime:
            return
        upstream_id = opening.tried_ids[-1]
        if self.evidence.note_silence(upstream_id, now):
            self._notices.append(
                effects.Suspected(upstream_id, opening.key, silence)
            )


def _choose_service(
    route: directories.Route, key: openings.pending.FlowKey
) -> str:
    weights = route.weights_by_service
    if len(weights) == 1:
        return next(iter(weights))
    chosen = hashing.choose_weighted(hashing.hash64(repr(key)), weights)
    return chosen or next(iter(weights))
