"""Keeps the placers of this host consistent with services and members."""

import collections.abc
import dataclasses
import datetime

from acaciamoor.balancer.core import effects
from acaciamoor.balancer.core import placer_invoker
from acaciamoor.balancer.core import placer_registry
import acaciamoor.clock as clocks
import acaciamoor.model as model

Effects = list[effects.Effect]
# Time within which all hosts apply a version that changes the shards.
RESHARDING_TIME = datetime.timedelta(seconds=2.5)


class PlacerManager:
    """Creates, updates and retires the placers of this host.

    Parameters
    ----------
    placers : PlacerRegistry
        Placers of this host, and the leader of each shard.
    invoker : PlacerInvoker
        Calls the placers.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(
        self,
        placers: placer_registry.PlacerRegistry,
        invoker: placer_invoker.PlacerInvoker,
        clock: clocks.Clock,
    ) -> None:
        self.services_by_id: dict[model.ServiceId, model.Service] = {}
        self._placers = placers
        self._placer_invoker = invoker
        self._clock = clock
        self._is_evacuated = False

    def set_members(self, members: model.MembershipView) -> Effects:
        """Replace the members; create placers of shards this host leads."""
        self._placers.set_members(members)
        return [
            effect
            for service in self.services_by_id.values()
            for effect in self._apply(service)
        ]

    def set_service(self, service: model.Service) -> Effects:
        """Apply a version of a service at once, without activation delay."""
        self.services_by_id[service.service_id] = service
        return self._apply(service)

    def set_evacuated(self, evacuated: bool) -> Effects:
        """Stop binding requests, or bind them again.

        Requests that run are not affected.
        """
        self._is_evacuated = evacuated
        return [
            effect
            for service in self.services_by_id.values()
            for effect in self._apply(service)
        ]

    def remove_service(self, service_id: model.ServiceId) -> Effects:
        """Stop binding requests of a deleted service."""
        self.services_by_id.pop(service_id, None)
        return self._retire(self._placers.local_shards(service_id))

    def ensure_placer(self, key: placer_registry.ShardKey) -> None:
        """Create the placer of a shard if there is none."""
        if key in self._placers.entries_by_shard:
            return
        service = self.services_by_id[key.service_id]
        entry = self._placers.get_or_create(key, service.policy)
        entry.upstreams = self._upstreams_of(key, service)
        self._placer_invoker.call(
            key, lambda placer: placer.set_upstreams(entry.upstreams)
        )

    def _apply(self, service: model.Service) -> Effects:
        produced = self._apply_resharding(service)
        for key in self._placers.update_shards(service):
            exists = key in self._placers.entries_by_shard
            if not exists and not self._placers.leads(key):
                continue
            entry = self._placers.get_or_create(key, service.policy)
            upstreams = self._upstreams_of(key, service)
            entry.upstreams = upstreams
            entry.retired_at = None
            produced += self._placer_invoker.call(
                key, lambda placer: placer.set_policy(service.policy)
            )
            produced += self._placer_invoker.call(
                key,
                lambda placer, new=upstreams: placer.set_upstreams(new),
            )
        return produced

    def _upstreams_of(
        self, key: placer_registry.ShardKey, service: model.Service
    ) -> tuple[model.Upstream, ...]:
        upstreams = self._placers.upstreams_of(key, service)
        if not self._is_evacuated:
            return upstreams
        draining = model.UpstreamState.DRAINING
        return tuple(
            dataclasses.replace(upstream, state=draining)
            for upstream in upstreams
        )

    def _apply_resharding(self, service: model.Service) -> Effects:
        """Apply a change of the number of shards.

        The first attempt of a retransmitted request may have run in another
        shard. Therefore, the absence of a record doesn't prove that a request
        from before the change has not run.
        """
        previous = self._placers.shard_count(service.service_id)
        keys = self._placers.update_shards(service)
        if previous is None or previous == len(keys):
            return []
        local_shards = self._placers.local_shards(service.service_id)
        covered_since = self._clock.monotonic() + RESHARDING_TIME
        produced = self._retire(key for key in local_shards if key not in keys)
        for key in local_shards:
            produced += self._placer_invoker.call(
                key, lambda p: p.set_coverage(covered_since)
            )
        return produced

    def _retire(
        self, keys: collections.abc.Iterable[placer_registry.ShardKey]
    ) -> Effects:
        produced: Effects = []
        for key in keys:
            entry = self._placers.entries_by_shard[key]
            if entry.retired_at is None:
                entry.retired_at = self._clock.monotonic()
            entry.upstreams = ()
            produced += self._placer_invoker.carry_out(
                key, entry.placer.set_upstreams(())
            )
        return produced
