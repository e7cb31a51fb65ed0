"""Placers of the services that this host leads, or led."""

import dataclasses
import datetime
import random
import typing

from acaciamoor import clock as clocks
from acaciamoor import hashing
from acaciamoor import model
from acaciamoor import placement

# Records of requests are kept this long after the last attempt, so a placer
# that lost its service is kept as long.
_RETENTION = datetime.timedelta(seconds=30)


class ShardKey(typing.NamedTuple):
    """A service, or a part of a large one."""

    service_id: model.ServiceId
    shard: int


@dataclasses.dataclass(slots=True)
class Leadership:
    """A placer and what it was last told.

    Parameters
    ----------
    placer : Placer
        Queue and slots.
    upstreams : tuple of Upstream
        Upstreams of the shard.
    retired_at : datetime.timedelta or None
        When the service disappeared.
    """

    placer: placement.Placer
    upstreams: tuple[model.Upstream, ...] = ()
    doubted_since: datetime.timedelta | None = None
    retired_at: datetime.timedelta | None = None


class Placers:
    """Chooses the host that leads each shard, and owns this host's placers.

    Parameters
    ----------
    host_id : HostId
        This balancer.
    data_centre : DataCentre
        Whose upstreams are used.
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
        self.leaderships_by_shard: dict[ShardKey, Leadership] = {}
        self._host_id = host_id
        self._data_centre = data_centre
        self._clock = clock
        self._rng = rng
        self._shards_by_service: dict[model.ServiceId, int] = {}
        self._eligible: tuple[model.HostId, ...] = ()
        self._known: tuple[model.HostId, ...] = ()
        self._ranks_by_shard: dict[ShardKey, model.HostId | None] = {}

    def set_members(self, members: model.MembershipView) -> None:
        """Take in the hosts that may lead."""
        leaving = frozenset(members.leaving)
        self._eligible = tuple(
            host for host in members.live if host not in leaving
        )
        self._known = tuple(sorted({*members.live, *leaving}))
        self._ranks_by_shard.clear()

    def shard_of(self, service_id: model.ServiceId, flow: int) -> ShardKey:
        """Return the shard that serves a flow."""
        shards = self._shards_by_service.get(service_id, 1)
        if shards == 1:
            return ShardKey(service_id, 0)
        return ShardKey(service_id, placement.shard_of_flow(flow, shards))

    def leader(self, key: ShardKey) -> model.HostId | None:
        """Return the first host in rank for a shard, None without hosts."""
        if key not in self._ranks_by_shard:
            ranked = hashing.ranked(_rank_key(key), self._eligible, 1)
            self._ranks_by_shard[key] = (
                model.HostId(ranked[0]) if ranked else None
            )
        return self._ranks_by_shard[key]

    def leads(self, key: ShardKey) -> bool:
        """Return whether this host is first in rank for a shard."""
        return self.leader(key) == self._host_id

    def witness(self, key: ShardKey) -> model.HostId | None:
        """Return the host that most likely holds records of a shard.

        A leaving host keeps the rank that it had as the placer, so the
        choice is made among leaving hosts too.
        """
        others = [host for host in self._known if host != self._host_id]
        ranked = hashing.ranked(_rank_key(key), others, 1)
        return model.HostId(ranked[0]) if ranked else None

    def get(self, key: ShardKey, policy: model.Policy) -> Leadership:
        """Return the placer of a shard, a new one if there is none."""
        if key not in self.leaderships_by_shard:
            self.leaderships_by_shard[key] = Leadership(
                placement.Placer(self._clock, self._rng, policy)
            )
        return self.leaderships_by_shard[key]

    def shards_of(self, service: model.Service) -> list[ShardKey]:
        """Return all shards of a service, after its upstreams changed."""
        shards = placement.shard_count(
            len(service.upstreams_in(self._data_centre))
        )
        self._shards_by_service[service.service_id] = shards
        return [ShardKey(service.service_id, shard) for shard in range(shards)]

    def held(self, service_id: model.ServiceId) -> list[ShardKey]:
        """Return the shards of a service that have a placer here."""
        return [
            key
            for key in self.leaderships_by_shard
            if key.service_id == service_id
        ]

    def shard_count(self, service_id: model.ServiceId) -> int | None:
        """Return the shards of a service; None before its first version."""
        return self._shards_by_service.get(service_id)

    def upstreams_of(
        self, key: ShardKey, service: model.Service
    ) -> tuple[model.Upstream, ...]:
        """Return the upstreams that a shard owns."""
        return placement.shard_upstreams(
            service.upstreams_in(self._data_centre),
            key.shard,
            self._shards_by_service[key.service_id],
        )

    @property
    def bound(self) -> int:
        """Requests that an upstream may be running for this host."""
        return sum(
            leadership.placer.bound
            for leadership in self.leaderships_by_shard.values()
        )

    @property
    def queued(self) -> int:
        """Requests that wait at this host."""
        return sum(
            leadership.placer.queued
            for leadership in self.leaderships_by_shard.values()
        )

    def led_upstreams(
        self,
    ) -> dict[model.ServiceId, tuple[model.Upstream, ...]]:
        """Return the upstreams of the shards that this host leads."""
        upstreams_by_service: dict[
            model.ServiceId, tuple[model.Upstream, ...]
        ] = {}
        for key, leadership in self.leaderships_by_shard.items():
            if self.leads(key):
                upstreams_by_service[key.service_id] = (
                    upstreams_by_service.get(key.service_id, ())
                    + leadership.upstreams
                )
        return upstreams_by_service

    def drop_retired(self, now: datetime.timedelta) -> None:
        """Forget placers whose service disappeared a retention ago."""
        for key, leadership in list(self.leaderships_by_shard.items()):
            retired_at = leadership.retired_at
            if retired_at is not None and now - retired_at > _RETENTION:
                del self.leaderships_by_shard[key]


def _rank_key(key: ShardKey) -> int:
    return hashing.hash64(f'placer/{key.service_id}/{key.shard}')
