"""Leaders of the shards, and the placers of this host."""

import dataclasses
import datetime
import random
import typing

from acaciamoor import clock as clocks
from acaciamoor import hashing
from acaciamoor import model
from acaciamoor import placement

# Placers keep the record of a request for this time after the last attempt, so
# a placer whose service was deleted is kept as long.
_RECORD_RETENTION = datetime.timedelta(seconds=30)


class ShardKey(typing.NamedTuple):
    """Identifier of a service, or of one shard of a large service."""

    service_id: model.ServiceId
    shard: int


@dataclasses.dataclass(slots=True)
class PlacerEntry:
    """A placer of this host and its latest inputs.

    Parameters
    ----------
    placer : Placer
        Binds the requests of the shard.
    upstreams : tuple of Upstream
        Upstreams of the shard.
    last_disruption_at : datetime.timedelta or None
        Time of the disruption that its coverage takes into account.
    retired_at : datetime.timedelta or None
        Time at which the service was deleted or the shard was removed.
    """

    placer: placement.Placer
    upstreams: tuple[model.Upstream, ...] = ()
    last_disruption_at: datetime.timedelta | None = None
    retired_at: datetime.timedelta | None = None


class PlacerRegistry:
    """Selects the leader of each shard and owns the placers of this host.

    The leader of a shard is the host whose placer binds its requests. Other
    hosts may still have a placer of the shard, which keeps its records.

    Parameters
    ----------
    host_id : HostId
        This balancer.
    data_centre : DataCentre
        Data centre whose upstreams are used.
    clock : Clock
        Source of monotonic time.
    rng : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        host_id: model.HostId,
        data_centre: model.DataCentre,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self.entries_by_shard: dict[ShardKey, PlacerEntry] = {}
        self._host_id = host_id
        self._data_centre = data_centre
        self._clock = clock
        self._rng = rng
        self._shard_counts_by_service: dict[model.ServiceId, int] = {}
        self._eligible_hosts: tuple[model.HostId, ...] = ()
        self._known_hosts: tuple[model.HostId, ...] = ()
        self._leaders_by_shard: dict[ShardKey, model.HostId | None] = {}

    def set_members(self, members: model.MembershipView) -> None:
        """Replace the members, which determine the leaders."""
        leaving = frozenset(members.leaving)
        self._eligible_hosts = tuple(
            host for host in members.live if host not in leaving
        )
        self._known_hosts = tuple(sorted({*members.live, *leaving}))
        self._leaders_by_shard.clear()

    def shard_of(self, service_id: model.ServiceId, flow: int) -> ShardKey:
        """Return the shard that serves a flow."""
        shards = self._shard_counts_by_service.get(service_id, 1)
        if shards == 1:
            return ShardKey(service_id, 0)
        return ShardKey(service_id, placement.shard_of_flow(flow, shards))

    def leader(self, key: ShardKey) -> model.HostId | None:
        """Return the leader of a shard, or None without eligible hosts."""
        if key not in self._leaders_by_shard:
            ranked = hashing.ranked(_rank_key(key), self._eligible_hosts, 1)
            self._leaders_by_shard[key] = (
                model.HostId(ranked[0]) if ranked else None
            )
        return self._leaders_by_shard[key]

    def leads(self, key: ShardKey) -> bool:
        """Return whether this host is the leader of a shard."""
        return self.leader(key) == self._host_id

    def likely_record_holder(self, key: ShardKey) -> model.HostId | None:
        """Return the host that most likely holds records of a shard.

        This is the highest-ranked other host, including leaving hosts, since
        a leaving leader still has its records.
        """
        others = [host for host in self._known_hosts if host != self._host_id]
        ranked = hashing.ranked(_rank_key(key), others, 1)
        return model.HostId(ranked[0]) if ranked else None

    def get_or_create(
        self, key: ShardKey, policy: model.Policy
    ) -> PlacerEntry:
        """Return the entry of a shard; create it if there is none."""
        if key not in self.entries_by_shard:
            self.entries_by_shard[key] = PlacerEntry(
                placement.Placer(self._clock, self._rng, policy)
            )
        return self.entries_by_shard[key]

    def update_shards(self, service: model.Service) -> list[ShardKey]:
        """Recompute and return the shards of a service."""
        shards = placement.shard_count(
            len(service.upstreams_in(self._data_centre))
        )
        self._shard_counts_by_service[service.service_id] = shards
        return [ShardKey(service.service_id, shard) for shard in range(shards)]

    def local_shards(self, service_id: model.ServiceId) -> list[ShardKey]:
        """Return the shards of a service that have a placer on this host."""
        return [
            key
            for key in self.entries_by_shard
            if key.service_id == service_id
        ]

    def shard_count(self, service_id: model.ServiceId) -> int | None:
        """Return the number of shards, or None for an unknown service."""
        return self._shard_counts_by_service.get(service_id)

    def upstreams_of(
        self, key: ShardKey, service: model.Service
    ) -> tuple[model.Upstream, ...]:
        """Return the upstreams that a shard owns."""
        return placement.shard_upstreams(
            service.upstreams_in(self._data_centre),
            key.shard,
            self._shard_counts_by_service[key.service_id],
        )

    @property
    def bound(self) -> int:
        """Number of requests that an upstream may be running."""
        return sum(
            entry.placer.bound for entry in self.entries_by_shard.values()
        )

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot on this host."""
        return sum(
            entry.placer.queued for entry in self.entries_by_shard.values()
        )

    def led_upstreams(
        self,
    ) -> dict[model.ServiceId, tuple[model.Upstream, ...]]:
        """Return the upstreams of the shards that this host leads."""
        upstreams_by_service: dict[
            model.ServiceId, tuple[model.Upstream, ...]
        ] = {}
        for key, entry in self.entries_by_shard.items():
            if self.leads(key):
                upstreams_by_service[key.service_id] = (
                    upstreams_by_service.get(key.service_id, ())
                    + entry.upstreams
                )
        return upstreams_by_service

    def remove_retired(self, now: datetime.timedelta) -> None:
        """Remove placers that were retired longer ago than the retention."""
        for key, entry in list(self.entries_by_shard.items()):
            retired_at = entry.retired_at
            if retired_at is not None and now - retired_at > _RECORD_RETENTION:
                del self.entries_by_shard[key]


def _rank_key(key: ShardKey) -> int:
    return hashing.hash64(f'placer/{key.service_id}/{key.shard}')
