"""Baseline: membership by direct heartbeats with a fixed timeout."""

import dataclasses
import datetime
import random

from acaciamoor import clock as clocks
from acaciamoor import configuration
from acaciamoor import membership
from acaciamoor import model

HEARTBEAT_PERIOD = datetime.timedelta(milliseconds=500)
# Equal to the time in which `MembershipTable` detects a dead host.
HEARTBEAT_TIMEOUT = datetime.timedelta(seconds=2)


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Tells a host that the sender is live."""

    digest: configuration.ConfigurationDigest


class NaiveMembership:
    """Every host sends a heartbeat to every other host.

    There are no indirect probes, no suspicion, no incarnations and no lease: a
    host that sends no heartbeat for `HEARTBEAT_TIMEOUT` is considered dead,
    and a host always considers itself live. The constructor has the parameters
    of `MembershipTable`.
    """

    def __init__(
        self,
        host_id: model.HostId,
        clock: clocks.Clock,
        rng: random.Random,
        store: membership.LocalConfiguration,
    ) -> None:
        self._host_id = host_id
        self._clock = clock
        self._store = store
        self._listed_hosts: frozenset[model.HostId] = frozenset()
        self._heartbeat_at_by_id: dict[model.HostId, datetime.timedelta] = {}
        self._next_heartbeat_at = (
            clock.monotonic() + rng.random() * HEARTBEAT_PERIOD
        )
        self._view = model.MembershipView(0, (), (), False, False)

    last_disruption_at = None

    def on_host_list(self, hosts: membership.HostList) -> None:
        """Replace the host list of the platform."""
        self._listed_hosts = hosts.live

    def on_message(
        self, sender: model.HostId, message: object
    ) -> list[configuration.Send]:
        """Record the time of a heartbeat and handle its digest."""
        if not isinstance(message, Heartbeat):
            return []
        now = self._clock.monotonic()
        self._heartbeat_at_by_id[sender] = now
        return self._store.on_digest(sender, message.digest, now)

    def tick(self) -> list[configuration.Send]:
        """Return heartbeats to all other hosts, once per period."""
        now = self._clock.monotonic()
        if now < self._next_heartbeat_at:
            return []
        self._next_heartbeat_at = max(
            self._next_heartbeat_at + HEARTBEAT_PERIOD, now
        )
        heartbeat = Heartbeat(self._store.digest())
        return [
            configuration.Send(host_id, heartbeat)
            for host_id in sorted(self._listed_hosts - {self._host_id})
        ]

    def view(self) -> model.MembershipView:
        """Return the hosts that sent a heartbeat within the timeout."""
        oldest = self._clock.monotonic() - HEARTBEAT_TIMEOUT
        live = {
            host_id
            for host_id, received_at in self._heartbeat_at_by_id.items()
            if received_at > oldest
        }
        live.add(self._host_id)
        hosts = tuple(sorted(live))
        quorum = 2 * len(live & self._listed_hosts) > len(self._listed_hosts)
        previous = self._view
        if (previous.live, previous.quorum) != (hosts, quorum):
            self._view = model.MembershipView(
                previous.version + 1, hosts, (), quorum, True
            )
        return self._view

    def holds_lease(self) -> bool:
        """Return True: there is no lease."""
        return True

    def has_target_in_force(self, host_id: model.HostId) -> bool:
        """Return True: the state of other hosts is unknown."""
        return True
