"""Direct heartbeats with a fixed timeout, as a baseline."""

import dataclasses
import datetime
import random

from acaciamoor import clock as clocks
from acaciamoor import configuration
from acaciamoor import membership
from acaciamoor import model

HEARTBEAT_PERIOD = datetime.timedelta(milliseconds=500)
# The same time in which the system detects a dead host.
HEARTBEAT_TIMEOUT = datetime.timedelta(seconds=2)


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Tells a host that the sender is alive."""

    digest: configuration.ConfigurationDigest


class NaiveMembership:
    """Every host sends a heartbeat to every other host.

    There are no indirect probes, no suspicion, no incarnations and no lease:
    a host that is silent for `HEARTBEAT_TIMEOUT` is dead, and a host always
    believes in itself. Takes the arguments of `MembershipTable`.
    """

    def __init__(
        self,
        host_id: model.HostId,
        clock: clocks.Clock,
        rng: random.Random,
        peer: membership.LocalConfiguration,
    ) -> None:
        self._host_id = host_id
        self._clock = clock
        self._peer = peer
        self._hosts: frozenset[model.HostId] = frozenset()
        self._heard_at_by_id: dict[model.HostId, datetime.timedelta] = {}
        self._next_at = clock.monotonic() + rng.random() * HEARTBEAT_PERIOD
        self._view = model.MembershipView(0, (), (), False, False)

    last_disruption_at = None

    def on_host_list(self, hosts: membership.HostList) -> None:
        """Follow the platform's list."""
        self._hosts = hosts.live

    def on_message(
        self, sender: model.HostId, message: object
    ) -> list[configuration.Send]:
        """Note a heartbeat."""
        if not isinstance(message, Heartbeat):
            return []
        now = self._clock.monotonic()
        self._heard_at_by_id[sender] = now
        return self._peer.on_digest(sender, message.digest, now)

    def tick(self) -> list[configuration.Send]:
        """Send heartbeats once a period."""
        now = self._clock.monotonic()
        if now < self._next_at:
            return []
        self._next_at = max(self._next_at + HEARTBEAT_PERIOD, now)
        heartbeat = Heartbeat(self._peer.digest())
        return [
            configuration.Send(host_id, heartbeat)
            for host_id in sorted(self._hosts - {self._host_id})
        ]

    def view(self) -> model.MembershipView:
        """Return the hosts that were heard within the timeout."""
        since = self._clock.monotonic() - HEARTBEAT_TIMEOUT
        live = {
            host_id
            for host_id, heard_at in self._heard_at_by_id.items()
            if heard_at > since
        }
        live.add(self._host_id)
        hosts = tuple(sorted(live))
        quorum = 2 * len(live & self._hosts) > len(self._hosts)
        known = self._view
        if (known.live, known.quorum) != (hosts, quorum):
            self._view = model.MembershipView(
                known.version + 1, hosts, (), quorum, True
            )
        return self._view

    def holds_lease(self) -> bool:
        """Return True: there is no lease."""
        return True

    def has_target_in_force(self, host_id: model.HostId) -> bool:
        """Return True: nothing is known of other hosts."""
        return True
