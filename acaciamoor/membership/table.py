"""Members of the data centre as this host sees them."""

import collections.abc
import dataclasses
import datetime
import random
import typing

from acaciamoor import clock as clocks
from acaciamoor import configuration
from acaciamoor import model


@dataclasses.dataclass(frozen=True, slots=True)
class HostList:
    """The platform's lagging list of the data centre's hosts.

    Parameters
    ----------
    live, leaving : frozenset of HostId
        Hosts in service and hosts that are being taken out of service.
    """

    live: frozenset[model.HostId]
    leaving: frozenset[model.HostId] = frozenset()


class ConfigurationPeer(typing.Protocol):
    """What the table needs of the configuration; see `ConfigurationStore`."""

    @property
    def fresh(self) -> bool:
        """Whether the configuration was confirmed recently."""

    @property
    def is_complete(self) -> bool:
        """Whether the host may announce itself as a member."""

    def digest(self) -> configuration.ConfigurationDigest:
        """Return the summary that probes carry."""

    def on_digest(
        self,
        sender: model.HostId,
        digest: configuration.ConfigurationDigest,
        heard_at: datetime.timedelta | None,
    ) -> list[configuration.Send]:
        """Handle the summary of a peer."""

    def on_pause(self) -> None:
        """Forget confirmations after a pause of the process."""


class MembershipTable:
    """Failure detection, quorum and the local lease of one host.

    Parameters
    ----------
    host_id : HostId
        This host.
    clock : Clock
        Monotonic time; the wall clock only seeds the incarnation number.
    rng : random.Random
        Source of random choices.
    peer : ConfigurationPeer
        The host's configuration, whose digest travels in probes.
    """

    def __init__(
        self,
        host_id: model.HostId,
        clock: clocks.Clock,
        rng: random.Random,
        peer: ConfigurationPeer,
    ) -> None:
        raise NotImplementedError

    def on_host_list(self, hosts: HostList) -> None:
        """Take over the platform's list: whom to probe and what a quorum is.

        A listed host becomes a member when it answers, not before.
        """
        raise NotImplementedError

    def on_message(
        self, sender: model.HostId, message: object
    ) -> list[configuration.Send]:
        """Handle a probe or an answer; other messages have no effect."""
        raise NotImplementedError

    def tick(self) -> list[configuration.Send]:
        """Probe and judge; call every 50 ms (`TICK`)."""
        raise NotImplementedError

    def view(self) -> model.MembershipView:
        """Return the members; the same object while nothing changed."""
        raise NotImplementedError

    def leave(self) -> list[configuration.Send]:
        """Announce that this host takes no new roles; it goes on probing."""
        raise NotImplementedError

    def exit(self) -> list[configuration.Send]:
        """Announce that this host is gone; call last."""
        raise NotImplementedError

    def holds_lease(self) -> bool:
        """Return whether this host heard from a quorum within 1.5 s.

        A paused, suspected or dead-declared host has no lease until it has
        refuted and heard from a quorum again.
        """
        raise NotImplementedError

    @property
    def doubted_since(self) -> datetime.timedelta | None:
        """Monotonic time of the last suspicion, death report or pause.

        None if there was none since the start. For the coverage rule: the
        ledger of this host reaches back to this time at most.
        """
        raise NotImplementedError

    def confirms(self, host_id: model.HostId) -> bool:
        """Return whether a host is known to have the target in force."""
        raise NotImplementedError

    def suspects(self) -> collections.abc.Set[model.HostId]:
        """Return the members that are suspected at present."""
        raise NotImplementedError
