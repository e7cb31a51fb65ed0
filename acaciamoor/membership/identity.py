"""What a host says about itself, and what others held against it."""

import dataclasses
import datetime

from acaciamoor import clock as clocks
from acaciamoor.membership import messages
from acaciamoor.model import identifiers

_MILLISECOND = datetime.timedelta(milliseconds=1)
_EPOCH = datetime.datetime(1970, 1, 1, tzinfo=datetime.UTC)


class Identity:
    """Incarnation, phase and doubts of this host.

    The incarnation starts at the wall-clock time in milliseconds, so that a
    restarted process outranks the news of its former life. A clock that was
    set back is corrected by the first peer that remembers a higher number.

    Parameters
    ----------
    host_id : HostId
        This host.
    clock : Clock
        Wall clock for the first incarnation.
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
        self.doubted_since: datetime.timedelta | None = None
        self.lease_withheld_since: datetime.timedelta | None = None

    @property
    def host_id(self) -> identifiers.HostId:
        """This host."""
        return self.update.host_id

    @property
    def is_gone(self) -> bool:
        """Whether this host called itself gone."""
        return self.update.health is messages.Health.DEAD

    def activate(self) -> bool:
        """Announce this host as a member; False if it is one already."""
        if self.update.phase is not messages.Phase.JOINING:
            return False
        self.enter(messages.Phase.ACTIVE)
        return True

    def enter(self, phase: messages.Phase) -> None:
        """Announce another phase."""
        self._reincarnate(self.update.incarnation, phase)

    def exit(self) -> None:
        """Announce that this host is gone."""
        self.update = dataclasses.replace(
            self.update, health=messages.Health.DEAD
        )

    def on_opinion(
        self, update: messages.MemberUpdate, now: datetime.timedelta
    ) -> bool:
        """Refute bad news of this host; True if it was news.

        Opinions on an earlier incarnation are refuted already.
        """
        own = self.update
        if self.is_gone or update.incarnation < own.incarnation:
            return False
        if update.health is messages.Health.ALIVE:
            if update.incarnation > own.incarnation:
                self._reincarnate(update.incarnation, own.phase)
            return False
        self._reincarnate(update.incarnation, own.phase)
        self.doubted_since = now
        if update.health is messages.Health.DEAD:
            self.lease_withheld_since = now
        return True

    def on_pause(self, now: datetime.timedelta) -> None:
        """Note that the process was paused until now."""
        self.doubted_since = now
        self.lease_withheld_since = now

    def _reincarnate(self, above: int, phase: messages.Phase) -> None:
        self.update = dataclasses.replace(
            self.update, incarnation=above + 1, phase=phase
        )
