"""What is known of each host, and which news is passed on.

The precedence of news and its bounded dissemination follow SWIM [1]_.

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

# News in one message, about 50 bytes each. With 367 hosts, messages that are
# full of news stay within the control budget of 9 KB/s.
MAX_UPDATES = 5
# Each piece of news is sent this often for each doubling of the hosts. Good
# news that is heard again counts as sent, since others know it already [2]_;
# bad news is sent in any case, since every host has to hear it in time.
# Pages of the full state repair what still does not arrive.
RETRANSMISSIONS = 2
# Members in one page of the full state.
PAGE_SIZE = 8
# Old news of a dead host has left the data centre after this time.
DEAD_RETENTION = datetime.timedelta(seconds=60)


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A host as this host sees it.

    Parameters
    ----------
    update : MemberUpdate
        The newest news.
    since : datetime.timedelta
        Monotonic time at which it arrived.
    raised_here : bool
        Whether this host itself raised the suspicion.
    """

    update: messages.MemberUpdate
    since: datetime.timedelta
    raised_here: bool = False

    @property
    def health(self) -> messages.Health:
        """Newest judgement."""
        return self.update.health


class Members:
    """The other hosts by identifier, and the news to pass on."""

    def __init__(self) -> None:
        self.members_by_id: dict[identifiers.HostId, Member] = {}
        self.suspect_ids: set[identifiers.HostId] = set()
        # Counts changes, so that others notice them cheaply.
        self.changes = 0
        self.live_ids: set[identifiers.HostId] = set()
        self.dead_ids: set[identifiers.HostId] = set()
        self._sorted_ids: list[identifiers.HostId] = []
        self._sent_by_id: dict[identifiers.HostId, int] = {}

    def apply(
        self,
        update: messages.MemberUpdate,
        now: datetime.timedelta,
        raised_here: bool = False,
        is_news: bool = True,
    ) -> bool:
        """Take over an update; False if it is not newer than what is known.

        What comes from a page of the full state is no news to others and is
        not passed on.
        """
        known = self.members_by_id.get(update.host_id)
        if known and _rank(update) <= _rank(known.update):
            if update == known.update and not update.health:
                self._count_sent(update.host_id)
            return False
        if known is None:
            bisect.insort(self._sorted_ids, update.host_id)
        self.members_by_id[update.host_id] = Member(update, now, raised_here)
        if is_news:
            self._sent_by_id[update.host_id] = 0
        else:
            self._sent_by_id.pop(update.host_id, None)
        self.changes += 1
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

    def judge(
        self,
        host_id: identifiers.HostId,
        health: messages.Health,
        now: datetime.timedelta,
    ) -> bool:
        """Raise a suspicion or a death report of this host itself."""
        known = self.members_by_id[host_id].update
        return self.apply(
            dataclasses.replace(known, health=health), now, raised_here=True
        )

    def health_of(self, host_id: identifiers.HostId) -> messages.Health | None:
        """Return the health of a host, None if it is not known."""
        member = self.members_by_id.get(host_id)
        return member.health if member else None

    def opinion_of(
        self, host_id: identifiers.HostId
    ) -> tuple[messages.MemberUpdate, ...]:
        """Return what a host must be told about itself: only bad news."""
        member = self.members_by_id.get(host_id)
        if member is None or member.health is messages.Health.ALIVE:
            return ()
        return (member.update,)

    def news(self) -> tuple[messages.MemberUpdate, ...]:
        """Return bad news, then what was passed on least often so far."""
        chosen = heapq.nsmallest(
            MAX_UPDATES, self._sent_by_id, key=self._urgency_of
        )
        for host_id in chosen:
            self._count_sent(host_id)
        return tuple(self.members_by_id[item].update for item in chosen)

    def _count_sent(self, host_id: identifiers.HostId) -> None:
        if host_id not in self._sent_by_id:
            return
        self._sent_by_id[host_id] += 1
        limit = RETRANSMISSIONS * math.log2(len(self.members_by_id) + 2)
        if self._sent_by_id[host_id] >= limit:
            del self._sent_by_id[host_id]

    def _urgency_of(self, host_id: identifiers.HostId) -> tuple[int, int]:
        # Suspicions and their refutation race; joins can wait.
        health = self.members_by_id[host_id].health
        return (-health, self._sent_by_id[host_id])

    def page(
        self, after: identifiers.HostId
    ) -> tuple[tuple[messages.MemberUpdate, ...], identifiers.HostId]:
        """Return the next members after a host, and where the page ends."""
        start = bisect.bisect_right(self._sorted_ids, after)
        ids = self._sorted_ids[start : start + PAGE_SIZE]
        is_last = start + PAGE_SIZE >= len(self._sorted_ids)
        end = identifiers.HostId('') if is_last else ids[-1]
        return tuple(self.members_by_id[item].update for item in ids), end

    def forget_dead(self, now: datetime.timedelta) -> None:
        """Drop hosts that have been dead for `DEAD_RETENTION`."""
        old = [
            host_id
            for host_id in self.dead_ids
            if now - self.members_by_id[host_id].since > DEAD_RETENTION
        ]
        for host_id in old:
            self.dead_ids.remove(host_id)
            del self.members_by_id[host_id]
            self._sent_by_id.pop(host_id, None)
            self._sorted_ids.remove(host_id)


def _rank(update: messages.MemberUpdate) -> tuple[int, int]:
    return (update.incarnation, update.health)
