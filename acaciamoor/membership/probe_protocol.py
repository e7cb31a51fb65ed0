"""Exchange of probes and answers with other hosts."""

import collections.abc
import datetime
import functools
import random

from acaciamoor import clock as clocks
from acaciamoor import configuration
from acaciamoor.membership import local_configuration
from acaciamoor.membership import local_member as local_members
from acaciamoor.membership import member_list
from acaciamoor.membership import messages
from acaciamoor.membership import probes
from acaciamoor.membership import round_trip_table
from acaciamoor.model import identifiers

# Every sixteenth probe requests a page of the full member list, which repairs
# updates that gossip did not deliver.
_PROBES_PER_PAGE = 16
# Hosts with a round trip within this time should be in the member list.
_RECENT_ROUND_TRIP = datetime.timedelta(seconds=1)
# Number of hosts that receive an announcement at once; gossip spreads it.
_ANNOUNCEMENT_RECEIVERS = 3


class ProbeProtocol:
    """Sends probes, answers them and applies the state that they carry.

    Parameters
    ----------
    local_member : LocalMember
        State of this host.
    members : MemberList
        State of the other hosts.
    round_trips : RoundTripTable
        Latest round trips of all hosts.
    clock : Clock
        Monotonic time.
    rng : random.Random
        Source of random choices.
    store : LocalConfiguration
        Configuration of this host.
    """

    def __init__(
        self,
        local_member: local_members.LocalMember,
        members: member_list.MemberList,
        round_trips: round_trip_table.RoundTripTable,
        clock: clocks.Clock,
        rng: random.Random,
        store: local_configuration.LocalConfiguration,
    ) -> None:
        self._local_member = local_member
        self._members = members
        self._round_trips = round_trips
        self._clock = clock
        self._rng = rng
        self._store = store
        self._pending = probes.PendingProbes(rng)
        self._targets = probes.TargetSelector(rng)
        self._next_probe_at = clock.monotonic()
        # Last host of the previous page of the full member list.
        self._next_page_after = identifiers.HostId('')
        self._probes_sent = rng.randrange(_PROBES_PER_PAGE)

    def on_message(
        self, sender: identifiers.HostId, message: object
    ) -> list[configuration.Send]:
        """Handle a message of this protocol; ignore other messages."""
        return _handle(message, self, sender)

    def on_probe(
        self, sender: identifiers.HostId, probe: messages.Probe
    ) -> list[configuration.Send]:
        """Apply the state that a probe carries and answer it."""
        if self._local_member.has_exited:
            return []
        self._apply_updates((probe.member, *probe.updates))
        sends = []
        if probe.digest:
            sends = self._store.on_digest(sender, probe.digest, None)
        return [
            configuration.Send(sender, self._make_ack(sender, probe)),
            *sends,
        ]

    def on_ack(
        self, sender: identifiers.HostId, ack: messages.ProbeAck
    ) -> list[configuration.Send]:
        """Apply the answer of a probed host, or one forwarded by a helper."""
        refuted = self._apply_updates((ack.member, *ack.updates))
        self._apply_page(ack)
        probe = self._pending.take(ack.sequence, ack.member.host_id)
        if probe is None or refuted:
            return []
        self._round_trips.record(probe.target, probe.sent_at)
        self._round_trips.record(self._local_member.host_id, probe.sent_at)
        if probe.forward_to:
            return [self._forward_ack(probe.forward_to, ack)]
        if ack.digest is None:
            return []
        sends = self._store.on_digest(sender, ack.digest, probe.sent_at)
        if ack.round_trip_ages:
            self._round_trips.merge(
                ack.round_trip_ages,
                probe.sent_at,
                ack.digest.target,
                self._store.digest().target,
            )
        return sends

    def on_indirect_probe(
        self, sender: identifiers.HostId, request: messages.IndirectProbe
    ) -> list[configuration.Send]:
        """Probe the target on behalf of `sender`."""
        self._apply_updates((request.member, *request.updates))
        if self._local_member.has_exited or not self._pending.can_forward():
            return []
        forward_to = probes.AckRecipient(sender, request.sequence)
        return [self._make_probe(request.target, forward_to)]

    def probe_if_due(
        self,
        listed: collections.abc.Set[identifiers.HostId],
        suspects: collections.abc.Iterable[identifiers.HostId],
    ) -> list[configuration.Send]:
        """Probe the next target and all of `suspects`, once per period."""
        now = self._clock.monotonic()
        if now < self._next_probe_at:
            return []
        self._next_probe_at = max(
            self._next_probe_at + probes.probe_period(len(listed)), now
        )
        live = self._members.live_ids
        targets = dict.fromkeys(
            self._targets.next_targets(
                live, listed - live - {self._local_member.host_id}
            )
        )
        targets.update(dict.fromkeys(suspects))
        return [self._make_probe(item) for item in targets]

    def ask_helpers(self) -> list[configuration.Send]:
        """Ask helpers to probe the members whose direct answer is overdue."""
        live = self._members.live_ids
        return [
            configuration.Send(
                helper,
                messages.IndirectProbe(
                    probe.sequence,
                    self._local_member.update,
                    probe.target,
                    self._members.select_updates(),
                ),
            )
            for probe in self._pending.mark_overdue(self._clock.monotonic())
            if probe.target in live
            for helper in self._targets.select_helpers(live, probe.target)
        ]

    def take_failed_targets(self) -> list[identifiers.HostId]:
        """Return the targets of probes that failed directly and indirectly."""
        return [
            probe.target
            for probe in self._pending.take_unanswered(self._clock.monotonic())
            if probe.forward_to is None
        ]

    def announce(self) -> list[configuration.Send]:
        """Probe a few random hosts at once to spread the newest updates."""
        live = sorted(self._members.live_ids)
        chosen = self._rng.sample(
            live, min(_ANNOUNCEMENT_RECEIVERS, len(live))
        )
        return [self._make_probe(host_id) for host_id in chosen]

    def forget_round_trips(self) -> None:
        """Discard round trips, so that only later probes count.

        Hosts that answer later probes have received the newest incarnation of
        this host, which refutes suspicions and death reports about it.
        """
        self._round_trips.clear(self._clock.monotonic())
        self._pending.clear()

    def _apply_updates(
        self,
        updates: tuple[messages.MemberUpdate, ...],
        disseminate: bool = True,
    ) -> bool:
        now = self._clock.monotonic()
        refuted = False
        for update in updates:
            if update.host_id != self._local_member.host_id:
                self._members.apply(update, now, disseminate=disseminate)
            elif self._local_member.on_update(update, now):
                refuted = True
        if refuted:
            self.forget_round_trips()
        return refuted

    def _make_ack(
        self, sender: identifiers.HostId, probe: messages.Probe
    ) -> messages.ProbeAck:
        digest = self._store.digest()
        if digest.target_in_force:
            self._round_trips.mark_target_in_force(
                self._local_member.host_id, digest.target
            )
        if probe.page_after is None:
            page, page_end = (), None
            updates = self._updates_for(sender)
        else:
            # The page replaces other updates, so that the size is bounded.
            page, page_end = self._members.page(probe.page_after)
            updates = self._members.update_to_refute(sender)
        return messages.ProbeAck(
            sequence=probe.sequence,
            member=self._local_member.update,
            updates=updates,
            digest=digest,
            round_trip_ages=self._round_trips.encode(
                probe.host_list_hash, self._clock.monotonic(), digest.target
            ),
            page=page,
            page_end=page_end,
        )

    def _make_probe(
        self,
        target: identifiers.HostId,
        forward_to: probes.AckRecipient | None = None,
    ) -> configuration.Send:
        probe = self._pending.add(target, self._clock.monotonic(), forward_to)
        self._probes_sent += 1
        message = messages.Probe(
            sequence=probe.sequence,
            member=self._local_member.update,
            updates=self._updates_for(target),
            digest=self._store.digest(),
            host_list_hash=self._round_trips.host_list_hash,
            page_after=self._page_start(),
        )
        return configuration.Send(target, message)

    def _page_start(self) -> identifiers.HostId | None:
        if self._probes_sent % _PROBES_PER_PAGE == 0:
            return self._next_page_after
        # A joining host knows from the ages in the first answer which members
        # it is missing.
        recent = self._clock.monotonic() - _RECENT_ROUND_TRIP
        known = self._members.members_by_id.keys()
        missing = self._round_trips.seen_since(recent) - known
        missing.discard(self._local_member.host_id)
        if not missing:
            return None
        return self._round_trips.predecessor(self._rng.choice(sorted(missing)))

    def _updates_for(
        self, receiver: identifiers.HostId
    ) -> tuple[messages.MemberUpdate, ...]:
        return (
            *self._members.update_to_refute(receiver),
            *self._members.select_updates(),
        )

    def _forward_ack(
        self, forward_to: probes.AckRecipient, ack: messages.ProbeAck
    ) -> configuration.Send:
        answer = messages.ProbeAck(
            forward_to.sequence, ack.member, self._members.select_updates()
        )
        return configuration.Send(forward_to.host_id, answer)

    def _apply_page(self, ack: messages.ProbeAck) -> None:
        if ack.page_end is None:
            return
        change_count = self._members.change_count
        self._apply_updates(ack.page, disseminate=False)
        self._next_page_after = ack.page_end
        if self._members.change_count != change_count:
            # A new host requests the next page in the next tick, as it is not
            # fresh before it knows all members.
            self._next_probe_at = self._clock.monotonic()


@functools.singledispatch
def _handle(
    message: object, protocol: ProbeProtocol, sender: identifiers.HostId
) -> list[configuration.Send]:
    return []


@_handle.register
def _(
    message: messages.Probe,
    protocol: ProbeProtocol,
    sender: identifiers.HostId,
) -> list[configuration.Send]:
    return protocol.on_probe(sender, message)


@_handle.register
def _(
    message: messages.ProbeAck,
    protocol: ProbeProtocol,
    sender: identifiers.HostId,
) -> list[configuration.Send]:
    return protocol.on_ack(sender, message)


@_handle.register
def _(
    message: messages.IndirectProbe,
    protocol: ProbeProtocol,
    sender: identifiers.HostId,
) -> list[configuration.Send]:
    return protocol.on_indirect_probe(sender, message)
