"""When the configuration of a host was last known to be the newest."""

import datetime

from acaciamoor.configuration import messages

# A view takes effect this long after it was published, on all hosts at once.
ACTIVATION_DELAY = datetime.timedelta(seconds=2.5)
# Gossip needs about 1 s; peers that differ for longer have really diverged.
DIVERGENCE_LIMIT = datetime.timedelta(seconds=3)


class Freshness:
    """Confirmations of the newest version.

    A confirmation of version v at time c says that no relay knew a higher
    version at c. What the host does not hold was then published after c and
    takes effect after ``c + ACTIVATION_DELAY``, so until then a host at v or
    above uses the right views.
    """

    def __init__(self) -> None:
        self.newest_heard = 0
        self.complete_since: datetime.timedelta | None = None
        self._confirmed_at: datetime.timedelta | None = None
        # Confirmation of a version that the host does not hold yet.
        self._ahead: tuple[int, datetime.timedelta] | None = None
        self._watch_version = 0
        self._watch_alive_at: datetime.timedelta | None = None

    def is_fresh(self, now: datetime.timedelta) -> bool:
        """Return whether the version was confirmed within the delay."""
        return (
            self.complete_since is not None
            and self.confirmed_age(now) is not None
        )

    def confirmed_age(
        self, now: datetime.timedelta
    ) -> datetime.timedelta | None:
        """Return the time since the version was confirmed.

        An age above the activation delay is of no use to anyone and is left
        out.
        """
        if self._confirmed_at is None:
            return None
        age = now - self._confirmed_at
        return age if age <= ACTIVATION_DELAY else None

    def on_version(self, version: int) -> None:
        """Apply a confirmation that was waiting for `version`."""
        if self._ahead and self._ahead[0] <= version:
            self._confirmed(self._ahead[1])
            self._ahead = None

    def on_complete(self, now: datetime.timedelta) -> None:
        """Note that nothing that was heard of is missing."""
        if self.complete_since is None:
            self.complete_since = now

    def on_watch_alive(self, version: int, now: datetime.timedelta) -> None:
        """Note a sign of life of the watch at `version`."""
        self._watch_version, self._watch_alive_at = version, now

    def on_digest(
        self,
        digest: messages.ConfigurationDigest,
        version: int,
        heard_at: datetime.timedelta | None,
        now: datetime.timedelta,
    ) -> None:
        """Take over the news and the confirmation of a peer.

        A peer at a lower version than this host is behind, so its
        confirmation says nothing.
        """
        self.newest_heard = max(self.newest_heard, digest.version)
        if heard_at is None or digest.confirmed_age is None:
            return
        confirmed_at = heard_at - digest.confirmed_age
        if digest.version > version:
            self._ahead = (digest.version, confirmed_at)
        elif digest.version == version:
            self._confirmed(confirmed_at)
            self.on_complete(now)

    def confirm(
        self, version: int, quorum: bool, now: datetime.timedelta
    ) -> None:
        """Confirm as a relay, if this host may.

        With the platform, the last sign of life of the watch counts, unless
        the watch is behind what the host learned from peers. Without
        it a relay with a quorum confirms what it knows, once it has been
        complete for as long as a published version may take to reach it.
        """
        if version < self.newest_heard or self.complete_since is None:
            return
        alive_at = self._watch_alive_at
        if alive_at is not None and self._watch_version >= version:
            self._confirmed(alive_at)
        if quorum and now - self.complete_since >= ACTIVATION_DELAY:
            self._confirmed(now)

    def on_pause(self, now: datetime.timedelta) -> None:
        """Forget what was confirmed before the process was paused."""
        self._confirmed_at = None
        self._ahead = None
        self._watch_alive_at = None
        if self.complete_since is not None:
            self.complete_since = now

    def _confirmed(self, at: datetime.timedelta) -> None:
        if self._confirmed_at is None or at > self._confirmed_at:
            self._confirmed_at = at


class DivergenceDetector:
    """Notices peers that hold other services at the same version."""

    def __init__(self) -> None:
        self.diverged = False
        self._differs_since: datetime.timedelta | None = None
        self._version = 0

    def compare(
        self,
        digest: messages.ConfigurationDigest,
        version: int,
        fingerprint: int,
        now: datetime.timedelta,
    ) -> None:
        """Compare the digest of a peer with the host's own state."""
        if digest.version != version:
            return
        if digest.fingerprint == fingerprint:
            self._differs_since, self.diverged = None, False
        elif self._differs_since is None or self._version != version:
            self._differs_since, self._version = now, version
        else:
            self.diverged = now - self._differs_since > DIVERGENCE_LIMIT
