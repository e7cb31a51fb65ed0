"""Failure detection: suspecting hosts and declaring them dead."""

import datetime

from acaciamoor.membership import member_list
from acaciamoor.membership import messages
from acaciamoor.membership import round_trip_table
from acaciamoor.model import identifiers

# The host that raised a suspicion keeps probing the suspect, directly and
# through helpers, and declares it dead if it does not answer within this time.
# This leaves six more attempts.
SUSPICION_TIMEOUT = datetime.timedelta(seconds=1)
# A host that received the suspicion by gossip also allows for the time that a
# refutation or death report takes to arrive.
REMOTE_SUSPICION_TIMEOUT = datetime.timedelta(seconds=2)
# A host without a known round trip for this long is suspected even if no probe
# of it failed. This matters only when many hosts fail at once. A timeout of
# 3 s caused suspicions of healthy hosts: older round trips are rare, but each
# of n hosts checks n hosts.
SILENCE_TIMEOUT = datetime.timedelta(seconds=5)
# A host without a known round trip for this long is left out of the view. This
# matters on hosts without a quorum, which cannot declare others dead.
UNREACHABLE_TIMEOUT = datetime.timedelta(seconds=6)
SILENCE_CHECK_PERIOD = datetime.timedelta(milliseconds=500)
# Limits the additional probes when many hosts fail at once.
MAX_SUSPECT_PROBES = 4


class FailureDetector:
    """Suspects other hosts and declares them dead.

    Only a host with a quorum does so. Otherwise a host that cannot receive
    anything would declare all other hosts dead.

    Parameters
    ----------
    members : MemberList
        State of the other hosts.
    round_trips : RoundTripTable
        Latest round trips of all hosts.
    """

    def __init__(
        self,
        members: member_list.MemberList,
        round_trips: round_trip_table.RoundTripTable,
    ) -> None:
        self._members = members
        self._round_trips = round_trips
        self._checked_at = datetime.timedelta(0)

    def on_failed_probe(
        self, target: identifiers.HostId, quorum: bool, now: datetime.timedelta
    ) -> None:
        """Suspect a member that answered neither this host nor a helper."""
        if quorum and self._members.health_of(target) is messages.Health.ALIVE:
            self._members.set_health(target, messages.Health.SUSPECT, now)

    def tick(self, quorum: bool, now: datetime.timedelta) -> bool:
        """Declare suspects dead after their timeout and suspect silent hosts.

        Returns
        -------
        bool
            Whether a host was declared dead, which has to be announced to the
            other hosts at once.
        """
        if not quorum:
            return False
        deaths = 0
        for host_id in sorted(self._members.suspect_ids):
            member = self._members.members_by_id[host_id]
            timeout = (
                SUSPICION_TIMEOUT
                if member.raised_locally
                else REMOTE_SUSPICION_TIMEOUT
            )
            if now - member.updated_at >= timeout:
                deaths += self._members.set_health(
                    host_id, messages.Health.DEAD, now
                )
        if now - self._checked_at >= SILENCE_CHECK_PERIOD:
            self._checked_at = now
            self._members.prune_dead(now)
            self._suspect_silent_members(now)
        return deaths > 0

    def suspects_to_probe(self) -> list[identifiers.HostId]:
        """Return suspects raised by this host, which it keeps probing."""
        raised = [
            host_id
            for host_id in sorted(self._members.suspect_ids)
            if self._members.members_by_id[host_id].raised_locally
        ]
        return raised[:MAX_SUSPECT_PROBES]

    def unreachable(
        self, now: datetime.timedelta
    ) -> frozenset[identifiers.HostId]:
        """Return the members without a round trip within the timeout."""
        return self._silent_since(now - UNREACHABLE_TIMEOUT)

    def _suspect_silent_members(self, now: datetime.timedelta) -> None:
        for host_id in sorted(self._silent_since(now - SILENCE_TIMEOUT)):
            if self._members.health_of(host_id) is messages.Health.ALIVE:
                self._members.set_health(host_id, messages.Health.SUSPECT, now)

    def _silent_since(
        self, since: datetime.timedelta
    ) -> frozenset[identifiers.HostId]:
        # Round trips are kept for listed hosts only; other members are judged
        # by probes alone. A new member may not have a round trip yet.
        known = self._members.members_by_id
        return frozenset(
            host_id
            for host_id in self._round_trips.silent_since(since)
            if host_id in known and known[host_id].updated_at < since
        )
