"""Health versions of the services, published by their placers."""

import collections.abc
import dataclasses
import datetime

from acaciamoor.balancer.core import messages
import acaciamoor.clock as clocks
import acaciamoor.hashing as hashing
import acaciamoor.model as model
import acaciamoor.placement as placement

# A publication is repeated, because datagrams may be lost and every host must
# know a version before it takes effect 2.5 s after its publication.
REPETITIONS = 4
REPETITION_INTERVAL = datetime.timedelta(milliseconds=400)
# The low bits of a version name the publisher, so that two placers that do
# not know of each other never publish the same version.
_PUBLISHER_BITS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceHealth:
    """Health of a service's upstreams in this data centre.

    Parameters
    ----------
    version : int
        Health version; 0 before the first judgement.
    unhealthy, lost : frozenset of UpstreamId
        Upstreams without new flows, and those whose flows are refused.
    published : datetime.timedelta
        Monotonic time of this host at which the version was published.
    """

    version: int = 0
    unhealthy: frozenset[model.UpstreamId] = frozenset()
    lost: frozenset[model.UpstreamId] = frozenset()
    published: datetime.timedelta = datetime.timedelta(0)


@dataclasses.dataclass(slots=True)
class _Repetition:
    left: int
    due: datetime.timedelta


class HealthBoard:
    """Newest health of every service, and what is to be published.

    Parameters
    ----------
    host_id : HostId
        This balancer.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, host_id: model.HostId, clock: clocks.Clock) -> None:
        self._publisher = hashing.hash64(host_id) % (1 << _PUBLISHER_BITS)
        self._clock = clock
        self._health_by_service: dict[model.ServiceId, ServiceHealth] = {}
        self._repetitions_by_service: dict[model.ServiceId, _Repetition] = {}

    def get(self, service_id: model.ServiceId) -> ServiceHealth:
        """Return the newest known health of a service."""
        return self._health_by_service.get(service_id, ServiceHealth())

    def judge(
        self,
        service_id: model.ServiceId,
        change: placement.HealthChanged,
    ) -> None:
        """Publish a new version with the judgement of a placer."""
        known = self.get(service_id)
        only = frozenset([change.upstream_id])
        now = self._clock.monotonic()
        counter = (known.version >> _PUBLISHER_BITS) + 1
        self._health_by_service[service_id] = ServiceHealth(
            version=(counter << _PUBLISHER_BITS) + self._publisher,
            unhealthy=(
                known.unhealthy - only
                if change.healthy
                else known.unhealthy | only
            ),
            lost=known.lost | only if change.dead else known.lost - only,
            published=now,
        )
        self._repetitions_by_service[service_id] = _Repetition(
            REPETITIONS, now
        )

    def adopt(self, update: messages.HealthUpdate) -> bool:
        """Take over a peer's update; return whether it is newer."""
        known = self.get(update.service_id)
        published = self._clock.monotonic() - update.age
        if update.version == known.version:
            # Of two ages of the same version the larger one counts.
            earliest = min(known.published, published)
            self._health_by_service[update.service_id] = dataclasses.replace(
                known, published=earliest
            )
        if update.version <= known.version:
            return False
        self._repetitions_by_service.pop(update.service_id, None)
        self._health_by_service[update.service_id] = ServiceHealth(
            version=update.version,
            unhealthy=frozenset(update.unhealthy),
            lost=frozenset(update.lost),
            published=published,
        )
        return True

    def update_for(self, service_id: model.ServiceId) -> messages.HealthUpdate:
        """Return the message that tells a peer the newest health."""
        health = self.get(service_id)
        return messages.HealthUpdate(
            service_id=service_id,
            version=health.version,
            unhealthy=tuple(sorted(health.unhealthy)),
            lost=tuple(sorted(health.lost)),
            age=self._clock.monotonic() - health.published,
        )

    def due(self) -> collections.abc.Iterator[messages.HealthUpdate]:
        """Yield the updates that are to be sent to all live hosts now."""
        now = self._clock.monotonic()
        for service_id, repetition in list(
            self._repetitions_by_service.items()
        ):
            if repetition.due > now:
                continue
            repetition.left -= 1
            repetition.due = now + REPETITION_INTERVAL
            if not repetition.left:
                del self._repetitions_by_service[service_id]
            yield self.update_for(service_id)

    def ejected(self) -> dict[model.ServiceId, int]:
        """Return the number of upstreams without new flows by service."""
        return {
            service_id: len(health.unhealthy | health.lost)
            for service_id, health in self._health_by_service.items()
        }
