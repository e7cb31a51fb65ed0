"""Known state of the other hosts, and dissemination of updates.

The precedence of updates and their bounded dissemination follow SWIM [1]_.

References
----------
.. [1] A. Das, I. Gupta and A. Motivala, "SWIM: scalable weakly-consistent
   infection-style process group membership protocol", DSN 2002.
.. [2] A. Demers et al., "Epidemic algorithms for replicated database
   maintenance", PODC 1987.
"""

import bisect
import dataclasses
import datetime
import heapq
import math

from acaciamoor.membership import messages
from acaciamoor.model import identifiers

# Limit of the updates in one message, about 50 bytes each. With 367 hosts,
# messages with this many updates stay within the control budget of 9 KB/s.
MAX_UPDATES = 5
# An update is sent RETRANSMIT_FACTOR * log2(hosts + 1) times. Receiving an
# alive update again counts as sending it, because others already know it [2]_.
# Suspicions and death reports are sent the full number of times, because every
# host has to receive them in time. Pages of the full member list repair the
# remaining losses.
RETRANSMIT_FACTOR = 2
# Number of members in one page of the full member list.
PAGE_SIZE = 8
# After this time, no updates about a dead host circulate any more.
DEAD_RETENTION = datetime.timedelta(seconds=60)


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """State of another host as known to this host.

    Parameters
    ----------
    update : MemberUpdate
        Newest update.
    updated_at : datetime.timedelta
        Monotonic time at which `update` was applied.
    raised_locally : bool
        Whether this host originated the update by its own failure detection.
    """

    update: messages.MemberUpdate
    updated_at: datetime.timedelta
    raised_locally: bool = False

    @property
    def health(self) -> messages.Health:
        """Health according to the newest update."""
        return self.update.health


class MemberList:
    """The other hosts by identifier, and the updates to disseminate."""

    def __init__(self) -> None:
        self.members_by_id: dict[identifiers.HostId, Member] = {}
        self.suspect_ids: set[identifiers.HostId] = set()
        # Incremented with every change, for cheap change detection.
        self.change_count = 0
        self.live_ids: set[identifiers.HostId] = set()
        self.dead_ids: set[identifiers.HostId] = set()
        self._sorted_ids: list[identifiers.HostId] = []
        self._send_counts_by_id: dict[identifiers.HostId, int] = {}

    def apply(
        self,
        update: messages.MemberUpdate,
        now: datetime.timedelta,
        raised_locally: bool = False,
        disseminate: bool = True,
    ) -> bool:
        """Apply an update; return False if the known state supersedes it.

        Updates from a page of the full member list are applied without
        `disseminate`, because the other hosts know them already.
        """
        known = self.members_by_id.get(update.host_id)
        if known and _precedence(update) <= _precedence(known.update):
            if update == known.update and not update.health:
                self._count_sent(update.host_id)
            return False
        if known is None:
            bisect.insort(self._sorted_ids, update.host_id)
        self.members_by_id[update.host_id] = Member(
            update, now, raised_locally
        )
        if disseminate:
            self._send_counts_by_id[update.host_id] = 0
        else:
            self._send_counts_by_id.pop(update.host_id, None)
        self.change_count += 1
        if update.health is messages.Health.SUSPECT:
            self.suspect_ids.add(update.host_id)
        else:
            self.suspect_ids.discard(update.host_id)
        if update.health is messages.Health.DEAD:
            self.live_ids.discard(update.host_id)
            self.dead_ids.add(update.host_id)
        else:
            self.live_ids.add(update.host_id)
            self.dead_ids.discard(update.host_id)
        return True

    def set_health(
        self,
        host_id: identifiers.HostId,
        health: messages.Health,
        now: datetime.timedelta,
    ) -> bool:
        """Suspect a member or declare it dead, on behalf of this host."""
        known = self.members_by_id[host_id].update
        return self.apply(
            dataclasses.replace(known, health=health), now, raised_locally=True
        )

    def health_of(self, host_id: identifiers.HostId) -> messages.Health | None:
        """Return the health of a host, or None if the host is unknown."""
        member = self.members_by_id.get(host_id)
        return member.health if member else None

    def update_to_refute(
        self, host_id: identifiers.HostId
    ) -> tuple[messages.MemberUpdate, ...]:
        """Return the suspicion or death report that a host has to refute.

        The result is empty if the host is alive or unknown.
        """
        member = self.members_by_id.get(host_id)
        if member is None or member.health is messages.Health.ALIVE:
            return ()
        return (member.update,)

    def select_updates(self) -> tuple[messages.MemberUpdate, ...]:
        """Return the next updates to piggyback and count them as sent.

        Death reports come first, then suspicions, then alive updates; within
        each group, those that were sent least often.
        """
        chosen = heapq.nsmallest(
            MAX_UPDATES, self._send_counts_by_id, key=self._send_priority
        )
        for host_id in chosen:
            self._count_sent(host_id)
        return tuple(self.members_by_id[item].update for item in chosen)

    def _count_sent(self, host_id: identifiers.HostId) -> None:
        if host_id not in self._send_counts_by_id:
            return
        self._send_counts_by_id[host_id] += 1
        limit = RETRANSMIT_FACTOR * math.log2(len(self.members_by_id) + 2)
        if self._send_counts_by_id[host_id] >= limit:
            del self._send_counts_by_id[host_id]

    def _send_priority(self, host_id: identifiers.HostId) -> tuple[int, int]:
        # A suspicion has to reach its target in time for a refutation; joins
        # are less urgent.
        health = self.members_by_id[host_id].health
        return (-health, self._send_counts_by_id[host_id])

    def page(
        self, after: identifiers.HostId
    ) -> tuple[tuple[messages.MemberUpdate, ...], identifiers.HostId]:
        """Return the page of members that follow `after`, and its last host.

        The last host is the empty string for the last page.
        """
        start = bisect.bisect_right(self._sorted_ids, after)
        ids = self._sorted_ids[start : start + PAGE_SIZE]
        is_last = start + PAGE_SIZE >= len(self._sorted_ids)
        end = identifiers.HostId('') if is_last else ids[-1]
        return tuple(self.members_by_id[item].update for item in ids), end

    def prune_dead(self, now: datetime.timedelta) -> None:
        """Remove hosts that have been dead for over `DEAD_RETENTION`."""
        expired = [
            host_id
            for host_id in self.dead_ids
            if now - self.members_by_id[host_id].updated_at > DEAD_RETENTION
        ]
        for host_id in expired:
            self.dead_ids.remove(host_id)
            del self.members_by_id[host_id]
            self._send_counts_by_id.pop(host_id, None)
            self._sorted_ids.remove(host_id)


def _precedence(update: messages.MemberUpdate) -> tuple[int, int]:
    return (update.incarnation, update.health)
