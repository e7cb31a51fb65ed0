"""Members of the data centre as this host sees them."""

import dataclasses
import datetime
import random

from acaciamoor import clock as clocks
from acaciamoor import configuration
from acaciamoor.membership import detector as detectors
from acaciamoor.membership import evidence as evidences
from acaciamoor.membership import exchange as exchanges
from acaciamoor.membership import identity as identities
from acaciamoor.membership import members as others
from acaciamoor.membership import messages
from acaciamoor.membership import peer as peers
from acaciamoor.membership import viewer
from acaciamoor.model import identifiers
from acaciamoor.model import members as views

# How often the process calls `MembershipTable.tick`.
TICK = datetime.timedelta(milliseconds=50)
# Shorter than the suspicion timeout and the settle time of a new placer
# together (2 s), so that the lease of a cut-off host ends first.
LEASE = datetime.timedelta(seconds=1.5)


@dataclasses.dataclass(frozen=True, slots=True)
class HostList:
    """The platform's lagging list of the data centre's hosts.

    Parameters
    ----------
    live, leaving : frozenset of HostId
        Hosts in service and hosts that are being taken out of service.
    """

    live: frozenset[identifiers.HostId]
    leaving: frozenset[identifiers.HostId] = frozenset()


class MembershipTable:
    """Failure detection, quorum and the local lease of one host.

    Parameters
    ----------
    host_id : HostId
        This host.
    clock : Clock
        Monotonic time; the wall clock only seeds the incarnation number.
    rng : random.Random
        Source of random choices.
    peer : ConfigurationPeer
        The host's configuration, whose digest travels in probes.
    """

    def __init__(
        self,
        host_id: identifiers.HostId,
        clock: clocks.Clock,
        rng: random.Random,
        peer: peers.ConfigurationPeer,
    ) -> None:
        self._clock = clock
        self._peer = peer
        self._hosts = HostList(frozenset())
        self._identity = identities.Identity(host_id, clock)
        self._members = others.Members()
        self._evidence = evidences.EvidenceTable(rng)
        self._detector = detectors.Detector(self._members, self._evidence)
        self._viewer = viewer.Viewer(
            self._identity, self._members, self._detector
        )
        self._exchange = exchanges.Exchange(
            self._identity, self._members, self._evidence, clock, rng, peer
        )
        self._ticked_at: datetime.timedelta | None = None

    def on_host_list(self, hosts: HostList) -> None:
        """Take over the platform's list: whom to probe and what a quorum is.

        A listed host becomes a member when it answers, not before.
        """
        self._hosts = hosts
        self._evidence.set_hosts(hosts.live)
        self._viewer.on_host_list(hosts.leaving)

    def on_message(
        self, sender: identifiers.HostId, message: object
    ) -> list[configuration.Send]:
        """Handle a probe or an answer; other messages have no effect."""
        self._detect_pause()
        return self._exchange.on_message(sender, message)

    def tick(self) -> list[configuration.Send]:
        """Probe and judge; call every 50 ms (`TICK`)."""
        self._detect_pause()
        now = self._ticked_at = self._clock.monotonic()
        if self._identity.is_gone:
            return []
        quorum = self._has_quorum(now)
        if not quorum:
            # Views of both sides have to merge before anyone leads again.
            self._identity.lease_withheld_since = now
        for target in self._exchange.take_failed():
            self._detector.on_failed_probe(target, quorum, now)
        is_urgent = self._detector.tick(quorum, now)
        if self._peer.is_complete and self._identity.activate():
            is_urgent = True
        return [
            *(self._exchange.announce() if is_urgent else ()),
            *self._exchange.ask_helpers(),
            *self._exchange.probe_if_due(
                self._hosts.live | self._hosts.leaving,
                self._detector.reprobed(),
            ),
        ]

    def view(self) -> views.MembershipView:
        """Return the members; the same object while nothing changed."""
        self._detect_pause()
        now = self._clock.monotonic()
        return self._viewer.view(now, self._has_quorum(now), self._peer.fresh)

    def leave(self) -> list[configuration.Send]:
        """Announce that this host takes no new roles; it goes on probing."""
        self._identity.enter(messages.Phase.LEAVING)
        return self._exchange.announce()

    def exit(self) -> list[configuration.Send]:
        """Announce that this host is gone; call last."""
        self._identity.exit()
        return self._exchange.announce()

    def holds_lease(self) -> bool:
        """Return whether this host heard from a quorum within 1.5 s.

        A host that was paused or declared dead, or had no quorum, as at its
        start or after a suspicion, waits for 1.5 s after it heard from a
        quorum, so that views merge and its replacement hears of it.
        """
        self._detect_pause()
        now = self._clock.monotonic()
        withheld_since = self._identity.lease_withheld_since
        if withheld_since is not None and now - withheld_since < LEASE:
            return False
        return not self._identity.is_gone and self._has_quorum(now)

    @property
    def doubted_since(self) -> datetime.timedelta | None:
        """Monotonic time of the last suspicion, death report or pause.

        None if there was none since the start. For the coverage rule: the
        ledger of this host reaches back to this time at most.
        """
        self._detect_pause()
        return self._identity.doubted_since

    def confirms(self, host_id: identifiers.HostId) -> bool:
        """Return whether a host is known to have the target in force."""
        digest = self._peer.digest()
        if host_id == self._identity.host_id:
            return digest.target_in_force
        return self._evidence.confirms(host_id, digest.target)

    def suspects(self) -> frozenset[identifiers.HostId]:
        """Return the members that are suspected at present."""
        return frozenset(self._members.suspect_ids)

    def _has_quorum(self, now: datetime.timedelta) -> bool:
        return self._evidence.has_quorum(self._identity.host_id, now - LEASE)

    def _detect_pause(self) -> None:
        now = self._clock.monotonic()
        if self._ticked_at is None or now - self._ticked_at <= LEASE:
            return
        self._ticked_at = now
        self._identity.on_pause(now)
        self._exchange.forget_round_trips()
        self._peer.on_pause()
