"""New flows that a host refuses because their service is overloaded."""

import datetime
import unittest

from acaciamoor import admission
from acaciamoor import clock
from acaciamoor import directory
from acaciamoor import forwarder
from acaciamoor.directory.tests import builders as directory_builders
from acaciamoor.forwarder import effects
from acaciamoor.forwarder import sync_status
from acaciamoor.forwarder.shell import observer as observers
from acaciamoor.forwarder.tests import builders

MS = builders.MS
SERVICE = directory_builders.SERVICE
REFUSED = forwarder.RefusalReason.OVERLOAD


class Admission:
    """Admission that refuses all openings while it is full."""

    def __init__(self):
        self.full = True
        self.callers = []

    def update_routes(self, table):
        self.table = table

    def decide(self, service, priority, caller, now):
        self.callers.append(caller)
        return not self.full

    def evidence_of(self, service):
        return admission.Evidence(
            datetime.timedelta(0), 1, demand=90.0, free_upstreams=2
        )

    def is_behind_lower(self, service, priority, now):
        return True


class OverloadTest(unittest.TestCase):
    def setUp(self):
        self.directory = directory_builders.new_directory(
            directory_builders.upstream_entry('desk-1'),
            directory_builders.upstream_entry('desk-2'),
        )
        self.core = builders.core(self.directory)
        self.core.admission = self.admission = Admission()

    def open_flow(self, at, copies=0, backlog=0 * MS, caller=builders.CALLER):
        """Return the decision about an opening packet."""
        packet = builders.packet(
            opens=True, acknowledged=copies, caller=caller
        )
        return self.core.handle(b'syn', packet, at, backlog)

    def test_first_copy_is_refused_and_reported(self):
        """Guards against refused demand that no host learns of."""
        refused = self.open_flow(1 * MS)
        self.assertIsInstance(refused, forwarder.Refusal)
        self.assertEqual(REFUSED, refused.reason)
        self.assertEqual([builders.CALLER[0]], self.admission.callers)
        (demand,) = self.core.load_collector.take_report(2 * MS).demands
        self.assertEqual((SERVICE, 1, 1), (
            demand.service, demand.openings, demand.refused
        ))  # fmt: skip

    def test_flow_that_another_host_may_have_opened_is_not_refused(self):
        """Guards against a reset of a flow that an upstream has seen."""
        for arguments in ({'copies': 1}, {'backlog': 200 * MS}):
            with self.subTest(arguments):
                self.core.discard_pending()
                decision = self.open_flow(1 * MS, **arguments)
                self.assertIsInstance(decision, forwarder.Placement)
        self.assertEqual([], self.admission.callers)

    def test_copies_and_repeats_of_an_admitted_flow_are_not_refused(self):
        """Guards against a refusal of what is at an upstream already."""
        self.admission.full = False
        self.assertIsInstance(self.open_flow(1 * MS), forwarder.Placement)
        self.admission.full = True
        (repeat,) = self.core.retry_openings(42 * MS)
        self.assertIsInstance(repeat, forwarder.Placement)
        self.assertIsInstance(
            self.open_flow(201 * MS, copies=1), forwarder.Placement
        )
        self.assertEqual(1, len(self.admission.callers))

    def test_service_without_upstreams_waits_as_before(self):
        """Guards against an overload that hides an empty service."""
        for upstream_id in ('desk-1', 'desk-2'):
            self.directory.remove_upstream(upstream_id, 0 * MS)
        self.directory.expire(1000 * 1000 * MS)
        decision = self.open_flow(1000 * 1000 * MS)
        self.assertIsInstance(decision, forwarder.Wait)
        (observation,) = self.core.take_observations()
        self.assertIsInstance(observation, effects.ImportantFlowWaits)

    def test_refusals_for_other_causes_are_no_demand(self):
        """Guards against refusals that the admission takes for overload.

        Upstreams that hold as many flows as they may are not overloaded.
        """
        self.core.admission = None
        for upstream_id in ('desk-1', 'desk-2'):
            self.core.load_tracker.begin_flow(upstream_id)
        table = self.directory.table
        self.directory.adopt_routes(
            directory.RouteTable(
                table.version + 1,
                table.routes_by_address,
                {SERVICE: directory.ServiceLimits(1)},
            )
        )
        refused = self.open_flow(1 * MS)
        self.assertEqual(forwarder.RefusalReason.MAX_FLOWS, refused.reason)
        self.assertEqual(
            [], self.core.load_collector.take_report(2 * MS).demands
        )

    def test_state_of_services_without_routes_is_removed(self):
        """Guards against memory that grows with the names of services."""
        for upstream_id in ('desk-1', 'desk-2'):
            self.directory.remove_upstream(upstream_id, 0 * MS)
        late = 1000 * 1000 * MS
        self.directory.expire(late)
        self.assertIsInstance(self.open_flow(late), forwarder.Wait)
        # Refused at once while it is known for how long it was empty.
        late += 9000 * MS
        refused = self.open_flow(late, caller=(8, 1))
        self.assertIsInstance(refused, forwarder.Refusal)
        table = self.directory.table
        for version, routes in ((2, {}), (3, table.routes_by_address)):
            self.directory.adopt_routes(
                directory.RouteTable(table.version + version, routes)
            )
            self.core.expire(late)
        decision = self.open_flow(late, caller=(8, 2))
        self.assertIsInstance(decision, forwarder.Wait)

    def test_operators_see_what_a_refusal_rests_on(self):
        """Guards against refusals that nobody can explain."""
        observer = observers.Observer(
            clock.ManualClock(),
            lambda: sync_status.SyncStatus(1, 2, 3),
        )
        with self.assertLogs('acaciamoor', 'INFO') as logs:
            observer.record_refusal(self.open_flow(101 * MS))
        (line,) = logs.records
        self.assertEqual(90, line.demand_per_s)
        self.assertEqual(101, line.picture_age_ms)
        labels = {'service': SERVICE, 'priority': '0'}
        for counter, extra in (
            (observer.overload_refusals, {}),
            (observer.refusals_beside_room, {}),
            (observer.priority_inversions, {'outcome': 'refused'}),
        ):
            self.assertEqual(1, counter.value(**labels, **extra))
        observer.record(effects.ImportantFlowWaits((1, 2, 3, 4), SERVICE, 0))
        self.assertEqual(
            1, observer.priority_inversions.value(**labels, outcome='waited')
        )


if __name__ == '__main__':
    unittest.main()
