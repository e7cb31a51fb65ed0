"""Calls of placers, each preceded by a check of the lease."""

import collections.abc

from acaciamoor.balancer.core import effects
from acaciamoor.balancer.core import placer_effects
from acaciamoor.balancer.core import placer_registry
from acaciamoor.balancer.core import request_effects
import acaciamoor.membership as membership
import acaciamoor.placement as placement

Effects = list[effects.Effect]


class PlacerInvoker:
    """Calls the placers of this host with an up-to-date lease and coverage.

    Parameters
    ----------
    placers : PlacerRegistry
        Placers of this host.
    table : MembershipTable
        Provides the lease and the time of the last disruption.
    effect_builder : RequestEffectBuilder
        Builds the effects of the balancer.
    """

    def __init__(
        self,
        placers: placer_registry.PlacerRegistry,
        table: membership.MembershipTable,
        effect_builder: request_effects.RequestEffectBuilder,
    ) -> None:
        self._placers = placers
        self._table = table
        self._effect_builder = effect_builder

    def call(
        self,
        key: placer_registry.ShardKey,
        action: collections.abc.Callable[
            [placement.Placer], list[placement.Effect]
        ],
    ) -> Effects:
        """Run `action` on the placer of a shard, if there is one.

        The lease and the coverage of the placer are updated first.
        """
        entry = self._placers.entries_by_shard.get(key)
        if entry is None:
            return []
        placer = entry.placer
        holds_lease = self._placers.leads(key) and self._table.holds_lease()
        produced = self.carry_out(key, placer.set_lease(holds_lease))
        last_disruption_at = self._table.last_disruption_at
        if last_disruption_at != entry.last_disruption_at:
            entry.last_disruption_at = last_disruption_at
            if last_disruption_at is not None:
                produced += self.carry_out(
                    key, placer.set_coverage(last_disruption_at)
                )
        return produced + self.carry_out(key, action(placer))

    def carry_out(
        self, key: placer_registry.ShardKey, decisions: list[placement.Effect]
    ) -> Effects:
        """Return the effects of the balancer for effects of a placer."""
        return [
            effect
            for decision in decisions
            for effect in placer_effects.carry_out(
                decision, self._effect_builder, key
            )
        ]
