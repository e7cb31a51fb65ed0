"""Baseline: configuration replication where the last message wins."""

import datetime
import random

from acaciamoor import clock as clocks
from acaciamoor import configuration
from acaciamoor import model

# Period with which a relay sends a full snapshot to all hosts, to recover from
# lost messages.
REFRESH_PERIOD = datetime.timedelta(seconds=5)


class NaiveConfiguration:
    """Applies every change from the watch or a peer without version checks.

    The host with the lowest identifier is the relay and sends changes to all
    hosts, where they take effect on arrival. A new host requests a snapshot
    from the first peer whose digest it receives. The constructor has the
    parameters of `ConfigurationStore`.
    """

    def __init__(
        self,
        host_id: model.HostId,
        clock: clocks.Clock,
        rng: random.Random,
        size_of: object,
    ) -> None:
        self._host_id = host_id
        self._clock = clock
        self._versions_by_id: dict[
            model.ServiceId, configuration.ServiceVersion
        ] = {}
        self._pending_changes: list[configuration.ServiceVersion] = []
        self._next_refresh_at = clock.monotonic() + REFRESH_PERIOD
        self._needs_snapshot = True

    fresh = True
    is_complete = True

    @property
    def version(self) -> int:
        """Highest version among the known services."""
        return max(
            (item.version for item in self._versions_by_id.values()), default=0
        )

    @property
    def services_by_id(self) -> dict[model.ServiceId, model.Service]:
        """State of every existing service."""
        return {
            service_id: item.service
            for service_id, item in self._versions_by_id.items()
            if item.service is not None
        }

    def on_change(self, change: configuration.ServiceVersion) -> bool:
        """Apply a change from the watch and queue it for the other hosts."""
        self._apply((change,))
        self._pending_changes.append(change)
        return True

    def on_watch_alive(self, version: int) -> None:
        """Do nothing: freshness is not tracked."""

    def on_pause(self) -> None:
        """Do nothing: pauses are not detected."""

    def on_digest(
        self,
        sender: model.HostId,
        digest: configuration.ConfigurationDigest,
        created_after: datetime.timedelta | None,
    ) -> list[configuration.Send]:
        """Request a snapshot from the first peer that has a configuration."""
        if not self._needs_snapshot or not digest.version:
            return []
        self._needs_snapshot = False
        return [configuration.Send(sender, configuration.SnapshotRequest(0))]

    def on_message(
        self, sender: model.HostId, message: object
    ) -> list[configuration.Send]:
        """Answer a snapshot request or apply a received snapshot."""
        if isinstance(message, configuration.SnapshotRequest):
            return [configuration.Send(sender, self._full_snapshot())]
        if isinstance(message, configuration.Snapshot):
            self._apply(message.items)
        return []

    def tick(
        self, view: model.MembershipView, has_target_in_force: object
    ) -> list[configuration.Send]:
        """As the relay, send changes and periodic snapshots to all hosts."""
        now = self._clock.monotonic()
        if not self.is_relay(view):
            return []
        snapshots = []
        if self._pending_changes:
            snapshots.append(self._snapshot_of(tuple(self._pending_changes)))
            self._pending_changes.clear()
        if now >= self._next_refresh_at:
            self._next_refresh_at = now + REFRESH_PERIOD
            snapshots.append(self._full_snapshot())
        return [
            configuration.Send(host_id, snapshot)
            for host_id in view.live
            if host_id != self._host_id
            for snapshot in snapshots
        ]

    def digest(self) -> configuration.ConfigurationDigest:
        """Return a digest with the highest version."""
        return configuration.ConfigurationDigest(self.version)

    def is_relay(self, view: model.MembershipView) -> bool:
        """Return whether this host has the lowest identifier."""
        return view.live[:1] == (self._host_id,)

    def version_in_force(self) -> int:
        """Return the known version: changes take effect on arrival."""
        return self.version

    def _apply(self, items: tuple[configuration.ServiceVersion, ...]) -> None:
        self._versions_by_id.update({item.service_id: item for item in items})

    def _full_snapshot(self) -> configuration.Snapshot:
        return self._snapshot_of(tuple(self._versions_by_id.values()))

    def _snapshot_of(
        self, items: tuple[configuration.ServiceVersion, ...]
    ) -> configuration.Snapshot:
        return configuration.Snapshot(self.version, 0, self.version, items)
