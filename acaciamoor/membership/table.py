"""Membership of the data centre as known to one host."""

import dataclasses
import datetime
import random

from acaciamoor import clock as clocks
from acaciamoor import configuration
from acaciamoor.membership import detector as detectors
from acaciamoor.membership import local_configuration
from acaciamoor.membership import local_member as local_members
from acaciamoor.membership import member_list
from acaciamoor.membership import messages
from acaciamoor.membership import probe_protocol
from acaciamoor.membership import round_trip_table
from acaciamoor.membership import view_builder
from acaciamoor.model import identifiers
from acaciamoor.model import members as membership_views

# How often the process calls `MembershipTable.tick`.
TICK_PERIOD = datetime.timedelta(milliseconds=50)
# Shorter than the sum of the suspicion timeout and the settle time of a new
# placer (2 s), so that the lease of a partitioned host expires before its
# successor acts.
LEASE_DURATION = datetime.timedelta(seconds=1.5)
# Time with a quorum after which a host that starts is fresh although members
# are missing in its list. If 367 hosts start at once, they know nearly all
# others after 8 s.
MAX_DISCOVERY = datetime.timedelta(seconds=10)


@dataclasses.dataclass(frozen=True, slots=True)
class HostList:
    """The platform's list of the data centre's hosts, which may be outdated.

    Parameters
    ----------
    live, leaving : frozenset of HostId
        Hosts in service and hosts that are being taken out of service.
    """

    live: frozenset[identifiers.HostId]
    leaving: frozenset[identifiers.HostId] = frozenset()


class MembershipTable:
    """Failure detection, quorum and lease of one host.

    Parameters
    ----------
    host_id : HostId
        This host.
    clock : Clock
        Monotonic time; the wall clock only provides the initial incarnation.
    rng : random.Random
        Source of random choices.
    store : LocalConfiguration
        Configuration of this host, whose digest is sent in probes.
    """

    def __init__(
        self,
        host_id: identifiers.HostId,
        clock: clocks.Clock,
        rng: random.Random,
        store: local_configuration.LocalConfiguration,
    ) -> None:
        self._clock = clock
        self._store = store
        self._hosts = HostList(frozenset())
        self._local_member = local_members.LocalMember(host_id, clock)
        self._members = member_list.MemberList()
        self._round_trips = round_trip_table.RoundTripTable(rng)
        self._detector = detectors.FailureDetector(
            self._members, self._round_trips
        )
        self._view_builder = view_builder.ViewBuilder(
            self._local_member, self._members, self._detector
        )
        self._protocol = probe_protocol.ProbeProtocol(
            self._local_member,
            self._members,
            self._round_trips,
            clock,
            rng,
            store,
        )
        self._ticked_at: datetime.timedelta | None = None
        # Whether this host has known all hosts that its quorum counts, and
        # since when it has looked for them.
        self._has_discovered = False
        self._discovers_since: datetime.timedelta | None = None

    def on_host_list(self, hosts: HostList) -> None:
        """Set the host list, which determines probe targets and quorums.

        A listed host becomes a member once it answers a probe.
        """
        self._hosts = hosts
        self._round_trips.set_hosts(hosts.live)
        self._view_builder.on_host_list(hosts.leaving)

    def on_message(
        self, sender: identifiers.HostId, message: object
    ) -> list[configuration.Send]:
        """Handle a membership message; ignore other messages."""
        self._detect_pause()
        return self._protocol.on_message(sender, message)

    def tick(self) -> list[configuration.Send]:
        """Send due probes and detect failures; call every `TICK_PERIOD`."""
        self._detect_pause()
        now = self._ticked_at = self._clock.monotonic()
        if self._local_member.has_exited:
            return []
        quorum = self._has_quorum(now)
        if not quorum:
            # The views of both sides of a partition have to merge before any
            # host leads again.
            self._local_member.lease_withheld_since = now
        self._discover(now, quorum)
        for target in self._protocol.take_failed_targets():
            self._detector.on_failed_probe(target, quorum, now)
        is_urgent = self._detector.tick(quorum, now)
        if self._store.is_complete and self._local_member.activate():
            is_urgent = True
        return [
            *(self._protocol.announce() if is_urgent else ()),
            *self._protocol.ask_helpers(),
            *self._protocol.probe_if_due(
                self._hosts.live | self._hosts.leaving,
                self._detector.suspects_to_probe(),
            ),
        ]

    def view(self) -> membership_views.MembershipView:
        """Return the members; the same object as before if nothing changed."""
        self._detect_pause()
        now = self._clock.monotonic()
        return self._view_builder.view(
            now,
            self._has_quorum(now),
            self._store.fresh and self._has_discovered,
        )

    def leave(self) -> list[configuration.Send]:
        """Announce that this host takes no new roles; it keeps probing."""
        self._local_member.set_phase(messages.Phase.LEAVING)
        return self._protocol.announce()

    def exit(self) -> list[configuration.Send]:
        """Announce that the process of this host exits; call last."""
        self._local_member.exit()
        return self._protocol.announce()

    def holds_lease(self) -> bool:
        """Return whether a quorum had round trips within the lease of 1.5 s.

        The lease is withheld for another 1.5 s after this host was paused, was
        declared dead or had no quorum, as after its start or a suspicion. In
        this time views merge, and a host that took over learns of this one.
        """
        self._detect_pause()
        now = self._clock.monotonic()
        withheld_since = self._local_member.lease_withheld_since
        if (
            withheld_since is not None
            and now - withheld_since < LEASE_DURATION
        ):
            return False
        return not self._local_member.has_exited and self._has_quorum(now)

    @property
    def last_disruption_at(self) -> datetime.timedelta | None:
        """Monotonic time of the last suspicion, death report or pause.

        None if there was none since the start. The coverage of the request
        ledger of this host starts at this time at the earliest.
        """
        self._detect_pause()
        return self._local_member.last_disruption_at

    def has_target_in_force(self, host_id: identifiers.HostId) -> bool:
        """Return whether a host is known to have the target version in force.

        The target version is that of the configuration digest.
        """
        digest = self._store.digest()
        if host_id == self._local_member.host_id:
            return digest.target_in_force
        return self._round_trips.has_target_in_force(host_id, digest.target)

    def suspects(self) -> frozenset[identifiers.HostId]:
        """Return the members that are currently suspected."""
        return frozenset(self._members.suspect_ids)

    def _has_quorum(self, now: datetime.timedelta) -> bool:
        return self._round_trips.has_quorum(
            self._local_member.host_id, now - LEASE_DURATION
        )

    def _discover(self, now: datetime.timedelta, quorum: bool) -> None:
        """Update whether the members are known.

        A quorum counts the round trips that other hosts report, so a host
        that starts may have one while it knows a single member. Of the owners
        of a flow it then knows none, and its own views do not say where the
        flow is.
        """
        if self._has_discovered or not quorum:
            return
        if self._discovers_since is None:
            self._discovers_since = now
        unknown = (
            self._round_trips.seen_since(now - LEASE_DURATION)
            - self._members.members_by_id.keys()
            - {self._local_member.host_id}
        )
        self._has_discovered = (
            not unknown or now - self._discovers_since >= MAX_DISCOVERY
        )

    def _detect_pause(self) -> None:
        now = self._clock.monotonic()
        if self._ticked_at is None or now - self._ticked_at <= LEASE_DURATION:
            return
        self._ticked_at = now
        self._local_member.on_pause(now)
        self._protocol.forget_round_trips()
        self._store.on_pause()
        # Hosts may have joined meanwhile.
        self._has_discovered = False
        self._discovers_since = None
