"""State that a host announces about itself."""

import dataclasses
import datetime

from acaciamoor import clock as clocks
from acaciamoor.membership import messages
from acaciamoor.model import identifiers

_MILLISECOND = datetime.timedelta(milliseconds=1)
_EPOCH = datetime.datetime(1970, 1, 1, tzinfo=datetime.UTC)


class LocalMember:
    """Incarnation and phase of this host, and when its liveness was disputed.

    The incarnation starts at the wall-clock time in milliseconds, so that
    updates of a restarted process supersede those of the previous process.
    If the wall clock was set back, the first peer that remembers a higher
    incarnation makes this host raise its own above it.

    Parameters
    ----------
    host_id : HostId
        This host.
    clock : Clock
        Wall clock that provides the initial incarnation.
    """

    def __init__(
        self, host_id: identifiers.HostId, clock: clocks.Clock
    ) -> None:
        self.update = messages.MemberUpdate(
            host_id,
            (clock.now() - _EPOCH) // _MILLISECOND,
            messages.Phase.JOINING,
            messages.Health.ALIVE,
        )
        self.last_disruption_at: datetime.timedelta | None = None
        self.lease_withheld_since: datetime.timedelta | None = None

    @property
    def host_id(self) -> identifiers.HostId:
        """Identifier of this host."""
        return self.update.host_id

    @property
    def has_exited(self) -> bool:
        """Whether this host has announced its exit."""
        return self.update.health is messages.Health.DEAD

    def activate(self) -> bool:
        """Enter the active phase; return False if it was entered before."""
        if self.update.phase is not messages.Phase.JOINING:
            return False
        self.set_phase(messages.Phase.ACTIVE)
        return True

    def set_phase(self, phase: messages.Phase) -> None:
        """Change the phase in a new incarnation."""
        self._raise_incarnation(self.update.incarnation, phase)

    def exit(self) -> None:
        """Mark this host as dead, because its process exits."""
        self.update = dataclasses.replace(
            self.update, health=messages.Health.DEAD
        )

    def on_update(
        self, update: messages.MemberUpdate, now: datetime.timedelta
    ) -> bool:
        """Handle an update of a peer about this host.

        A suspicion or death report is refuted with a higher incarnation. One
        that refers to an earlier incarnation has been refuted already.

        Returns
        -------
        bool
            Whether a suspicion or death report was refuted.
        """
        own = self.update
        if self.has_exited or update.incarnation < own.incarnation:
            return False
        if update.health is messages.Health.ALIVE:
            if update.incarnation > own.incarnation:
                self._raise_incarnation(update.incarnation, own.phase)
            return False
        self._raise_incarnation(update.incarnation, own.phase)
        self.last_disruption_at = now
        if update.health is messages.Health.DEAD:
            self.lease_withheld_since = now
        return True

    def on_pause(self, now: datetime.timedelta) -> None:
        """Record that the process was paused until `now`."""
        self.last_disruption_at = now
        self.lease_withheld_since = now

    def _raise_incarnation(self, above: int, phase: messages.Phase) -> None:
        self.update = dataclasses.replace(
            self.update, incarnation=above + 1, phase=phase
        )
