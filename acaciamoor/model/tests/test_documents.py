"""Tests of documents."""

import datetime
import unittest

from acaciamoor import findings
from acaciamoor import model
from acaciamoor.model import claim
from acaciamoor.model import documents
from acaciamoor.model import status
from acaciamoor.model.tests import builders


def finding_places(name, value):
    try:
        documents.parse_service(name, value)
    except findings.FindingsError as error:
        return [finding.place for finding in error.findings]
    return []


class DocumentsTest(unittest.TestCase):
    def test_round_trip_keeps_every_field(self):
        """Guards against losing a field in a conversion."""
        service = builders.service()
        document = documents.ServiceDocument.of(service, 'ann')
        value = documents.to_json(document)
        parsed = documents.parse_service('order-desk', value)
        self.assertEqual(service, parsed.to_service(service.version))
        held = claim.AddressClaim(
            service.address,
            claim.ClaimRole.SERVICE,
            service.service_id,
            service.name,
            frozenset([builders.DATA_CENTRE]),
            3,
            datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC),
            9,
        )
        stored = documents.to_json(documents.AddressClaimDocument.of(held))
        self.assertEqual(
            held,
            documents.parse(
                documents.AddressClaimDocument, 'claim', stored
            ).to_claim(),
        )
        seen = status.DataCentreStatus(builders.DATA_CENTRE, 7, 8)
        document = documents.DataCentreStatusDocument.of(seen)
        self.assertEqual(seen, document.to_status())

    def test_all_findings_are_reported_with_their_path(self):
        """Guards against field errors that hide violated invariants."""
        value = documents.to_json(
            documents.ServiceDocument.of(builders.service())
        )
        upstreams = value['upstreams_by_id']
        upstreams['desk-1']['address'] = 'desk:9001'
        upstreams['desk-2']['colour'] = 'red'
        upstreams['desk-3']['weight'] = -1
        upstreams['desk-4']['address'] = upstreams['desk-5']['address']
        upstreams['desk-6']['address'] = value['address']
        value['policy']['long_share'] = 2
        root = 'services.order-desk'
        self.assertEqual(
            [
                f'{root}.policy.long_share',
                f'{root}.upstreams_by_id.desk-1.address',
                f'{root}.upstreams_by_id.desk-2.colour',
                f'{root}.upstreams_by_id.desk-3.weight',
                f'{root}.upstreams_by_id.desk-5.address',
                f'{root}.upstreams_by_id.desk-6.address',
            ],
            finding_places('order-desk', value),
        )

    def test_service_without_upstreams_or_too_large_is_rejected(self):
        """Guards against writing objects that cannot be stored or used."""
        value = documents.to_json(
            documents.ServiceDocument.of(builders.service())
        )
        large = dict(value, written_by='x' * documents.VALUE_LIMIT_BYTES)
        self.assertEqual(
            ['services.order-desk', 'services.order-desk.written_by'],
            finding_places('order-desk', large),
        )
        empty = dict(value, upstreams_by_id={})
        self.assertEqual(
            ['services.order-desk.upstreams_by_id'],
            finding_places('order-desk', empty),
        )

    def test_inactive_service_has_no_domain_object(self):
        """Guards against serving a pending or deleted service."""
        document = documents.ServiceDocument.of(builders.service())
        for phase in (
            documents.ServicePhase.PENDING,
            documents.ServicePhase.DELETED,
        ):
            other = document.with_phase(phase, 'ann')
            self.assertIsNone(other.to_service(version=4))

    def test_notations_of_an_address_share_a_claim(self):
        """Guards against two claims to the same address."""
        notations = ['::ffff:10.0.0.1', '10.0.0.1']
        names = {claim.claim_name(model.Address(ip, 80)) for ip in notations}
        self.assertEqual({'10.0.0.1-80'}, names)
