"""Versions of the health of services, each published by one host."""

import collections.abc
import dataclasses
import datetime

from acaciamoor.balancer.core import messages
import acaciamoor.clock as clocks
import acaciamoor.hashing as hashing
import acaciamoor.model as model
import acaciamoor.placement as placement

# An update is sent several times, because datagrams may be lost and every host
# must receive a version before it takes effect, 2.5 s after its publication.
TRANSMISSIONS = 4
RETRANSMISSION_INTERVAL = datetime.timedelta(milliseconds=400)
# The low bits of a version identify the publisher, so that two hosts that
# both consider themselves leader never publish the same version.
_PUBLISHER_ID_BITS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceHealth:
    """Health of a service's upstreams in this data centre.

    Parameters
    ----------
    version : int
        Health version; 0 before the first change.
    unhealthy : frozenset of UpstreamId
        Upstreams that get no new flows.
    lost : frozenset of UpstreamId
        Dead upstreams, whose flows are refused.
    published_at : datetime.timedelta
        Monotonic time of this host at which the version was published.
    """

    version: int = 0
    unhealthy: frozenset[model.UpstreamId] = frozenset()
    lost: frozenset[model.UpstreamId] = frozenset()
    published_at: datetime.timedelta = datetime.timedelta(0)


@dataclasses.dataclass(slots=True)
class _PendingUpdate:
    transmissions_left: int
    due_at: datetime.timedelta


class HealthTable:
    """Newest health of every service, and updates that are to be sent.

    Parameters
    ----------
    host_id : HostId
        This balancer.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, host_id: model.HostId, clock: clocks.Clock) -> None:
        self._publisher_id = hashing.hash64(host_id) % (
            1 << _PUBLISHER_ID_BITS
        )
        self._clock = clock
        self._health_by_service: dict[model.ServiceId, ServiceHealth] = {}
        self._pending_by_service: dict[model.ServiceId, _PendingUpdate] = {}

    def get(self, service_id: model.ServiceId) -> ServiceHealth:
        """Return the newest known health of a service."""
        return self._health_by_service.get(service_id, ServiceHealth())

    def publish(
        self,
        service_id: model.ServiceId,
        change: placement.HealthChanged,
    ) -> None:
        """Create a new version from a change and schedule its updates."""
        known = self.get(service_id)
        changed = frozenset([change.upstream_id])
        now = self._clock.monotonic()
        counter = (known.version >> _PUBLISHER_ID_BITS) + 1
        self._health_by_service[service_id] = ServiceHealth(
            version=(counter << _PUBLISHER_ID_BITS) + self._publisher_id,
            unhealthy=(
                known.unhealthy - changed
                if change.healthy
                else known.unhealthy | changed
            ),
            lost=known.lost | changed if change.dead else known.lost - changed,
            published_at=now,
        )
        self._pending_by_service[service_id] = _PendingUpdate(
            TRANSMISSIONS, now
        )

    def adopt(self, update: messages.HealthUpdate) -> bool:
        """Apply a peer's update if it is newer; return whether it is."""
        known = self.get(update.service_id)
        published_at = self._clock.monotonic() - update.age
        if update.version == known.version:
            # Of two ages of the same version, the larger one is used.
            earliest = min(known.published_at, published_at)
            self._health_by_service[update.service_id] = dataclasses.replace(
                known, published_at=earliest
            )
        if update.version <= known.version:
            return False
        self._pending_by_service.pop(update.service_id, None)
        self._health_by_service[update.service_id] = ServiceHealth(
            version=update.version,
            unhealthy=frozenset(update.unhealthy),
            lost=frozenset(update.lost),
            published_at=published_at,
        )
        return True

    def update_for(self, service_id: model.ServiceId) -> messages.HealthUpdate:
        """Return the update with the newest health of a service."""
        health = self.get(service_id)
        return messages.HealthUpdate(
            service_id=service_id,
            version=health.version,
            unhealthy=tuple(sorted(health.unhealthy)),
            lost=tuple(sorted(health.lost)),
            age=self._clock.monotonic() - health.published_at,
        )

    def due_updates(self) -> collections.abc.Iterator[messages.HealthUpdate]:
        """Yield the updates that are due to be sent to all live hosts."""
        now = self._clock.monotonic()
        for service_id, pending in list(self._pending_by_service.items()):
            if pending.due_at > now:
                continue
            pending.transmissions_left -= 1
            pending.due_at = now + RETRANSMISSION_INTERVAL
            if not pending.transmissions_left:
                del self._pending_by_service[service_id]
            yield self.update_for(service_id)

    def ejected_counts(self) -> dict[model.ServiceId, int]:
        """Return the number of upstreams that get no new flows, by service."""
        return {
            service_id: len(health.unhealthy | health.lost)
            for service_id, health in self._health_by_service.items()
        }
