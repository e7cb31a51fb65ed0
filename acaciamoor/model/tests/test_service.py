"""Tests of the invariants of the service aggregate."""

import unittest

from acaciamoor import findings
from acaciamoor import model
from acaciamoor.model.tests import builders


class ServiceTest(unittest.TestCase):
    def test_all_problems_are_reported_with_their_place(self):
        """Guards against validation that stops at the first finding."""
        with self.assertRaises(findings.FindingsError) as caught:
            builders.service(
                upstreams=[
                    builders.upstream('desk-1', port=9001, draining=True),
                    builders.upstream('desk-2', port=9001, draining=True),
                ]
            )
        places = [finding.place for finding in caught.exception.findings]
        self.assertEqual(
            [
                'order-desk.upstreams_by_id',
                'order-desk.upstreams_by_id.desk-2.address',
            ],
            places,
        )

    def test_last_active_upstream_cannot_be_drained(self):
        """Guards against a service without an active upstream."""
        service = builders.service(upstreams=[builders.upstream('desk-1')])
        with self.assertRaises(findings.FindingsError):
            service.drain_upstream(model.UpstreamId('desk-1'))

    def test_active_upstream_cannot_be_removed(self):
        """Guards against breaking the open flows of an upstream."""
        service = builders.service()
        with self.assertRaises(findings.FindingsError):
            service.remove_upstream(model.UpstreamId('desk-1'))

    def test_changes_leave_the_original_unchanged(self):
        """Guards against aliasing between versions of a service."""
        service = builders.service()
        changed = service.drain_upstream(model.UpstreamId('desk-1'))
        removed = changed.remove_upstream(model.UpstreamId('desk-1'))
        self.assertIn('desk-1', service.upstreams_by_id)
        self.assertNotIn('desk-1', removed.upstreams_by_id)
