"""Faults injected into the virtual network."""

import datetime
import unittest

from acaciamoor import harness

SECOND = datetime.timedelta(seconds=1)


class VirtualNetworkTest(unittest.TestCase):
    def setUp(self):
        self.network = harness.VirtualNetwork(seed=7)
        self.received = []
        self.network.add_host(
            'b', lambda sender, message: self.received.append(message)
        )

    def test_frozen_host_receives_after_resume(self):
        """Guards against dropping messages queued for a frozen host."""
        self.network.freeze('b')
        self.network.send('a', 'b', 'late')
        self.network.run_until(SECOND)
        self.assertEqual([], self.received)
        self.network.resume('b')
        self.network.run_until(2 * SECOND)
        self.assertEqual(['late'], self.received)

    def test_cut_is_directed(self):
        """Guards against a cut that also affects the opposite direction."""
        self.network.cut('b', 'a')
        self.network.send('a', 'b', 'forward')
        self.network.run_until(SECOND)
        self.assertEqual(['forward'], self.received)

    def test_timer_of_a_removed_host_does_not_run(self):
        """Guards against a removed host whose timers still run."""
        self.network.call_later(
            SECOND, lambda: self.received.append('tick'), host='b'
        )
        self.network.remove_host('b')
        self.network.run_until(2 * SECOND)
        self.assertEqual([], self.received)
