"""Data centres that are evacuated by order of the operator."""

import unittest

from acaciamoor import directory
from acaciamoor.directory.tests import builders

SECOND = builders.SECOND
SERVICE = builders.SERVICE


class EvacuationTest(unittest.TestCase):
    def setUp(self):
        self.directory = builders.new_directory(
            builders.upstream_entry('desk-1', data_centre='kgn-a'),
            builders.upstream_entry('desk-2', data_centre='kgn-b'),
        )

    def candidates(self, at=SECOND) -> list[str]:
        """Return the upstreams that accept new flows."""
        found = self.directory.candidates(SERVICE, at)
        return [entry.upstream_id for entry in found]

    def test_evacuated_data_centre_gets_no_new_flows(self):
        """Guards against new flows where the operator wants none."""
        self.assertEqual(['desk-1', 'desk-2'], self.candidates())
        self.assertTrue(self.directory.begin_evacuation('kgn-a'))
        self.assertFalse(self.directory.begin_evacuation('kgn-a'))
        self.assertEqual(['desk-2'], self.candidates())
        self.assertFalse(self.directory.is_evacuated(SERVICE, SECOND))

    def test_open_flows_stay_in_an_evacuated_data_centre(self):
        """Guards against flows that break with the order to evacuate."""
        token = self.directory.token_of(builders.ADDRESS, 'desk-1')
        self.directory.begin_evacuation('kgn-a')
        entry = self.directory.find_upstream(builders.ADDRESS, token)
        self.assertEqual('desk-1', entry.upstream_id)

    def test_data_centre_is_taken_back(self):
        """Guards against a data centre that stays empty for ever."""
        self.directory.begin_evacuation('kgn-a')
        self.assertTrue(self.directory.end_evacuation('kgn-a', SECOND))
        self.assertFalse(self.directory.end_evacuation('kgn-a', SECOND))
        self.assertEqual(['desk-1', 'desk-2'], self.candidates())

    def test_evacuation_that_ends_later_ends_by_itself(self):
        """Guards against a grace that no further change would end."""
        self.directory.begin_evacuation('kgn-a')
        self.directory.end_evacuation('kgn-a', 3 * SECOND)
        self.assertEqual(['desk-2'], self.candidates(2 * SECOND))
        self.assertEqual(['desk-1', 'desk-2'], self.candidates(3 * SECOND))

    def test_evacuation_that_is_repeated_in_its_grace_stays(self):
        """Guards against a grace that ends the order that was repeated."""
        self.directory.begin_evacuation('kgn-a')
        self.directory.end_evacuation('kgn-a', 3 * SECOND)
        self.directory.begin_evacuation('kgn-a')
        self.directory.expire(9 * SECOND)
        self.assertEqual(['desk-2'], self.candidates(9 * SECOND))

    def test_all_data_centres_evacuated(self):
        """Guards against a service that looks as if it had no upstreams."""
        self.directory.begin_evacuation('kgn-a')
        self.directory.begin_evacuation('kgn-b')
        self.assertEqual([], self.candidates())
        self.assertTrue(self.directory.is_evacuated(SERVICE, SECOND))
        self.assertFalse(self.directory.is_evacuated('other', SECOND))

    def test_evacuation_holds_for_upstreams_of_a_mass_removal(self):
        """Guards against a grace that brings evacuated upstreams back."""
        self.directory.begin_evacuation('kgn-a')
        contact = directory.StoreContact(SECOND)
        for name in ('desk-1', 'desk-2'):
            self.directory.remove_upstream(name, SECOND, contact)
        self.assertEqual(['desk-2'], self.candidates())

    def test_upstream_that_registers_later_is_left_out(self):
        """Guards against an evacuation that names upstreams, not places."""
        self.directory.begin_evacuation('kgn-a')
        self.directory.put_upstream(builders.upstream_entry('desk-3'))
        self.assertEqual(['desk-2'], self.candidates())

    def test_names_that_are_no_data_centres_have_no_effect(self):
        """Guards against an entry of another writer that stops flows."""
        for name in ('', 'kgn-A', 'nowhere', 'desk-1', '*'):
            self.directory.begin_evacuation(name)
        self.assertEqual(['desk-1', 'desk-2'], self.candidates())
        self.assertEqual((), self.directory.list_evacuations(SECOND))


class CompletenessTest(unittest.TestCase):
    def test_host_waits_for_the_evacuations_that_it_follows(self):
        """Guards against new flows before a host knows of an evacuation."""
        settings = directory.DirectorySettings(follows_evacuations=True)
        followed = directory.Directory(settings)
        followed.adopt_routes(builders.table())
        followed.confirm_entries(1)
        self.assertFalse(followed.complete)
        followed.confirm_evacuations()
        self.assertTrue(followed.complete)


if __name__ == '__main__':
    unittest.main()
