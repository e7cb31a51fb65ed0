"""Configuration of one host at monotonic versions."""

import collections.abc
import datetime
import random
import types

from acaciamoor import clock as clocks
from acaciamoor.configuration import effects
from acaciamoor.configuration import evacuation_tracker
from acaciamoor.configuration import freshness_tracker
from acaciamoor.configuration import messages
from acaciamoor.configuration import relay
from acaciamoor.configuration import service_collection
from acaciamoor.configuration import synchronizer
from acaciamoor.model import identifiers
from acaciamoor.model import members
from acaciamoor.model import service as services

ACTIVATION_DELAY = freshness_tracker.ACTIVATION_DELAY


class ConfigurationStore:
    """Replica of the configuration, updated by the watch and by peers.

    The store has three inputs: a relay passes the events of the platform's
    watch (`on_listing`, `on_change`, `on_watch_alive`), the membership table
    passes the digests of peers (`on_digest`), and the process passes the
    configuration messages of peers (`on_message`). `take_changes` returns the
    changes to apply to the views.

    Parameters
    ----------
    host_id : HostId
        This host.
    clock : Clock
        Monotonic time.
    rng : random.Random
        Source of random choices.
    size_of : callable
        Encoded size of a change, in bytes, for the byte budget.
    """

    def __init__(
        self,
        host_id: identifiers.HostId,
        clock: clocks.Clock,
        rng: random.Random,
        size_of: service_collection.SizeOf,
    ) -> None:
        self._clock = clock
        self._collection = service_collection.ServiceCollection(size_of)
        self._freshness = freshness_tracker.FreshnessTracker()
        self._synchronizer = synchronizer.Synchronizer(
            self._collection, self._freshness, clock, rng, size_of
        )
        self._relay_selector = relay.RelaySelector(host_id)
        self._status_reporter = relay.StatusReporter()
        self._evacuation = evacuation_tracker.EvacuationTracker()
        self._is_first_relay = False

    @property
    def version(self) -> int:
        """Collection version up to which the host has every change."""
        return self._collection.version

    @property
    def services_by_id(
        self,
    ) -> collections.abc.Mapping[identifiers.ServiceId, services.Service]:
        """Newest known state of every existing service."""
        return types.MappingProxyType(
            {
                service_id: entry.service
                for service_id, entry in self._collection.entries_by_id.items()
                if entry.service is not None
            }
        )

    @property
    def is_complete(self) -> bool:
        """Whether the host has had a complete configuration since it started.

        A joining host becomes active once this is true.
        """
        return self._freshness.complete_since is not None

    @property
    def fresh(self) -> bool:
        """Whether a relay confirmed the version within `ACTIVATION_DELAY`."""
        return self._freshness.is_fresh(self._clock.monotonic())

    @property
    def diverged(self) -> bool:
        """Whether a peer has different services at the same version.

        Only a fault of the platform or of a relay can cause this. A relay that
        detects it lists the collection again.
        """
        return self._synchronizer.divergence.diverged

    def adopt(
        self, service: services.Service, age: datetime.timedelta
    ) -> bool:
        """Adopt a service from the watch; return False if it is not newer.

        Parameters
        ----------
        service : Service
            Service as stored at ``service.version``.
        age : datetime.timedelta
            Time since the watch delivered it.
        """
        return self.on_change(
            messages.ServiceVersion(
                service.service_id, service.version, service, age
            )
        )

    def on_change(self, change: messages.ServiceVersion) -> bool:
        """Adopt a change from the watch; return False if it is not newer.

        The change may be a deletion. The watch must have started at or before
        `version`.
        """
        return self._synchronizer.adopt(change)

    def on_listing(
        self,
        version: int,
        listed: collections.abc.Iterable[services.Service],
    ) -> None:
        """Adopt a complete listing of the platform at `version`.

        A listing that is older than the store's version changes nothing.
        """
        now = self._clock.monotonic()
        self._synchronizer.replace(
            version,
            [
                service_collection.Entry(
                    item.service_id, item.version, item, now
                )
                for item in listed
            ],
        )
        self.on_watch_alive(version)

    def on_watch_alive(self, version: int) -> None:
        """Record that the watch has delivered all changes up to `version`.

        Called for each event, bookmark or other message of the watch. Only
        changes advance the collection version, so that bookmarks cause no
        traffic between hosts.
        """
        self._freshness.on_watch_alive(version, self._clock.monotonic())

    def on_evacuation(self, version: int, evacuated: bool) -> None:
        """Apply whether the platform holds an evacuation at `version`."""
        self._evacuation.observe(version, evacuated, self._clock.monotonic())

    def take_evacuation(self) -> messages.EvacuationState | None:
        """Return the evacuation if it or its age changed since the last call.

        As in `take_changes`, a larger age returns it again.
        """
        return self._evacuation.take_change(self._clock.monotonic())

    def on_digest(
        self,
        sender: identifiers.HostId,
        digest: messages.ConfigurationDigest,
        created_after: datetime.timedelta | None,
    ) -> list[effects.Send]:
        """Compare with the digest of a peer and request missing changes.

        Parameters
        ----------
        sender : HostId
            The peer.
        digest : ConfigurationDigest
            Digest of its configuration.
        created_after : datetime.timedelta or None
            Lower bound of the monotonic time at which the digest was made;
            None if it is unknown, in which case the digest confirms nothing.
        """
        self._status_reporter.on_target(digest.target)
        # Before the confirmation in the digest, which covers the evacuation.
        if digest.evacuation is not None:
            self._evacuation.adopt(digest.evacuation, self._clock.monotonic())
        return self._synchronizer.on_digest(sender, digest, created_after)

    def on_message(
        self, sender: identifiers.HostId, message: object
    ) -> list[effects.Send]:
        """Handle a configuration message; ignore other messages."""
        return self._synchronizer.on_message(sender, message)

    def on_pause(self) -> None:
        """Discard all confirmations after a pause of the process."""
        self._freshness.on_pause(self._clock.monotonic())

    def tick(
        self,
        view: members.MembershipView,
        has_target_in_force: collections.abc.Callable[
            [identifiers.HostId], bool
        ],
    ) -> list[effects.Send]:
        """Run the timers of the store; call at least every 100 ms.

        Parameters
        ----------
        view : MembershipView
            Members, from which relays are selected.
        has_target_in_force : callable
            `MembershipTable.has_target_in_force`.
        """
        now = self._clock.monotonic()
        self._collection.prune_tombstones(now)
        self._is_first_relay = self._relay_selector.is_first_relay(view)
        if self.is_relay(view):
            self._freshness.confirm(self.version, view.quorum, now)
        if self._is_first_relay:
            self._status_reporter.tick(view, has_target_in_force, self.version)
        return []

    def digest(self) -> messages.ConfigurationDigest:
        """Return the digest that probes carry."""
        now = self._clock.monotonic()
        return messages.ConfigurationDigest(
            version=self.version,
            fingerprint=self._collection.fingerprint,
            confirmed_age=self._freshness.confirmed_age(now),
            published_age=self._published_age(now),
            target=self._status_reporter.target,
            target_in_force=self.version_in_force()
            >= self._status_reporter.target,
            evacuation=self._evacuation.state(now),
        )

    def delta_since(
        self, digest: messages.ConfigurationDigest
    ) -> messages.Delta | messages.Snapshot | None:
        """Return the first chunk after `digest`; None without changes."""
        return self._synchronizer.delta_since(digest.version)

    def snapshot(self, since: int = 0) -> messages.Snapshot:
        """Return the chunk of the complete collection after `since`."""
        return self._synchronizer.snapshot(since)

    def take_changes(self) -> list[messages.ServiceVersion]:
        """Return the changes adopted since the last call, with their age.

        A change is returned again if a larger age of it becomes known before
        it is in force.
        """
        return self._synchronizer.take_changes()

    def version_in_force(self) -> int:
        """Return the highest collection version in force on this host."""
        return self._collection.version_in_force(
            self._clock.monotonic() - ACTIVATION_DELAY
        )

    def is_relay(self, view: members.MembershipView) -> bool:
        """Return whether this host watches the platform."""
        return self._relay_selector.is_relay(view)

    def take_status(self) -> int | None:
        """Return a version to write to the status object, if one is due.

        Only the first relay writes the status: the highest collection version
        known to be in force on all live hosts, if it changed and at most every
        2 s.
        """
        if not self._is_first_relay:
            return None
        return self._status_reporter.take_status(self._clock.monotonic())

    def _published_age(
        self, now: datetime.timedelta
    ) -> datetime.timedelta | None:
        newest = self._collection.newest
        if newest is None or now - newest.published_at > 2 * ACTIVATION_DELAY:
            return None
        return now - newest.published_at
