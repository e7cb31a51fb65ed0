"""Selection of relays, and the version that the status object reports."""

import collections.abc
import datetime

from acaciamoor import hashing
from acaciamoor.model import identifiers
from acaciamoor.model import members

RELAY_COUNT = 2
STATUS_INTERVAL = datetime.timedelta(seconds=2)
_RELAY_KEY = hashing.hash64('relay')


class RelaySelector:
    """Selects the relays: the two highest-ranked live hosts.

    Only relays watch the platform.

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
        """Return the hosts that watch the platform, highest rank first."""
        if view.live is not self._live:
            self._live = view.live
            self._relays = hashing.ranked(_RELAY_KEY, view.live, RELAY_COUNT)
        return self._relays

    def is_relay(self, view: members.MembershipView) -> bool:
        """Return whether this host watches the platform.

        While no host is live, for example when a data centre starts for the
        first time, every host reads the platform itself.
        """
        return not view.live or self._host_id in self.relays(view)

    def is_first_relay(self, view: members.MembershipView) -> bool:
        """Return whether this host is the first relay.

        The first relay writes the status object.
        """
        return self.relays(view)[:1] == (self._host_id,)


class StatusReporter:
    """Determines the collection version that is in force on all live hosts.

    The first relay sets a target version. Every host reports in its answers to
    probes whether it has the target in force, and gossip spreads the reports.
    When all live hosts have reported, the target becomes the status and the
    relay sets the next target. Changes that arrive in the meantime are covered
    by the next target, so continuous changes cannot block the status.
    """

    def __init__(self) -> None:
        self.target = 0
        self._confirmed_version = 0
        self._written_version = 0
        self._written_at: datetime.timedelta | None = None

    def on_target(self, target: int) -> None:
        """Adopt a higher target received from a peer."""
        self.target = max(self.target, target)

    def tick(
        self,
        view: members.MembershipView,
        has_target_in_force: collections.abc.Callable[
            [identifiers.HostId], bool
        ],
        newest: int,
    ) -> None:
        """Check the target and set the next one; only for the first relay."""
        if not view.quorum:
            return
        hosts = (*view.live, *view.leaving)
        if self.target and not all(
            has_target_in_force(host) for host in hosts
        ):
            return
        self._confirmed_version = max(self._confirmed_version, self.target)
        self.target = max(self.target, newest)

    def take_status(self, now: datetime.timedelta) -> int | None:
        """Return the version to write, if it changed and a write is due."""
        if self._confirmed_version <= self._written_version:
            return None
        written_at = self._written_at
        if written_at is not None and now - written_at < STATUS_INTERVAL:
            return None
        self._written_version, self._written_at = self._confirmed_version, now
        return self._written_version
