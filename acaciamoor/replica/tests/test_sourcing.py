"""Which hosts call the store, and when."""

import datetime
import unittest

from acaciamoor import replica
from acaciamoor.replica.tests import builders

SECOND = datetime.timedelta(seconds=1)
LIMITS = replica.AgeLimits(1.6 * SECOND, 2 * SECOND, 0.4 * SECOND)
LONG = 60 * SECOND
NONE = replica.Calls.NONE
REFRESH = replica.Calls.REFRESH


def needed(role, age, listed_for=LONG) -> replica.Calls:
    """Return the calls of a host."""
    return replica.needed_calls(role, age, listed_for, LIMITS)


class NeededCallsTest(unittest.TestCase):
    def test_listeners_with_a_confirmed_copy_call_nobody(self):
        """Guards against calls that grow with the hosts."""
        for role in (replica.Role.LISTENER, replica.Role.STANDBY):
            self.assertEqual(NONE, needed(role, 1.5 * SECOND))

    def test_second_relay_refreshes_before_its_listeners(self):
        """Guards against all listeners calling when one relay is cut off."""
        self.assertEqual(REFRESH, needed(replica.Role.STANDBY, 1.7 * SECOND))
        self.assertEqual(NONE, needed(replica.Role.LISTENER, 1.7 * SECOND))

    def test_old_copy_is_refreshed_whoever_the_relays_are(self):
        """Guards against a host that misses a change with its relays."""
        for role in replica.Role:
            self.assertNotEqual(NONE, needed(role, 2.1 * SECOND))

    def test_host_that_starts_gives_its_relays_time(self):
        """Guards against calls at each start of a host."""
        listener = replica.Role.LISTENER
        self.assertEqual(NONE, needed(listener, None, 0.1 * SECOND))
        self.assertEqual(REFRESH, needed(listener, None, 0.5 * SECOND))


class RoleTest(unittest.TestCase):
    def roles(self, hosts: int) -> list[replica.Role]:
        """Return the role that each host gives itself."""
        peers = [builders.peer(number) for number in range(hosts)]
        found = []
        for own in peers:
            listed = replica.PeerList(own)
            listed.replace(peers)
            found.append(listed.role(0 * SECOND))
        return found

    def test_one_host_of_a_data_centre_watches(self):
        """Guards against hosts that disagree on their relay."""
        roles = self.roles(15)
        self.assertEqual(1, roles.count(replica.Role.RELAY))
        self.assertEqual(1, roles.count(replica.Role.STANDBY))

    def test_few_hosts_watch_for_themselves(self):
        """Guards against relays where they save no calls."""
        self.assertEqual([replica.Role.ALONE] * 3, self.roles(3))


if __name__ == '__main__':
    unittest.main()
