"""Configuration of a host, kept at monotone versions."""

import collections.abc
import datetime
import random
import types

from acaciamoor import clock as clocks
from acaciamoor.configuration import collection
from acaciamoor.configuration import effects
from acaciamoor.configuration import exchange
from acaciamoor.configuration import freshness
from acaciamoor.configuration import messages
from acaciamoor.configuration import relay
from acaciamoor.model import identifiers
from acaciamoor.model import members
from acaciamoor.model import service as services

ACTIVATION_DELAY = freshness.ACTIVATION_DELAY


class ConfigurationStore:
    """Follows the configuration through the watch and through peers.

    The process feeds the store from three sides: a relay passes what the
    platform's watch delivers (`on_listing`, `on_change`, `on_watch_alive`),
    the membership table passes the digests that it hears (`on_digest`), and
    `on_message` takes the configuration messages of peers. `take_changes`
    gives the changes to pass on to the views.

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
        size_of: collection.SizeOf,
    ) -> None:
        self._clock = clock
        self._collection = collection.Collection(size_of)
        self._freshness = freshness.Freshness()
        self._exchange = exchange.Exchange(
            self._collection, self._freshness, clock, rng, size_of
        )
        self._relays = relay.RelayChoice(host_id)
        self._status = relay.StatusReporter()
        self._is_first_relay = False

    @property
    def version(self) -> int:
        """Collection version up to which every change is known."""
        return self._collection.version

    @property
    def services_by_id(
        self,
    ) -> collections.abc.Mapping[identifiers.ServiceId, services.Service]:
        """Newest known state of every service that exists."""
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

        A joining host announces itself as a member once this holds.
        """
        return self._freshness.complete_since is not None

    @property
    def fresh(self) -> bool:
        """Whether a relay confirmed the version within `ACTIVATION_DELAY`."""
        return self._freshness.is_fresh(self._clock.monotonic())

    @property
    def diverged(self) -> bool:
        """Whether a peer holds other services at the same version.

        This takes a fault of the platform or of a relay; a relay that sees it
        lists the collection again.
        """
        return self._exchange.divergence.diverged

    def adopt(
        self, service: services.Service, age: datetime.timedelta
    ) -> bool:
        """Take over a service from the watch; False if not newer.

        Parameters
        ----------
        service : Service
            State at ``service.version``.
        age : datetime.timedelta
            Time since the watch delivered it.
        """
        return self.on_change(
            messages.ServiceVersion(
                service.service_id, service.version, service, age
            )
        )

    def on_change(self, change: messages.ServiceVersion) -> bool:
        """Take over a change or deletion from the watch; False if not newer.

        The watch must have started at or before `version`.
        """
        return self._exchange.adopt(change)

    def on_listing(
        self,
        version: int,
        listed: collections.abc.Iterable[services.Service],
    ) -> None:
        """Take over a complete listing of the platform at `version`.

        An older listing than the known version changes nothing.
        """
        now = self._clock.monotonic()
        self._exchange.replace(
            version,
            [
                collection.Entry(item.service_id, item.version, item, now)
                for item in listed
            ],
        )
        self.on_watch_alive(version)

    def on_watch_alive(self, version: int) -> None:
        """Note that the watch has delivered all changes up to `version`.

        Called for each event, bookmark or other sign of life of the watch.
        The collection's own version moves with changes only, so that
        bookmarks cause no traffic between the hosts.
        """
        self._freshness.on_watch_alive(version, self._clock.monotonic())

    def on_digest(
        self,
        sender: identifiers.HostId,
        digest: messages.ConfigurationDigest,
        heard_at: datetime.timedelta | None,
    ) -> list[effects.Send]:
        """Compare with the digest of a peer and ask for what is missing.

        Parameters
        ----------
        sender : HostId
            The peer.
        digest : ConfigurationDigest
            Its summary.
        heard_at : datetime.timedelta or None
            Monotonic time at or before which the digest was made, if known;
            without it the digest confirms nothing.
        """
        self._status.on_target(digest.target)
        return self._exchange.on_digest(sender, digest, heard_at)

    def on_message(
        self, sender: identifiers.HostId, message: object
    ) -> list[effects.Send]:
        """Handle a configuration message; other messages have no effect."""
        return self._exchange.on_message(sender, message)

    def on_pause(self) -> None:
        """Forget all confirmations after the process was paused."""
        self._freshness.on_pause(self._clock.monotonic())

    def tick(
        self,
        view: members.MembershipView,
        confirms: collections.abc.Callable[[identifiers.HostId], bool],
    ) -> list[effects.Send]:
        """Act as a relay if this host is one; call at least every 100 ms.

        Parameters
        ----------
        view : MembershipView
            Members, for the relay choice.
        confirms : callable
            Whether a host has the target in force: `MembershipTable.confirms`.
        """
        now = self._clock.monotonic()
        self._collection.forget_tombstones(now)
        self._is_first_relay = self._relays.is_first(view)
        if self.is_relay(view):
            self._freshness.confirm(self.version, view.quorum, now)
        if self._is_first_relay:
            self._status.tick(view, confirms, self.version)
        return []

    def digest(self) -> messages.ConfigurationDigest:
        """Return the summary that probes carry."""
        now = self._clock.monotonic()
        return messages.ConfigurationDigest(
            version=self.version,
            fingerprint=self._collection.fingerprint,
            confirmed_age=self._freshness.confirmed_age(now),
            published_age=self._published_age(now),
            target=self._status.target,
            target_in_force=self.version_in_force() >= self._status.target,
        )

    def delta_since(
        self, digest: messages.ConfigurationDigest
    ) -> messages.Delta | messages.Snapshot | None:
        """Return the first piece that `digest` lacks; None if nothing."""
        return self._exchange.delta_since(digest.version)

    def snapshot(self, since: int = 0) -> messages.Snapshot:
        """Return the piece of the complete collection after `since`."""
        return self._exchange.snapshot(since)

    def take_changes(self) -> list[messages.ServiceVersion]:
        """Return the changes adopted since the last call, with their age.

        A change appears again when a larger age becomes known before it is
        in force.
        """
        return self._exchange.take_changes()

    def version_in_force(self) -> int:
        """Return the highest collection version in force on this host."""
        return self._collection.version_in_force(
            self._clock.monotonic() - ACTIVATION_DELAY
        )

    def is_relay(self, view: members.MembershipView) -> bool:
        """Return whether this host watches the platform."""
        return self._relays.is_relay(view)

    def take_status(self) -> int | None:
        """Return a version to write to the status object, if one is due.

        Only the first relay gets one: the highest collection version known to
        be in force on all live hosts, at most every 2 s and only if changed.
        """
        if not self._is_first_relay:
            return None
        return self._status.take_status(self._clock.monotonic())

    def _published_age(
        self, now: datetime.timedelta
    ) -> datetime.timedelta | None:
        newest = self._collection.newest
        if newest is None or now - newest.published_at > 2 * ACTIVATION_DELAY:
            return None
        return now - newest.published_at
