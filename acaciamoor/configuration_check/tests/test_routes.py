"""Each kind of finding on routes and limits, and their comparison."""

import unittest

import msgspec

from acaciamoor import configuration_check
from acaciamoor import directory
from acaciamoor import findings
from acaciamoor.configuration_check.tests import builders

SECOND = builders.SECOND
ROUTE = builders.route()
FINE = builders.routes(ROUTE)


class RouteFindingTest(unittest.TestCase):
    def check(self, configuration, **places):
        """Compare the places of all findings, by kind of finding."""
        report = configuration_check.check(configuration)
        for kind in ('errors', 'never_matched', 'contradictions'):
            found = [item.place for item in getattr(report, kind)]
            self.assertEqual(places.get(kind, []), found, report)

    def test_fine_configuration(self):
        """Guards against findings on what hosts serve as it is written."""
        self.check(FINE)
        unlisted = builders.routes(ROUTE, services=None)
        self.check(unlisted)
        slow = directory.ServiceLimits(0, 2 * SECOND)
        self.check(builders.routes(ROUTE, services=(('order-desk', slow),)))

    def test_goal_above_the_timeout(self):
        """Guards against a goal that only useless responses miss."""
        late = builders.route(response_goal=0.9 * SECOND)
        equal = builders.route(8444, response_goal=0.8 * SECOND)
        never = builders.route(8445, timeout=0 * SECOND)
        self.check(
            builders.routes(late, equal, never),
            contradictions=[
                'routes.198.18.0.1:8443.response_goal',
                'routes.198.18.0.1:8445.timeout',
            ],
        )

    def test_warm_up_rate_without_a_time(self):
        """Guards against a pace that no upstream ever keeps."""
        limits = directory.ServiceLimits(2000, 0 * SECOND, 20.0)
        self.check(
            builders.routes(ROUTE, services=(('order-desk', limits),)),
            contradictions=['services.order-desk.warm_up_rate'],
        )

    def test_shadowed_route_and_service(self):
        """Guards against entries that a later one silently replaces."""
        twice = (*FINE.services, ('order-desk', directory.ServiceLimits()))
        self.check(
            builders.routes(ROUTE, builders.route(), services=twice),
            never_matched=['routes.198.18.0.1:8443', 'services.order-desk'],
        )

    def test_service_without_route_and_route_without_service(self):
        """Guards against a name that is misspelt on one side."""
        wrong = builders.route(weights={'order-desk': 1.0, 'til': 0.1})
        services = (*FINE.services, ('till', builders.LIMITS))
        self.check(
            builders.routes(wrong, services=services),
            never_matched=['routes.198.18.0.1:8443', 'services.till'],
        )

    def test_findings_of_the_reader_are_kept(self):
        """Guards against damage that the check of the rest hides."""
        finding = findings.Finding('routes.3', 'is odd')
        for field, kind in (
            ('errors', 'errors'),
            ('hidden', 'never_matched'),
            ('contradictions', 'contradictions'),
        ):
            damaged = msgspec.structs.replace(FINE, **{field: (finding,)})
            self.check(damaged, **{kind: ['routes.3']})


class RouteComparisonTest(unittest.TestCase):
    def test_differences_are_no_findings(self):
        """Guards against a check that rejects every change."""
        after = builders.routes(
            builders.route(priority=1, timeout=0.7 * SECOND),
            builders.route(8444),
            version=5,
        )
        report = configuration_check.check(after, FINE)
        self.assertFalse(report.has_findings, report)
        place = 'routes.198.18.0.1:8443'
        self.assertEqual(
            [
                (f'{place}.priority', 0, 1),
                (f'{place}.timeout', 0.8, 0.7),
                ('routes.198.18.0.1:8444', None),
                ('version', 4, 5),
            ],
            [
                (item.place, item.before, item.after)
                if item.before is not None
                else (item.place, None)
                for item in report.differences
            ],
        )

    def test_changes_that_hosts_ignore(self):
        """Guards against a change that never comes into force."""
        self.assertFalse(configuration_check.check(FINE, FINE).has_findings)
        for version in 3, 4:
            changed = builders.routes(builders.route(8444), version=version)
            (error,) = configuration_check.check(changed, FINE).errors
            self.assertEqual('version', error.place)

    def test_damaged_file_is_not_compared(self):
        """Guards against an invalid route that is shown as deleted."""
        finding = findings.Finding('routes.0', 'is odd')
        damaged = msgspec.structs.replace(FINE, errors=(finding,), routes=())
        for pair in (FINE, damaged), (damaged, FINE):
            report = configuration_check.check(*pair)
            self.assertEqual(1, len(report.errors))
            self.assertEqual((), report.differences)
