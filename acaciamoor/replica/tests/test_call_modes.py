"""Roles of hosts and their calls to the store."""

import datetime
import unittest

from acaciamoor import replica
from acaciamoor.replica.tests import builders

SECOND = datetime.timedelta(seconds=1)
LIMITS = replica.AgeLimits(
    1.6 * SECOND, 1.8 * SECOND, 2 * SECOND, 0.4 * SECOND, 3 * SECOND
)
LONG_AGO = 60 * SECOND
NONE = replica.CallMode.NONE
REFRESH = replica.CallMode.REFRESH


def select(role, age, time_since_listing=LONG_AGO) -> replica.CallMode:
    """Return the call mode of a host with the limits of the tests."""
    return replica.select_call_mode(role, age, time_since_listing, LIMITS)


class SelectCallModeTest(unittest.TestCase):
    def test_listener_with_a_recent_confirmation_makes_no_calls(self):
        """Guards against a number of calls that grows with the hosts."""
        for role in (replica.Role.LISTENER, replica.Role.STANDBY):
            self.assertEqual(NONE, select(role, 1.5 * SECOND))

    def test_second_relay_refreshes_before_the_listeners(self):
        """Guards against calls by all listeners if one relay is cut off."""
        self.assertEqual(REFRESH, select(replica.Role.STANDBY, 1.7 * SECOND))
        self.assertEqual(NONE, select(replica.Role.LISTENER, 1.7 * SECOND))

    def test_old_replica_is_refreshed_in_every_role(self):
        """Guards against missing a change because all relays miss it."""
        for role in replica.Role:
            self.assertNotEqual(NONE, select(role, 2.1 * SECOND))

    def test_starting_host_waits_for_its_relays(self):
        """Guards against calls at every start of a host."""
        listener = replica.Role.LISTENER
        self.assertEqual(NONE, select(listener, None, 0.1 * SECOND))
        self.assertEqual(REFRESH, select(listener, None, 0.5 * SECOND))


class RoleTest(unittest.TestCase):
    def roles(self, hosts: int) -> list[replica.Role]:
        """Return the role that each host determines for itself."""
        peers = [builders.peer(number) for number in range(hosts)]
        found = []
        for own in peers:
            peer_list = replica.PeerList(own)
            peer_list.add(peers)
            found.append(peer_list.role(0 * SECOND))
        return found

    def test_data_centre_has_one_relay_and_one_standby(self):
        """Guards against hosts that disagree on the relays."""
        roles = self.roles(15)
        self.assertEqual(1, roles.count(replica.Role.RELAY))
        self.assertEqual(1, roles.count(replica.Role.STANDBY))

    def test_hosts_of_a_small_data_centre_watch_the_store(self):
        """Guards against relays where they save no calls."""
        self.assertEqual([replica.Role.ALONE] * 3, self.roles(3))


if __name__ == '__main__':
    unittest.main()
