"""Services and the placers that this host runs for them."""

import collections.abc
import datetime

from acaciamoor.balancer.core import calls as placer_calls
from acaciamoor.balancer.core import effects
from acaciamoor.balancer.core import placers as leaders
import acaciamoor.clock as clocks
import acaciamoor.model as model

Effects = list[effects.Effect]
# Time in which all hosts learn of a version that changes the shards.
RESHARDING_TIME = datetime.timedelta(seconds=2.5)


class ServiceAssignments:
    """Keeps the placers of this host in step with services and members.

    Parameters
    ----------
    placers : Placers
        The placers.
    calls : PlacerCalls
        Runs actions on placers.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(
        self,
        placers: leaders.Placers,
        calls: placer_calls.PlacerCalls,
        clock: clocks.Clock,
    ) -> None:
        self.services_by_id: dict[model.ServiceId, model.Service] = {}
        self._placers = placers
        self._calls = calls
        self._clock = clock

    def set_members(self, members: model.MembershipView) -> Effects:
        """Take in the hosts and lead what falls to this host."""
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

    def remove_service(self, service_id: model.ServiceId) -> Effects:
        """Stop new work of a deleted service."""
        self.services_by_id.pop(service_id, None)
        return self._retire(self._placers.held(service_id))

    def ensure_placer(self, key: leaders.ShardKey) -> None:
        """Create the placer of a shard if there is none."""
        if key in self._placers.leaderships_by_shard:
            return
        service = self.services_by_id[key.service_id]
        leadership = self._placers.get(key, service.policy)
        leadership.upstreams = self._placers.upstreams_of(key, service)
        self._calls.call(
            key, lambda placer: placer.set_upstreams(leadership.upstreams)
        )

    def _apply(self, service: model.Service) -> Effects:
        done = self._reshard(service)
        for key in self._placers.shards_of(service):
            known = key in self._placers.leaderships_by_shard
            if not known and not self._placers.leads(key):
                continue
            leadership = self._placers.get(key, service.policy)
            upstreams = self._placers.upstreams_of(key, service)
            leadership.upstreams = upstreams
            leadership.retired_at = None
            done += self._calls.call(
                key, lambda placer: placer.set_policy(service.policy)
            )
            done += self._calls.call(
                key,
                lambda placer, given=upstreams: placer.set_upstreams(given),
            )
        return done

    def _reshard(self, service: model.Service) -> Effects:
        """Follow a change of the number of shards.

        Another shard may have run the first attempt of a request that is
        sent again, so the absence of a record proves nothing for requests
        from before the change.
        """
        previous = self._placers.shard_count(service.service_id)
        keys = self._placers.shards_of(service)
        if previous is None or previous == len(keys):
            return []
        held = self._placers.held(service.service_id)
        since = self._clock.monotonic() + RESHARDING_TIME
        done = self._retire(key for key in held if key not in keys)
        for key in held:
            done += self._calls.call(key, lambda p: p.set_coverage(since))
        return done

    def _retire(
        self, keys: collections.abc.Iterable[leaders.ShardKey]
    ) -> Effects:
        done: Effects = []
        for key in keys:
            leadership = self._placers.leaderships_by_shard[key]
            if leadership.retired_at is None:
                leadership.retired_at = self._clock.monotonic()
            leadership.upstreams = ()
            done += self._calls.carry_out(
                key, leadership.placer.set_upstreams(())
            )
        return done
