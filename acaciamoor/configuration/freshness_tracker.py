"""Tracks when the configuration of a host was confirmed as the newest."""

import datetime

from acaciamoor.configuration import messages

# A view takes effect on all hosts at the same time, this long after it was
# published.
ACTIVATION_DELAY = datetime.timedelta(seconds=2.5)
# Gossip takes about 1 s, so peers that differ for longer have diverged.
DIVERGENCE_LIMIT = datetime.timedelta(seconds=3)


class FreshnessTracker:
    """Tracks confirmations that the version of this host is the newest.

    A confirmation of version v at time c states that no relay knew a higher
    version at c. Any later change was published after c and takes effect after
    ``c + ACTIVATION_DELAY``. Until then, a host at version v or above uses the
    correct views.
    """

    def __init__(self) -> None:
        self.newest_known_version = 0
        self.complete_since: datetime.timedelta | None = None
        self._confirmed_at: datetime.timedelta | None = None
        # Confirmation of a version that the host does not have yet, and its
        # monotonic time.
        self._pending_confirmation: tuple[int, datetime.timedelta] | None = (
            None
        )
        self._watch_version = 0
        self._watch_alive_at: datetime.timedelta | None = None

    def is_fresh(self, now: datetime.timedelta) -> bool:
        """Return whether a confirmation is within the activation delay."""
        return (
            self.complete_since is not None
            and self.confirmed_age(now) is not None
        )

    def confirmed_age(
        self, now: datetime.timedelta
    ) -> datetime.timedelta | None:
        """Return the time since the version was confirmed.

        None if it was not confirmed within the activation delay, because older
        confirmations are of no use to any host.
        """
        if self._confirmed_at is None:
            return None
        age = now - self._confirmed_at
        return age if age <= ACTIVATION_DELAY else None

    def on_version(self, version: int) -> None:
        """Apply a pending confirmation that `version` satisfies."""
        if (
            self._pending_confirmation
            and self._pending_confirmation[0] <= version
        ):
            self._record_confirmation(self._pending_confirmation[1])
            self._pending_confirmation = None

    def on_complete(self, now: datetime.timedelta) -> None:
        """Record that this host has all changes that it knows to exist."""
        if self.complete_since is None:
            self.complete_since = now

    def on_watch_alive(self, version: int, now: datetime.timedelta) -> None:
        """Record that the watch is alive and has delivered `version`."""
        self._watch_version, self._watch_alive_at = version, now

    def on_digest(
        self,
        digest: messages.ConfigurationDigest,
        version: int,
        created_after: datetime.timedelta | None,
        now: datetime.timedelta,
    ) -> None:
        """Apply the version and the confirmation of a peer.

        The confirmation of a peer at a lower version than this host's is
        outdated and ignored.
        """
        self.newest_known_version = max(
            self.newest_known_version, digest.version
        )
        if created_after is None or digest.confirmed_age is None:
            return
        confirmed_at = created_after - digest.confirmed_age
        if digest.version > version:
            self._pending_confirmation = (digest.version, confirmed_at)
        elif digest.version == version:
            self._record_confirmation(confirmed_at)
            self.on_complete(now)

    def confirm(
        self, version: int, quorum: bool, now: datetime.timedelta
    ) -> None:
        """Confirm the version on behalf of a relay, if this is permitted.

        The last time at which the watch was alive is a confirmation, unless
        the watch is behind the version that this host received from peers.
        Even during an outage of the platform, a relay with a quorum confirms
        its version, once it has been complete for the time that a published
        version may take to reach it.
        """
        if version < self.newest_known_version or self.complete_since is None:
            return
        alive_at = self._watch_alive_at
        if alive_at is not None and self._watch_version >= version:
            self._record_confirmation(alive_at)
        if quorum and now - self.complete_since >= ACTIVATION_DELAY:
            self._record_confirmation(now)

    def on_pause(self, now: datetime.timedelta) -> None:
        """Discard confirmations from before a pause of the process."""
        self._confirmed_at = None
        self._pending_confirmation = None
        self._watch_alive_at = None
        if self.complete_since is not None:
            self.complete_since = now

    def _record_confirmation(self, at: datetime.timedelta) -> None:
        if self._confirmed_at is None or at > self._confirmed_at:
            self._confirmed_at = at


class DivergenceDetector:
    """Detects peers that have different services at the same version."""

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
        """Compare the digest of a peer with this host's own state."""
        if digest.version != version:
            return
        if digest.fingerprint == fingerprint:
            self._differs_since, self.diverged = None, False
        elif self._differs_since is None or self._version != version:
            self._differs_since, self._version = now, version
        else:
            self.diverged = now - self._differs_since > DIVERGENCE_LIMIT
