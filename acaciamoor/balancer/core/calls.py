"""Calls of placers, each after the lease was checked."""

import collections.abc

from acaciamoor.balancer.core import effects
from acaciamoor.balancer.core import placer_effects
from acaciamoor.balancer.core import placers as leaders
from acaciamoor.balancer.core import replies
import acaciamoor.membership as membership
import acaciamoor.placement as placement

Effects = list[effects.Effect]


class PlacerCalls:
    """Calls the placers of this host.

    Parameters
    ----------
    placers : Placers
        The placers.
    table : MembershipTable
        Asked for the lease before every call.
    carrier : Replies
        Carries out what the placers decide.
    """

    def __init__(
        self,
        placers: leaders.Placers,
        table: membership.MembershipTable,
        carrier: replies.Replies,
    ) -> None:
        self._placers = placers
        self._table = table
        self._replies = carrier

    def call(
        self,
        key: leaders.ShardKey,
        action: collections.abc.Callable[
            [placement.Placer], list[placement.Effect]
        ],
    ) -> Effects:
        """Run `action` on the placer of a shard, if there is one.

        The lease and the coverage are brought up to date first.
        """
        leadership = self._placers.leaderships_by_shard.get(key)
        if leadership is None:
            return []
        placer = leadership.placer
        lease = self._placers.leads(key) and self._table.holds_lease()
        done = self.carry_out(key, placer.set_lease(lease))
        doubted_since = self._table.last_disruption_at
        if doubted_since != leadership.doubted_since:
            leadership.doubted_since = doubted_since
            if doubted_since is not None:
                done += self.carry_out(key, placer.set_coverage(doubted_since))
        return done + self.carry_out(key, action(placer))

    def carry_out(
        self, key: leaders.ShardKey, decided: list[placement.Effect]
    ) -> Effects:
        """Return the effects of the balancer for effects of a placer."""
        return [
            effect
            for decision in decided
            for effect in placer_effects.carry_out(
                decision, self._replies, key
            )
        ]
