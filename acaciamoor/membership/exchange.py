"""Probes and their answers."""

import collections.abc
import datetime
import functools
import random

from acaciamoor import clock as clocks
from acaciamoor import configuration
from acaciamoor.membership import evidence as evidences
from acaciamoor.membership import identity as identities
from acaciamoor.membership import members as others
from acaciamoor.membership import messages
from acaciamoor.membership import peer as peers
from acaciamoor.membership import prober
from acaciamoor.model import identifiers

# A page of the full state travels with every sixteenth probe, to repair what
# gossip missed.
_PAGE_EVERY = 16
# Hosts that answered anyone within this time must be known.
_ANSWERED_LATELY = datetime.timedelta(seconds=1)
# Receivers of a parting message; gossip passes it on.
_FAREWELLS = 3


class Exchange:
    """Sends probes, answers them and takes over what they carry.

    Parameters
    ----------
    identity : Identity
        This host.
    members : Members
        The other hosts.
    evidence : EvidenceTable
        Round trips.
    clock : Clock
        Monotonic time.
    rng : random.Random
        Source of random choices.
    peer : ConfigurationPeer
        The host's configuration.
    """

    def __init__(
        self,
        identity: identities.Identity,
        members: others.Members,
        evidence: evidences.EvidenceTable,
        clock: clocks.Clock,
        rng: random.Random,
        peer: peers.ConfigurationPeer,
    ) -> None:
        self._identity = identity
        self._members = members
        self._evidence = evidence
        self._clock = clock
        self._rng = rng
        self._peer = peer
        self._pending = prober.PendingProbes(rng)
        self._order = prober.TargetOrder(rng)
        self._next_probe_at = clock.monotonic()
        # Where the next page of the full state starts.
        self._state_after = identifiers.HostId('')
        self._probes_sent = rng.randrange(_PAGE_EVERY)

    def on_message(
        self, sender: identifiers.HostId, message: object
    ) -> list[configuration.Send]:
        """Handle a probe or an answer; other messages have no effect."""
        return _handle(message, self, sender)

    def on_probe(
        self, sender: identifiers.HostId, probe: messages.Probe
    ) -> list[configuration.Send]:
        """Answer a probe."""
        if self._identity.is_gone:
            return []
        self._learn((probe.member, *probe.updates))
        sends = []
        if probe.digest:
            sends = self._peer.on_digest(sender, probe.digest, None)
        return [configuration.Send(sender, self._ack(sender, probe)), *sends]

    def on_ack(
        self, sender: identifiers.HostId, ack: messages.ProbeAck
    ) -> list[configuration.Send]:
        """Take over what a probed host or a helper answered."""
        doubted = self._learn((ack.member, *ack.updates))
        self._read_page(ack)
        probe = self._pending.take(ack.sequence, ack.member.host_id)
        if probe is None or doubted:
            return []
        self._evidence.note(probe.target, probe.sent_at)
        self._evidence.note(self._identity.host_id, probe.sent_at)
        if probe.forwarding:
            return [self._forwarded(probe.forwarding, ack)]
        if ack.digest is None:
            return []
        sends = self._peer.on_digest(sender, ack.digest, probe.sent_at)
        if ack.evidence:
            self._evidence.merge(
                ack.evidence,
                probe.sent_at,
                ack.digest.target,
                self._peer.digest().target,
            )
        return sends

    def on_indirect_probe(
        self, sender: identifiers.HostId, request: messages.IndirectProbe
    ) -> list[configuration.Send]:
        """Probe the target for another host."""
        self._learn((request.member, *request.updates))
        if self._identity.is_gone or not self._pending.may_forward():
            return []
        forwarding = prober.Forwarding(sender, request.sequence)
        return [self._probe(request.target, forwarding)]

    def probe_if_due(
        self,
        listed: collections.abc.Set[identifiers.HostId],
        reprobed: collections.abc.Iterable[identifiers.HostId],
    ) -> list[configuration.Send]:
        """Probe the next host once a period, and all of `reprobed`."""
        now = self._clock.monotonic()
        if now < self._next_probe_at:
            return []
        self._next_probe_at = max(
            self._next_probe_at + prober.probe_period(len(listed)), now
        )
        live = self._members.live_ids
        targets = dict.fromkeys(
            self._order.next(live, listed - live - {self._identity.host_id})
        )
        targets.update(dict.fromkeys(reprobed))
        return [self._probe(item) for item in targets]

    def ask_helpers(self) -> list[configuration.Send]:
        """Ask helpers to probe the members that did not answer in time."""
        live = self._members.live_ids
        return [
            configuration.Send(
                helper,
                messages.IndirectProbe(
                    probe.sequence,
                    self._identity.update,
                    probe.target,
                    self._members.news(),
                ),
            )
            for probe in self._pending.mark_late(self._clock.monotonic())
            if probe.target in live
            for helper in self._order.helpers(live, probe.target)
        ]

    def take_failed(self) -> list[identifiers.HostId]:
        """Return the targets of probes that nobody answered."""
        return [
            probe.target
            for probe in self._pending.take_unanswered(self._clock.monotonic())
            if probe.forwarding is None
        ]

    def announce(self) -> list[configuration.Send]:
        """Tell a few hosts at once what this host says about itself."""
        live = sorted(self._members.live_ids)
        chosen = self._rng.sample(live, min(_FAREWELLS, len(live)))
        return [self._probe(host_id) for host_id in chosen]

    def forget_round_trips(self) -> None:
        """Count only answers to probes that are sent from now on.

        Those are made by hosts that heard this host's newest incarnation and
        do not hold an earlier judgement against it.
        """
        self._evidence.clear(self._clock.monotonic())
        self._pending.clear()

    def _learn(
        self,
        updates: tuple[messages.MemberUpdate, ...],
        is_news: bool = True,
    ) -> bool:
        now = self._clock.monotonic()
        doubted = False
        for update in updates:
            if update.host_id != self._identity.host_id:
                self._members.apply(update, now, is_news=is_news)
            elif self._identity.on_opinion(update, now):
                doubted = True
        if doubted:
            self.forget_round_trips()
        return doubted

    def _ack(
        self, sender: identifiers.HostId, probe: messages.Probe
    ) -> messages.ProbeAck:
        digest = self._peer.digest()
        if digest.target_in_force:
            self._evidence.confirm(self._identity.host_id, digest.target)
        if probe.state_after is None:
            page, page_end = (), None
            updates = self._updates_for(sender)
        else:
            # A page takes the place of the news, so that the size is bounded.
            page, page_end = self._members.page(probe.state_after)
            updates = self._members.opinion_of(sender)
        return messages.ProbeAck(
            sequence=probe.sequence,
            member=self._identity.update,
            updates=updates,
            digest=digest,
            evidence=self._evidence.encode(
                probe.listing, self._clock.monotonic(), digest.target
            ),
            page=page,
            page_end=page_end,
        )

    def _probe(
        self,
        target: identifiers.HostId,
        forwarding: prober.Forwarding | None = None,
    ) -> configuration.Send:
        probe = self._pending.add(target, self._clock.monotonic(), forwarding)
        self._probes_sent += 1
        message = messages.Probe(
            sequence=probe.sequence,
            member=self._identity.update,
            updates=self._updates_for(target),
            digest=self._peer.digest(),
            listing=self._evidence.listing,
            state_after=self._page_start(),
        )
        return configuration.Send(target, message)

    def _page_start(self) -> identifiers.HostId | None:
        if self._probes_sent % _PAGE_EVERY == 0:
            return self._state_after
        # A host that joins learns from the first answer who is missing.
        recent = self._clock.monotonic() - _ANSWERED_LATELY
        known = self._members.members_by_id.keys()
        missing = self._evidence.answering_since(recent) - known
        missing.discard(self._identity.host_id)
        if not missing:
            return None
        return self._evidence.predecessor(self._rng.choice(sorted(missing)))

    def _updates_for(
        self, receiver: identifiers.HostId
    ) -> tuple[messages.MemberUpdate, ...]:
        return (*self._members.opinion_of(receiver), *self._members.news())

    def _forwarded(
        self, forwarding: prober.Forwarding, ack: messages.ProbeAck
    ) -> configuration.Send:
        answer = messages.ProbeAck(
            forwarding.sequence, ack.member, self._members.news()
        )
        return configuration.Send(forwarding.host_id, answer)

    def _read_page(self, ack: messages.ProbeAck) -> None:
        if ack.page_end is None:
            return
        changes = self._members.changes
        self._learn(ack.page, is_news=False)
        self._state_after = ack.page_end
        if 2 * (self._members.changes - changes) >= others.PAGE_SIZE:
            # A new host reads page after page, one in each tick.
            self._next_probe_at = self._clock.monotonic()


@functools.singledispatch
def _handle(
    message: object, exchange: Exchange, sender: identifiers.HostId
) -> list[configuration.Send]:
    return []


@_handle.register
def _(
    message: messages.Probe, exchange: Exchange, sender: identifiers.HostId
) -> list[configuration.Send]:
    return exchange.on_probe(sender, message)


@_handle.register
def _(
    message: messages.ProbeAck, exchange: Exchange, sender: identifiers.HostId
) -> list[configuration.Send]:
    return exchange.on_ack(sender, message)


@_handle.register
def _(
    message: messages.IndirectProbe,
    exchange: Exchange,
    sender: identifiers.HostId,
) -> list[configuration.Send]:
    return exchange.on_indirect_probe(sender, message)
