"""Simulated fleets of control planes, and monitors of their invariants."""

import collections
import datetime
import os
import random

import hypothesis

from acaciamoor import clock as clocks
from acaciamoor import configuration
from acaciamoor.harness import control
from acaciamoor.hashing import rendezvous
from acaciamoor.membership import messages
from acaciamoor.membership import table as tables
from acaciamoor.model import identifiers

# Time for which a new placer waits before it binds requests.
SETTLE_TIME = datetime.timedelta(seconds=1)
PLACER_KEY = rendezvous.hash64('placer of order-desk')


def fuzz_settings(examples: int, steps: int) -> hypothesis.settings:
    """Return short deterministic settings, or those of the long profile."""
    is_long = os.environ.get('ACACIAMOOR_FUZZ_PROFILE') == 'long'
    return hypothesis.settings(
        max_examples=examples * (20 if is_long else 1),
        stateful_step_count=steps * (2 if is_long else 1),
        derandomize=not is_long,
        deadline=None,
        database=None,
        # Shrinking a run of many hosts takes minutes, and the seed suffices to
        # reproduce it.
        phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
        suppress_health_check=list(hypothesis.HealthCheck),
    )


def fleet(
    count: int = 8,
    seed: int = 7,
    is_naive: bool = False,
    link: object = None,
    seconds: float = 4.0,
) -> control.ControlFleet:
    """Return a fleet that has reached a steady state."""
    built = control.ControlFleet(count, seed, link, is_naive)
    built.warm_up()
    built.run(seconds)
    return built


def distinct_live_sets(
    built: control.ControlFleet,
) -> set[tuple[identifiers.HostId, ...]]:
    """Return the distinct sets of live hosts in the views of all hosts."""
    return {node.table.view().live for node in built.nodes_by_id.values()}


def table_and_first_probe(
    clock: clocks.ManualClock,
) -> tuple[tables.MembershipTable, messages.Probe]:
    """Return the table of host ``a`` out of three, and its first probe."""
    rng = random.Random(7)
    host_id = identifiers.HostId('a')
    store = configuration.ConfigurationStore(
        host_id, clock, rng, lambda change: 100
    )
    table = tables.MembershipTable(host_id, clock, rng, store)
    table.on_host_list(tables.HostList(frozenset('abc')))
    (send,) = table.tick()
    return table, send.message


def probe_ack(
    probe: messages.Probe,
    host_id: str,
    updates: tuple[messages.MemberUpdate, ...] = (),
) -> messages.ProbeAck:
    """Return an answer in which all three hosts have an age of zero."""
    member = messages.MemberUpdate(
        identifiers.HostId(host_id),
        1,
        messages.Phase.ACTIVE,
        messages.Health.ALIVE,
    )
    return messages.ProbeAck(
        probe.sequence,
        member,
        updates,
        digest=configuration.ConfigurationDigest(0),
        round_trip_ages=messages.RoundTripAges(probe.host_list_hash, bytes(3)),
    )


class PlacerMonitor:
    """Detects hosts that act as placer of the same service concurrently.

    A host acts as placer if it has ranked first in its own view for the settle
    time and holds its lease. The monitor also detects hosts that act as placer
    while most hosts consider them dead.

    Parameters
    ----------
    built : ControlFleet
        Fleet to monitor.
    """

    def __init__(self, built: control.ControlFleet) -> None:
        self._fleet = built
        self._first_since_by_id: dict[
            identifiers.HostId, datetime.timedelta
        ] = {}
        self._acted_at_by_id: dict[identifiers.HostId, datetime.timedelta] = {}
        self._dead_since: dict[
            tuple[identifiers.HostId, identifiers.HostId], datetime.timedelta
        ] = {}
        self.overlaps: collections.Counter = collections.Counter()
        self.acting_while_declared_dead: collections.Counter = (
            collections.Counter()
        )
        built.observers.append(self._observe)

    def _observe(self, node: control.Node) -> None:
        now = self._fleet.clock.monotonic()
        live = node.table.view().live
        self._update_dead_since(node.host_id, live, now)
        if rendezvous.ranked(PLACER_KEY, live, 1) != (node.host_id,):
            self._first_since_by_id.pop(node.host_id, None)
            return
        since = self._first_since_by_id.setdefault(node.host_id, now)
        if now - since < SETTLE_TIME or not node.table.holds_lease():
            return
        if 2 * self._count_death_observers(node.host_id, now) > len(
            self._fleet.host_ids
        ):
            self.acting_while_declared_dead[node.host_id] += 1
        self._acted_at_by_id[node.host_id] = now
        for other, acted_at in self._acted_at_by_id.items():
            if other != node.host_id and now - acted_at < tables.TICK_PERIOD:
                self.overlaps[(other, node.host_id)] += 1

    def _update_dead_since(
        self,
        observer: identifiers.HostId,
        live: tuple[identifiers.HostId, ...],
        now: datetime.timedelta,
    ) -> None:
        for host_id in self._fleet.host_ids:
            if host_id in live:
                self._dead_since.pop((observer, host_id), None)
            else:
                self._dead_since.setdefault((observer, host_id), now)

    def _count_death_observers(
        self, host_id: identifiers.HostId, now: datetime.timedelta
    ) -> int:
        return sum(
            dead == host_id and now - since >= SETTLE_TIME
            for (observer, dead), since in self._dead_since.items()
            if observer in self._fleet.nodes_by_id
        )
