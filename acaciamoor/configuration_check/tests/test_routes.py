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
UNPACED = directory.ServiceLimits(0, 2 * SECOND)
TIMELESS = directory.ServiceLimits(2000, 0 * SECOND, 20.0)
ODD = (findings.Finding('routes.3', 'is odd'),)


class RouteFindingTest(unittest.TestCase):
    def check(self, section, places, *items, **fields):
        """Check a configuration; compare the places of all findings."""
        configuration = builders.routes(*items, **fields)
        report = configuration_check.check(configuration)
        wanted = {section: places} if places else {}
        self.assertEqual(wanted, builders.list_findings(report))

    def test_fine_configuration(self):
        """Guards against findings on what hosts serve as it is written."""
        self.check('', [], ROUTE)
        self.check('', [], ROUTE, services=None)
        self.check('', [], ROUTE, services=(('order-desk', UNPACED),))

    def test_limits_that_contradict_each_other(self):
        """Guards against goals and paces that have no effect."""
        late = builders.route(response_goal=0.9 * SECOND)
        equal = builders.route(8444, response_goal=0.8 * SECOND)
        never = builders.route(8445, timeout=0 * SECOND)
        places = ['198.18.0.1:8443.response_goal', '198.18.0.1:8445.timeout']
        places = [f'routes.{place}' for place in places]
        self.check('contradictions', places, late, equal, never)
        places = ['services.order-desk.warm_up_rate']
        timeless = (('order-desk', TIMELESS),)
        self.check('contradictions', places, ROUTE, services=timeless)

    def test_entries_without_work(self):
        """Guards against hidden entries, and names that are misspelt."""
        twice = (*FINE.services, ('order-desk', UNPACED))
        places = ['routes.198.18.0.1:8443', 'services.order-desk']
        self.check(
            'never_matched', places, ROUTE, builders.route(), services=twice
        )
        wrong = builders.route(weights={'order-desk': 1.0, 'til': 0.1})
        services = (*FINE.services, ('till', builders.LIMITS))
        places = ['routes.198.18.0.1:8443', 'services.till']
        self.check('never_matched', places, wrong, services=services)


class RouteComparisonTest(unittest.TestCase):
    def test_differences_are_no_findings(self):
        """Guards against a check that rejects every change."""
        changed = builders.route(priority=1)
        after = builders.routes(changed, builders.route(8444), version=5)
        report = configuration_check.check(after, FINE)
        self.assertFalse(report.has_findings, report)
        priority, added, version = report.differences
        place = 'routes.198.18.0.1:844'
        self.assertEqual((f'{place}3.priority', 0, 1), to_tuple(priority))
        self.assertEqual((f'{place}4', None), to_tuple(added)[:2])
        self.assertEqual(('version', 4, 5), to_tuple(version))

    def test_changes_that_hosts_ignore(self):
        """Guards against a change that never comes into force."""
        self.assertFalse(configuration_check.check(FINE, FINE).has_findings)
        for version in 3, 4:
            changed = builders.routes(builders.route(8444), version=version)
            report = configuration_check.check(changed, FINE)
            self.assertEqual(
                ['version'], builders.list_findings(report)['errors']
            )

    def test_damaged_file_is_not_compared(self):
        """Guards against an invalid route that is shown as deleted."""
        damaged = msgspec.structs.replace(
            FINE, routes=(), errors=ODD, hidden=ODD, contradictions=ODD
        )
        report = configuration_check.check(damaged, FINE)
        for places in builders.list_findings(report).values():
            self.assertIn('routes.3', places)
        in_force = configuration_check.check(FINE, damaged)
        errors = builders.list_findings(in_force)['errors']
        self.assertEqual(['against routes.3'] * 2, errors)
        self.assertEqual(((), ()), (report.differences, in_force.differences))


def to_tuple(difference) -> tuple:
    """Return the fields of a difference."""
    return difference.place, difference.before, difference.after
