"""Activation and retention of views."""

import datetime
import unittest

from acaciamoor import views
from acaciamoor.flows.tests import builders

START = datetime.timedelta(hours=1)
ONE_MILLISECOND = datetime.timedelta(milliseconds=1)


def history(*published):
    """Return a history of views with versions 1, 2, ... ."""
    result = views.ViewHistory()
    for version, second in enumerate(published, start=1):
        instant = START + builders.seconds(second)
        result.add(builders.view(version), builders.ZERO, instant)
    return result


def active_version(of_history, second):
    """Return the configuration version of the active view."""
    now = START + builders.seconds(second)
    return of_history.active_view(now).version.configuration


class ActivationTest(unittest.TestCase):
    def test_hosts_that_receive_a_view_late_activate_it_at_the_same_time(self):
        """Guards against a delay that starts when a host receives a view."""
        for delay in (0.0, 1.0, 2.2):
            late = history(-100)
            now = START + builders.seconds(delay)
            late.add(builders.view(2), builders.seconds(delay), now)
            due = START + views.ACTIVATION_DELAY
            self.assertEqual(
                1,
                late.active_view(due - ONE_MILLISECOND).version.configuration,
            )
            self.assertEqual(2, late.active_view(due).version.configuration)

    def test_larger_of_two_ages_is_used(self):
        """Guards against a relay that restarts the delay."""
        item = history(-100, 0)
        now = START + builders.seconds(1)
        self.assertTrue(item.add(builders.view(2), builders.seconds(2), now))
        self.assertFalse(item.add(builders.view(2), builders.ZERO, now))
        self.assertEqual(2, active_version(item, 1.5))

    def test_fast_changes_are_coalesced_into_the_newest(self):
        """Guards against more views per minute than the limit allows."""
        item = history(-100, 0, 1, 2, 3, 7.5)
        seen = [active_version(item, tenth / 10) for tenth in range(0, 200)]
        self.assertEqual([1, 2, 5, 6], sorted(set(seen)))
        self.assertEqual(sorted(seen), seen)
        self.assertEqual(
            (2.5, 6.5, 10.5),
            (seen.index(2) / 10, seen.index(5) / 10, seen.index(6) / 10),
        )

    def test_older_view_never_becomes_active_again(self):
        """Guards against a late message that reverts a configuration."""
        item = history(-100)
        item.add(builders.view(3), builders.seconds(9), START)
        self.assertEqual(3, active_version(item, 0))
        item.add(builders.view(2), builders.seconds(5), START)
        self.assertEqual(
            [3] * 20, [active_version(item, at) for at in range(20)]
        )
        retained = [entry.view.version.configuration for entry in item.entries]
        self.assertEqual([1, 2, 3], retained)

    def test_health_orders_views_of_one_configuration(self):
        """Guards against ignoring an upstream that became unhealthy."""
        item = history(-100)
        item.add(builders.view(1, health=1), builders.seconds(3), START)
        self.assertEqual(1, item.active_view(START).version.health)


class RetentionTest(unittest.TestCase):
    def test_superseded_view_is_the_base_for_the_retention(self):
        """Guards against routing an open flow by a later view."""
        item = history(-100, 0)
        end = START + views.ACTIVATION_DELAY + views.RETENTION
        self.assertEqual(end, item.retention_end(0))
        self.assertEqual(
            1, item.base_view(end - ONE_MILLISECOND).version.configuration
        )
        self.assertEqual(2, item.base_view(end).version.configuration)

    def test_dropped_view_does_not_come_back(self):
        """Guards against restoring a dropped view from a peer."""
        item = history(-100, 0)
        item.drop_oldest()
        self.assertFalse(item.add(builders.view(1), builders.LARGE_AGE, START))
        with self.assertRaises(ValueError):
            item.drop_oldest()

    def test_snapshot_in_any_order_gives_the_same_active_view(self):
        """Guards against a joining host that activates an older view."""
        now = START + builders.seconds(20)
        ages = {1: 120, 2: 20, 3: 1}
        for order in ((1, 2, 3), (3, 2, 1), (2, 3, 1)):
            item = views.ViewHistory()
            for version in order:
                age = builders.seconds(ages[version])
                item.add(builders.view(version), age, now)
            self.assertEqual(2, item.active_view(now).version.configuration)
