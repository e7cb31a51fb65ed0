"""Fuzz test of membership with up to two concurrent random faults."""

import unittest

from hypothesis import stateful
from hypothesis import strategies

from acaciamoor import harness
from acaciamoor import hashing
from acaciamoor.membership.tests import builders

HOSTS = 7
MAX_FAULTS = 2
HOST = strategies.integers(min_value=0, max_value=HOSTS - 1)
CONVERGENCE_SECONDS = 9


class MembershipMachine(stateful.RuleBasedStateMachine):
    """State machine that kills, pauses, partitions and restarts hosts."""

    is_naive = False

    def __init__(self):
        super().__init__()
        self.fleet = builders.fleet(HOSTS, is_naive=self.is_naive)
        self.monitor = builders.PlacerMonitor(self.fleet)
        self.undo_by_fault = {}
        # Hosts in placer rank order: low indexes, which are drawn more often,
        # select the placers.
        self.ranked_ids = hashing.ranked(
            builders.PLACER_KEY, self.fleet.host_ids, HOSTS
        )

    def _add(self, fault, undo):
        self.undo_by_fault[fault] = undo
        self.fleet.run(1)

    def _can_add(self, index):
        used = {fault[1] for fault in self.undo_by_fault}
        return len(self.undo_by_fault) < MAX_FAULTS and index not in used

    @stateful.rule(index=HOST)
    def kill(self, index):
        if self._can_add(index):
            host_id = self.ranked_ids[index]
            self.fleet.kill(host_id)
            self._add(('kill', index), lambda: self.fleet.start(host_id))

    @stateful.rule(index=HOST)
    def restart(self, index):
        if self._can_add(index):
            host_id = self.ranked_ids[index]
            self.fleet.kill(host_id)
            self.fleet.start(host_id)

    @stateful.rule(index=HOST)
    def freeze(self, index):
        if self._can_add(index):
            host_id = self.ranked_ids[index]
            self.fleet.network.freeze(host_id)
            self._add(
                ('freeze', index), lambda: self.fleet.network.resume(host_id)
            )

    @stateful.rule(
        index=HOST,
        size=strategies.integers(min_value=1, max_value=HOSTS // 2),
        both=strategies.booleans(),
    )
    def cut_off(self, index, size, both):
        if self._can_add(index):
            hosts = self.ranked_ids[index : index + size]
            self.fleet.cut_off(hosts, both)
            self._add(
                ('cut', index), lambda: self._reconnect_all(('cut', index))
            )

    @stateful.rule(index=HOST)
    def lose_packets(self, index):
        if self._can_add('links'):
            self.fleet.network.link = harness.LinkSettings(
                loss=0.05 * (index + 1)
            )
            self._add(('lose', 'links'), self._stop_packet_loss)

    @stateful.rule()
    def repair(self):
        if self.undo_by_fault:
            fault = next(iter(self.undo_by_fault))
            self.undo_by_fault.pop(fault)()

    @stateful.rule(tenths=strategies.integers(min_value=1, max_value=40))
    def run(self, tenths):
        self.fleet.run(tenths / 10)

    @stateful.invariant()
    def one_placer_at_a_time(self):
        assert not self.monitor.overlaps, self.monitor.overlaps
        assert not self.monitor.acting_while_declared_dead, (
            self.monitor.acting_while_declared_dead
        )

    def teardown(self):
        self.one_placer_at_a_time()
        while self.undo_by_fault:
            self.repair()
        self.fleet.run(CONVERGENCE_SECONDS)
        self.one_placer_at_a_time()
        assert builders.distinct_live_sets(self.fleet) == {self.fleet.host_ids}
        for node in self.fleet.nodes_by_id.values():
            assert node.table.view().quorum
            assert node.table.holds_lease()

    def _reconnect_all(self, fault):
        # Other partitions may share links with this one, so all of them are
        # repaired together.
        self.fleet.reconnect(self.fleet.host_ids)
        for host_id in self.fleet.host_ids:
            self.fleet.reconnect([host_id])
        for other in [item for item in self.undo_by_fault if item[0] == 'cut']:
            del self.undo_by_fault[other]

    def _stop_packet_loss(self):
        self.fleet.network.link = harness.LinkSettings()


class NaiveMachine(MembershipMachine):
    """The same faults applied to the baseline."""

    is_naive = True


class FuzzMembershipTest(unittest.TestCase):
    def test_one_placer_and_convergence(self):
        """Guards against concurrent placers and views that do not converge."""
        stateful.run_state_machine_as_test(
            MembershipMachine, settings=builders.fuzz_settings(15, 15)
        )

    def test_baseline_violates_the_invariants(self):
        """Guards against an oracle that detects no violation."""
        with self.assertRaises(AssertionError):
            stateful.run_state_machine_as_test(
                NaiveMachine, settings=builders.fuzz_settings(15, 15)
            )
