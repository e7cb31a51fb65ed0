"""Configuration of a host, kept at monotone versions."""

import collections.abc
import datetime
import random

from acaciamoor import clock as clocks
from acaciamoor.configuration import effects
from acaciamoor.configuration import messages
from acaciamoor.model import identifiers
from acaciamoor.model import members
from acaciamoor.model import service as services

ACTIVATION_DELAY = datetime.timedelta(seconds=2.5)

SizeOf = collections.abc.Callable[[messages.ServiceVersion], int]


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
        size_of: SizeOf,
    ) -> None:
        raise NotImplementedError

    @property
    def version(self) -> int:
        """Collection version up to which every change is known."""
        raise NotImplementedError

    @property
    def services_by_id(
        self,
    ) -> collections.abc.Mapping[identifiers.ServiceId, services.Service]:
        """Newest known state of every service that exists."""
        raise NotImplementedError

    @property
    def is_complete(self) -> bool:
        """Whether the host has had a complete configuration since it started.

        A joining host announces itself as a member once this holds.
        """
        raise NotImplementedError

    @property
    def fresh(self) -> bool:
        """Whether a relay confirmed the version within `ACTIVATION_DELAY`."""
        raise NotImplementedError

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
        raise NotImplementedError

    def on_change(self, change: messages.ServiceVersion) -> bool:
        """Take over a change or deletion from the watch; False if not newer.

        The watch must have started at or before `version`.
        """
        raise NotImplementedError

    def on_listing(
        self,
        version: int,
        listed: collections.abc.Iterable[services.Service],
    ) -> None:
        """Take over a complete listing of the platform at `version`.

        An older listing than the known version changes nothing.
        """
        raise NotImplementedError

    def on_watch_alive(self, version: int) -> None:
        """Note that the watch is up to date with the platform at `version`.

        Called for each event, bookmark or other sign of life of the watch.
        """
        raise NotImplementedError

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
        raise NotImplementedError

    def on_message(
        self, sender: identifiers.HostId, message: object
    ) -> list[effects.Send]:
        """Handle a configuration message; other messages have no effect."""
        raise NotImplementedError

    def on_pause(self) -> None:
        """Forget all confirmations after the process was paused."""
        raise NotImplementedError

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
        raise NotImplementedError

    def digest(self) -> messages.ConfigurationDigest:
        """Return the summary that probes carry."""
        raise NotImplementedError

    def delta_since(
        self, digest: messages.ConfigurationDigest
    ) -> messages.Delta | messages.Snapshot | None:
        """Return the first piece that `digest` lacks; None if nothing."""
        raise NotImplementedError

    def snapshot(self, since: int = 0) -> messages.Snapshot:
        """Return the piece of the complete collection after `since`."""
        raise NotImplementedError

    def take_changes(self) -> list[messages.ServiceVersion]:
        """Return the changes adopted since the last call, with their age."""
        raise NotImplementedError

    def version_in_force(self) -> int:
        """Return the highest collection version in force on this host."""
        raise NotImplementedError

    def is_relay(self, view: members.MembershipView) -> bool:
        """Return whether this host watches the platform."""
        raise NotImplementedError

    def take_status(self) -> int | None:
        """Return a version to write to the status object, if one is due.

        Only the first relay gets one: the highest collection version known to
        be in force on all live hosts, at most every 2 s and only if changed.
        """
        raise NotImplementedError
