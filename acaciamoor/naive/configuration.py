"""Configuration without versions: the last arrival wins, as a baseline."""

import datetime
import random

from acaciamoor import clock as clocks
from acaciamoor import configuration
from acaciamoor import model

# A relay pushes everything to everyone once in this time, to repair losses.
REFRESH_PERIOD = datetime.timedelta(seconds=5)


class NaiveConfiguration:
    """Takes over whatever the watch or a peer says.

    The host with the lowest identifier is the relay and pushes changes to all
    hosts, where they take effect on arrival. A new host copies the state of
    the first peer it hears. Takes the arguments of `ConfigurationStore`.
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
        self._changes_by_id: dict[
            model.ServiceId, configuration.ServiceVersion
        ] = {}
        self._unsent: list[configuration.ServiceVersion] = []
        self._refresh_at = clock.monotonic() + REFRESH_PERIOD
        self._is_new = True

    fresh = True
    is_complete = True

    @property
    def version(self) -> int:
        """Highest version among the services held."""
        return max(
            (item.version for item in self._changes_by_id.values()), default=0
        )

    @property
    def services_by_id(self) -> dict[model.ServiceId, model.Service]:
        """State of every service that exists."""
        return {
            service_id: item.service
            for service_id, item in self._changes_by_id.items()
            if item.service is not None
        }

    def on_change(self, change: configuration.ServiceVersion) -> bool:
        """Take over a change from the watch and push it."""
        self._apply((change,))
        self._unsent.append(change)
        return True

    def on_watch_alive(self, version: int) -> None:
        """Do nothing."""

    def on_pause(self) -> None:
        """Do nothing."""

    def on_digest(
        self,
        sender: model.HostId,
        digest: configuration.ConfigurationDigest,
        created_after: datetime.timedelta | None,
    ) -> list[configuration.Send]:
        """Copy the state of the first peer."""
        if not self._is_new or not digest.version:
            return []
        self._is_new = False
        return [configuration.Send(sender, configuration.SnapshotRequest(0))]

    def on_message(
        self, sender: model.HostId, message: object
    ) -> list[configuration.Send]:
        """Apply what arrives."""
        if isinstance(message, configuration.SnapshotRequest):
            return [configuration.Send(sender, self._everything())]
        if isinstance(message, configuration.Snapshot):
            self._apply(message.items)
        return []

    def tick(
        self, view: model.MembershipView, has_target_in_force: object
    ) -> list[configuration.Send]:
        """Push changes to all hosts."""
        now = self._clock.monotonic()
        if not self.is_relay(view):
            return []
        pushed = []
        if self._unsent:
            pushed.append(self._piece(tuple(self._unsent)))
            self._unsent.clear()
        if now >= self._refresh_at:
            self._refresh_at = now + REFRESH_PERIOD
            pushed.append(self._everything())
        return [
            configuration.Send(host_id, piece)
            for host_id in view.live
            if host_id != self._host_id
            for piece in pushed
        ]

    def digest(self) -> configuration.ConfigurationDigest:
        """Return the highest version."""
        return configuration.ConfigurationDigest(self.version)

    def is_relay(self, view: model.MembershipView) -> bool:
        """Return whether this host has the lowest identifier."""
        return view.live[:1] == (self._host_id,)

    def version_in_force(self) -> int:
        """Return the version held: changes take effect on arrival."""
        return self.version

    def _apply(self, items: tuple[configuration.ServiceVersion, ...]) -> None:
        self._changes_by_id.update({item.service_id: item for item in items})

    def _everything(self) -> configuration.Snapshot:
        return self._piece(tuple(self._changes_by_id.values()))

    def _piece(
        self, items: tuple[configuration.ServiceVersion, ...]
    ) -> configuration.Snapshot:
        return configuration.Snapshot(self.version, 0, self.version, items)
