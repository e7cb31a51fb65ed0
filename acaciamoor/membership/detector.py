"""Suspicion of silent hosts, and their removal."""

import datetime

from acaciamoor.membership import evidence as evidences
from acaciamoor.membership import members as others
from acaciamoor.membership import messages
from acaciamoor.model import identifiers

# The host that raised a suspicion goes on probing, directly and through
# helpers, and waits this long for an answer: six more attempts.
SUSPICION_TIMEOUT = datetime.timedelta(seconds=1)
# A host that only heard of the suspicion also waits for news of its end.
HEARD_SUSPICION_TIMEOUT = datetime.timedelta(seconds=2)
# Without a round trip with anyone for this long a host is suspected even if
# nobody got to probe it. This only matters when many hosts fail at once. With
# 3 s, healthy hosts were suspected: evidence older than that is rare, but n
# hosts watch n hosts.
EVIDENCE_TIMEOUT = datetime.timedelta(seconds=5)
# When a host that is not connected to a quorum drops others from its view.
UNREACHABLE_AFTER = datetime.timedelta(seconds=6)
EVIDENCE_CHECK_PERIOD = datetime.timedelta(milliseconds=500)
# Bounds the extra probes when many hosts fail at once.
MAX_REPROBED = 4


class Detector:
    """Judges the other hosts.

    Only a host with a quorum suspects others and declares them dead. One that
    cannot hear would otherwise blame everyone else.

    Parameters
    ----------
    members : Members
        The other hosts.
    evidence : EvidenceTable
        Round trips.
    """

    def __init__(
        self, members: others.Members, evidence: evidences.EvidenceTable
    ) -> None:
        self._members = members
        self._evidence = evidence
        self._checked_at = datetime.timedelta(0)

    def on_failed_probe(
        self, target: identifiers.HostId, quorum: bool, now: datetime.timedelta
    ) -> None:
        """Suspect a member that did not answer."""
        if quorum and self._members.health_of(target) is messages.Health.ALIVE:
            self._members.judge(target, messages.Health.SUSPECT, now)

    def tick(self, quorum: bool, now: datetime.timedelta) -> bool:
        """Raise suspicions from missing evidence and end suspicions.

        Returns
        -------
        bool
            Whether a host was declared dead, which the others need to hear at
            once.
        """
        if not quorum:
            return False
        deaths = 0
        for host_id in sorted(self._members.suspect_ids):
            member = self._members.members_by_id[host_id]
            timeout = (
                SUSPICION_TIMEOUT
                if member.raised_here
                else HEARD_SUSPICION_TIMEOUT
            )
            if now - member.since >= timeout:
                deaths += self._members.judge(
                    host_id, messages.Health.DEAD, now
                )
        if now - self._checked_at >= EVIDENCE_CHECK_PERIOD:
            self._checked_at = now
            self._members.forget_dead(now)
            self._suspect_without_evidence(now)
        return deaths > 0

    def reprobed(self) -> list[identifiers.HostId]:
        """Return hosts that this host suspected and still probes."""
        raised = [
            host_id
            for host_id in sorted(self._members.suspect_ids)
            if self._members.members_by_id[host_id].raised_here
        ]
        return raised[:MAX_REPROBED]

    def unreachable(
        self, now: datetime.timedelta
    ) -> frozenset[identifiers.HostId]:
        """Return the members that nobody has heard from for too long."""
        return self._silent_since(now - UNREACHABLE_AFTER)

    def _suspect_without_evidence(self, now: datetime.timedelta) -> None:
        for host_id in sorted(self._silent_since(now - EVIDENCE_TIMEOUT)):
            if self._members.health_of(host_id) is messages.Health.ALIVE:
                self._members.judge(host_id, messages.Health.SUSPECT, now)

    def _silent_since(
        self, since: datetime.timedelta
    ) -> frozenset[identifiers.HostId]:
        # A host that is not listed has no evidence; probes judge it. One
        # that just appeared may not have evidence yet.
        known = self._members.members_by_id
        return frozenset(
            host_id
            for host_id in self._evidence.silent_since(since)
            if host_id in known and known[host_id].since < since
        )
