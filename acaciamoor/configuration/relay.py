"""Who watches the platform, and which version the status object reports."""

import collections.abc
import datetime

from acaciamoor import hashing
from acaciamoor.model import identifiers
from acaciamoor.model import members

RELAYS = 2
STATUS_INTERVAL = datetime.timedelta(seconds=2)
_RELAY_KEY = hashing.hash64('relay')


class RelayChoice:
    """Ranks the live hosts; the first two watch the platform.

    Parameters
    ----------
    host_id : HostId
        This host.
    """

    def __init__(self, host_id: identifiers.HostId) -> None:
        self._host_id = host_id
        self._live: tuple[identifiers.HostId, ...] = ()
        self._relays: tuple[identifiers.HostId, ...] = ()

    def relays(
        self, view: members.MembershipView
    ) -> tuple[identifiers.HostId, ...]:
        """Return the hosts that watch the platform, best rank first."""
        if view.live is not self._live:
            self._live = view.live
            self._relays = hashing.ranked(_RELAY_KEY, view.live, RELAYS)
        return self._relays

    def is_relay(self, view: members.MembershipView) -> bool:
        """Return whether this host watches the platform.

        While no host is live, as at the first start of a data centre, every
        host reads the platform itself.
        """
        return not view.live or self._host_id in self.relays(view)

    def is_first(self, view: members.MembershipView) -> bool:
        """Return whether this host writes the status."""
        return self.relays(view)[:1] == (self._host_id,)


class StatusReporter:
    """Finds the collection version that is in force on all live hosts.

    The first relay names a target version. Every host tells in its evidence
    whether the target is in force on it, and the answers spread by gossip.
    When all live hosts have confirmed, the target becomes the status and the
    relay names the next one. Changes that arrive meanwhile wait for the next
    target, so a stream of changes cannot hold the status up.
    """

    def __init__(self) -> None:
        self.target = 0
        self._reached = 0
        self._written = 0
        self._written_at: datetime.timedelta | None = None

    def on_target(self, target: int) -> None:
        """Follow a target heard from a peer."""
        self.target = max(self.target, target)

    def tick(
        self,
        view: members.MembershipView,
        confirms: collections.abc.Callable[[identifiers.HostId], bool],
        newest: int,
    ) -> None:
        """Check the target and name the next; only at the first relay."""
        if not view.quorum:
            return
        hosts = (*view.live, *view.leaving)
        if self.target and not all(confirms(host) for host in hosts):
            return
        self._reached = max(self._reached, self.target)
        self.target = max(self.target, newest)

    def take_status(self, now: datetime.timedelta) -> int | None:
        """Return the version to write, if it changed and one is due."""
        if self._reached <= self._written:
            return None
        written_at = self._written_at
        if written_at is not None and now - written_at < STATUS_INTERVAL:
            return None
        self._written, self._written_at = self._reached, now
        return self._written
