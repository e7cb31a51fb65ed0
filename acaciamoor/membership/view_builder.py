"""The membership view, which other packages use."""

import datetime

from acaciamoor.membership import detector as detectors
from acaciamoor.membership import local_member as local_members
from acaciamoor.membership import member_list
from acaciamoor.membership import messages
from acaciamoor.model import identifiers
from acaciamoor.model import members as membership_views

# Period of checking for unreachable hosts, to limit the work in a large data
# centre. Changes of the member list appear in the view at once.
REFRESH_PERIOD = datetime.timedelta(milliseconds=500)


class ViewBuilder:
    """Builds the membership view and increments its version.

    Parameters
    ----------
    local_member : LocalMember
        State of this host.
    members : MemberList
        State of the other hosts.
    detector : FailureDetector
        Determines which hosts are unreachable.
    """

    def __init__(
        self,
        local_member: local_members.LocalMember,
        members: member_list.MemberList,
        detector: detectors.FailureDetector,
    ) -> None:
        self._local_member = local_member
        self._members = members
        self._detector = detector
        self._listed_leaving: frozenset[identifiers.HostId] = frozenset()
        self._inputs: tuple[object, ...] | None = None
        self._unreachable: frozenset[identifiers.HostId] = frozenset()
        self._unreachable_checked_at = datetime.timedelta(0)
        self._hosts: tuple[tuple[identifiers.HostId, ...], ...] = ((), ())
        self._view = membership_views.MembershipView(0, (), (), False, False)

    def on_host_list(self, leaving: frozenset[identifiers.HostId]) -> None:
        """Set the hosts that the platform takes out of service."""
        self._listed_leaving = leaving
        self._inputs = None

    def view(
        self, now: datetime.timedelta, quorum: bool, fresh: bool
    ) -> membership_views.MembershipView:
        """Return the view; the same object as before if nothing changed."""
        if now - self._unreachable_checked_at >= REFRESH_PERIOD:
            self._unreachable = self._detector.unreachable(now)
            self._unreachable_checked_at = now
        inputs = (
            self._members.change_count,
            self._local_member.update,
            self._unreachable,
        )
        if inputs != self._inputs:
            self._hosts, self._inputs = self._build(), inputs
        live, leaving = self._hosts
        known = self._view
        if (live, leaving, quorum, fresh) != (
            known.live,
            known.leaving,
            known.quorum,
            known.fresh,
        ):
            self._view = membership_views.MembershipView(
                known.version + 1, live, leaving, quorum, fresh
            )
        return self._view

    def _build(
        self,
    ) -> tuple[tuple[identifiers.HostId, ...], tuple[identifiers.HostId, ...]]:
        reachable = self._members.live_ids - self._unreachable
        updates = [
            self._members.members_by_id[host_id].update
            for host_id in reachable
        ]
        if not self._local_member.has_exited:
            updates.append(self._local_member.update)
        live, leaving = [], []
        for update in updates:
            if self._is_leaving(update):
                leaving.append(update.host_id)
            elif update.phase is messages.Phase.ACTIVE:
                live.append(update.host_id)
        return tuple(sorted(live)), tuple(sorted(leaving))

    def _is_leaving(self, update: messages.MemberUpdate) -> bool:
        return (
            update.phase is messages.Phase.LEAVING
            or update.host_id in self._listed_leaving
        )
