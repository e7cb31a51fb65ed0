"""The view of the members that other packages see."""

import datetime

from acaciamoor.membership import detector as detectors
from acaciamoor.membership import identity as identities
from acaciamoor.membership import members as others
from acaciamoor.membership import messages
from acaciamoor.model import identifiers
from acaciamoor.model import members as views

# Bounds the work in a large data centre; changes heard of show at once.
REFRESH_PERIOD = datetime.timedelta(milliseconds=500)


class Viewer:
    """Builds the view and counts its version.

    Parameters
    ----------
    identity : Identity
        This host.
    members : Members
        The other hosts.
    detector : Detector
        Tells which of them are reachable.
    """

    def __init__(
        self,
        identity: identities.Identity,
        members: others.Members,
        detector: detectors.Detector,
    ) -> None:
        self._identity = identity
        self._members = members
        self._detector = detector
        self._listed_leaving: frozenset[identifiers.HostId] = frozenset()
        self._basis: tuple[object, ...] | None = None
        self._unreachable: frozenset[identifiers.HostId] = frozenset()
        self._built_at = datetime.timedelta(0)
        self._hosts: tuple[tuple[identifiers.HostId, ...], ...] = ((), ())
        self._view = views.MembershipView(0, (), (), False, False)

    def on_host_list(self, leaving: frozenset[identifiers.HostId]) -> None:
        """Note hosts that the platform takes out of service."""
        self._listed_leaving = leaving
        self._basis = None

    def view(
        self, now: datetime.timedelta, quorum: bool, fresh: bool
    ) -> views.MembershipView:
        """Return the view; the same object while nothing changed."""
        if now - self._built_at >= REFRESH_PERIOD:
            self._unreachable = self._detector.unreachable(now)
            self._built_at = now
        basis = (
            self._members.changes,
            self._identity.update,
            self._unreachable,
        )
        if basis != self._basis:
            self._hosts, self._basis = self._build(), basis
        live, leaving = self._hosts
        known = self._view
        if (live, leaving, quorum, fresh) != (
            known.live,
            known.leaving,
            known.quorum,
            known.fresh,
        ):
            self._view = views.MembershipView(
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
        if not self._identity.is_gone:
            updates.append(self._identity.update)
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
