"""Fuzz test of replication with up to two concurrent random faults."""

import unittest

from hypothesis import stateful
from hypothesis import strategies

from acaciamoor import harness
from acaciamoor.membership.tests import builders
from acaciamoor.model.tests import builders as services

HOSTS = 5
MAX_FAULTS = 2
HOST = strategies.integers(min_value=0, max_value=HOSTS - 1)
SERVICE = strategies.integers(min_value=1, max_value=4)
CONVERGENCE_SECONDS = 9


class ConfigurationMachine(stateful.RuleBasedStateMachine):
    """State machine with changes, outages, partitions and restarts."""

    is_naive = False

    def __init__(self):
        super().__init__()
        self.fleet = builders.fleet(HOSTS, is_naive=self.is_naive)
        self.undo_by_fault = {}
        self.highest_by_store = {}
        self.reversals = []
        self.fleet.observers.append(self._observe)

    def _observe(self, node):
        held = {
            service_id: service.version
            for service_id, service in node.store.services_by_id.items()
        }
        # The key holds a reference to the store, so that no later store has
        # the same identity.
        store = node.store
        highest, version = self.highest_by_store.get(store, ({}, 0))
        for service_id, known in highest.items():
            if held.get(service_id, known) < known:
                self.reversals.append((node.host_id, service_id, known))
        if node.store.version < version:
            self.reversals.append((node.host_id, version))
        self.highest_by_store[store] = (
            {**highest, **held},
            node.store.version,
        )

    def _add(self, fault, undo):
        if len(self.undo_by_fault) < MAX_FAULTS:
            self.undo_by_fault.setdefault(fault, undo)
            return self.undo_by_fault[fault] == undo
        return False

    @stateful.rule(service_id=SERVICE)
    def write(self, service_id):
        if self.fleet.platform.is_up:
            self.fleet.platform.write(
                service_id, services.service(service_id=service_id)
            )

    @stateful.rule(service_id=SERVICE)
    def delete(self, service_id):
        if self.fleet.platform.is_up:
            self.fleet.platform.write(service_id)

    @stateful.rule()
    def fail_platform(self):
        if self._add('platform', self._restore_platform):
            self.fleet.platform.is_up = False

    @stateful.rule(index=HOST)
    def resume_stale_watch(self, index):
        node = self.fleet.nodes_by_id[self.fleet.host_ids[index]]
        node.watch_version = 0

    @stateful.rule(index=HOST)
    def cut_platform(self, index):
        host_id = self.fleet.host_ids[index]
        cut = self.fleet.unreachable_platform
        if self._add(('watch', index), lambda: cut.discard(host_id)):
            cut.add(host_id)

    @stateful.rule(index=HOST)
    def restart(self, index):
        host_id = self.fleet.host_ids[index]
        self.fleet.kill(host_id)
        self.fleet.start(host_id)
        self.fleet.run(1)

    @stateful.rule(index=HOST)
    def freeze(self, index):
        host_id = self.fleet.host_ids[index]
        if self._add(
            ('freeze', index), lambda: self.fleet.network.resume(host_id)
        ):
            self.fleet.network.freeze(host_id)

    @stateful.rule(index=HOST, both=strategies.booleans())
    def cut_off(self, index, both):
        host_id = self.fleet.host_ids[index]
        if self._add(('cut', index), lambda: self.fleet.reconnect([host_id])):
            self.fleet.cut_off([host_id], both)

    @stateful.rule()
    def lose_packets(self):
        if self._add('loss', self._stop_packet_loss):
            self.fleet.network.link = harness.LinkSettings(loss=0.2)

    @stateful.rule()
    def repair(self):
        if self.undo_by_fault:
            self.undo_by_fault.pop(next(iter(self.undo_by_fault)))()

    @stateful.rule(tenths=strategies.integers(min_value=1, max_value=40))
    def run(self, tenths):
        self.fleet.run(tenths / 10)

    @stateful.invariant()
    def versions_are_monotonic(self):
        assert not self.reversals, self.reversals[:3]

    def teardown(self):
        while self.undo_by_fault:
            self.repair()
        self.fleet.run(CONVERGENCE_SECONDS)
        self.versions_are_monotonic()
        expected = {
            service.service_id: service.version
            for service in self.fleet.platform.services()
        }
        for node in self.fleet.nodes_by_id.values():
            held = {
                service_id: service.version
                for service_id, service in node.store.services_by_id.items()
            }
            assert held == expected, (node.host_id, held, expected)
            version = self.fleet.platform.version
            assert node.store.version_in_force() == version
            assert node.store.fresh, node.host_id

    def _restore_platform(self):
        self.fleet.platform.is_up = True

    def _stop_packet_loss(self):
        self.fleet.network.link = harness.LinkSettings()


class NaiveMachine(ConfigurationMachine):
    """The same faults applied to the baseline."""

    is_naive = True


class FuzzConfigurationTest(unittest.TestCase):
    def test_no_reversal_and_convergence(self):
        """Guards against hosts that revert to an older version."""
        stateful.run_state_machine_as_test(
            ConfigurationMachine, settings=builders.fuzz_settings(30, 20)
        )

    def test_baseline_violates_the_invariants(self):
        """Guards against an oracle that detects no violation."""
        with self.assertRaises(AssertionError):
            stateful.run_state_machine_as_test(
                NaiveMachine, settings=builders.fuzz_settings(30, 20)
            )
