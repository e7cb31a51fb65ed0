"""Each kind of finding, damaged files, and the comparison."""

import unittest

from acaciamoor import configuration_check
from acaciamoor.configuration_check.tests import builders
from acaciamoor.model.tests.builders import upstream

service = builders.service


def read(*services):
    return configuration_check.read(builders.content(*services), 'new.json')


class FindingTest(unittest.TestCase):
    def check(self, *services, **places):
        """Compare the places of all findings, by kind of finding."""
        report = configuration_check.check(read(*services))
        for kind in ('errors', 'never_matched', 'contradictions'):
            found = [item.place for item in getattr(report, kind)]
            wanted = [f'services.{place}' for place in places.get(kind, [])]
            self.assertEqual(wanted, found, report)

    def test_fine_file(self):
        """Guards against findings on what the product stores itself."""
        other = service('till', 2, policy={'ejection_floor': 1.0})
        gone = service('gone', 3, (upstream('u-1'),), phase='deleted')
        self.check(service(), other, gone)

    def test_errors_are_those_of_the_product(self):
        """Guards against a file that the API would refuse."""
        wrong = service(policy={'queue_limit': 0}, upstreams_by_id={})
        places = [
            'order-desk.policy.queue_limit',
            'order-desk.upstreams_by_id',
        ]
        self.check(wrong, 4, errors=['1', *places])

    def test_shared_identifier(self):
        """Guards against packets of one service that match another one."""
        other = service('till', 2) | {'service_id': 1}
        self.check(service(), other, errors=['till.service_id'])

    def test_entries_hidden_by_others(self):
        """Guards against entries that another one with the key replaces."""
        other = service('till', 2, address='[::ffff:127.0.0.1]:8001')
        hidden = ['order-desk', 'till']
        self.check(service(), service(), other, never_matched=hidden)
        content = builders.content(service()).replace(b'desk-2', b'desk-1')
        damaged = configuration_check.read(content, 'new.json')
        (finding,) = configuration_check.check(damaged).never_matched
        place = 'services.order-desk.upstreams_by_id.desk-1'
        self.assertEqual(place, finding.place)

    def test_entries_without_work(self):
        """Guards against a data centre or a service without any work."""
        draining = upstream('desk-3', draining=True, data_centre='kgn-b')
        half = service(upstreams=(upstream('desk-1'), draining))
        pending = service('till', 2, phase='pending')
        places = ['order-desk.upstreams_by_id', 'till.phase']
        self.check(half, pending, never_matched=places)

    def test_contradicting_limits(self):
        """Guards against limits that the slots or upstreams cannot meet."""
        policy = {'ejection_floor': 0.6, 'long_share': 0.2}
        places = [f'order-desk.policy.{field}' for field in policy]
        self.check(service(policy=policy), contradictions=places)

    def test_damaged_files_are_findings(self):
        """Guards against tracebacks on content that is not a configuration."""
        deep = b'[' * 300 + b']' * 300
        whole = [b'', b'\xff', b'null', b'[' * 100_000, b'{"services": {}}']
        whole.append(b'{"services": [], "service": 1}')
        whole.append(builders.content(service())[:-9])
        names = [b'NaN', b'"\\ud800"', b'[], "policy": 3', deep]
        parts = [b'{"services": [{"name": %s}]}' % name for name in names]
        for content in whole + parts:
            with self.subTest(content[:40]):
                damaged = configuration_check.read(content, 'new.json')
                report = configuration_check.check(damaged, damaged)
                self.assertTrue(report.errors)


class ComparisonTest(unittest.TestCase):
    def test_differences_are_no_findings(self):
        """Guards against a check that rejects every change."""
        drained = (upstream('desk-1', 9011), upstream('desk-2', 9012, True))
        after = read(service(upstreams=drained, policy={'queue_limit': 9}))
        before = read(service(written_by='ann'), service('till', 2))
        report = configuration_check.check(after, before)
        self.assertFalse(report.has_findings, report)
        policy, state, till = report.differences
        self.assertEqual((512, 9), (policy.before, policy.after))
        self.assertEqual('draining', state.after)
        self.assertEqual(('services.till', None), (till.place, till.after))

    def test_changes_that_the_api_refuses(self):
        """Guards against a fine check of what no command can carry out."""
        heavier = (upstream('desk-1', 9011, weight=2.0),)
        after = read(service(upstreams=heavier, address='127.0.0.1:8009'))
        errors = configuration_check.check(after, read(service())).errors
        places = [
            'order-desk.upstreams_by_id.desk-2',
            'services.order-desk.address',
            'services.order-desk.upstreams_by_id.desk-1.weight',
        ]
        self.assertEqual(places, [item.place for item in errors])

    def test_damaged_file_is_not_compared(self):
        """Guards against an invalid service that is shown as deleted."""
        damaged = read({'name': 'order-desk'})
        report = configuration_check.check(damaged, read(service()))
        self.assertTrue(report.errors)
        self.assertEqual((), report.differences)
