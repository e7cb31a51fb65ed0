"""Record owners while hosts leave."""

import unittest

from acaciamoor import model
from acaciamoor.flows import owners

LIVE = ('host-1', 'host-2', 'host-3', 'host-4')
FLOWS = range(0, 1 << 64, (1 << 64) // 200)


class OwnerTableTest(unittest.TestCase):
    def test_leaving_host_stays_in_the_chain_of_its_flows(self):
        """Guards against losing records that a leaving host still holds."""
        before = owners.OwnerTable(model.MembershipView(1, LIVE))
        after = owners.OwnerTable(
            model.MembershipView(2, LIVE[1:], leaving=LIVE[:1])
        )
        for flow in FLOWS:
            if LIVE[0] in before.owners(flow):
                self.assertNotIn(LIVE[0], after.owners(flow))
                self.assertEqual(LIVE[0], after.chain(flow)[2])
