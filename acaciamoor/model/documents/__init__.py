"""Documents: validated schemas of the objects stored on the platform."""

from acaciamoor.model.documents.checks import Document
from acaciamoor.model.documents.checks import is_name
from acaciamoor.model.documents.checks import parse
from acaciamoor.model.documents.checks import to_json
from acaciamoor.model.documents.claims import AddressClaimDocument
from acaciamoor.model.documents.claims import CLAIM_KIND
from acaciamoor.model.documents.evacuations import EVACUATION_KIND
from acaciamoor.model.documents.evacuations import EvacuationDocument
from acaciamoor.model.documents.policies import PolicyDocument
from acaciamoor.model.documents.services import parse_service
from acaciamoor.model.documents.services import SERVICE_KIND
from acaciamoor.model.documents.services import ServiceDocument
from acaciamoor.model.documents.services import ServicePhase
from acaciamoor.model.documents.statuses import DataCentreStatusDocument
from acaciamoor.model.documents.statuses import STATUS_KIND
from acaciamoor.model.documents.upstreams import UpstreamDocument
from acaciamoor.model.limits import VALUE_LIMIT_BYTES

__all__ = [
    'CLAIM_KIND',
    'EVACUATION_KIND',
    'SERVICE_KIND',
    'STATUS_KIND',
    'VALUE_LIMIT_BYTES',
    'AddressClaimDocument',
    'DataCentreStatusDocument',
    'Document',
    'EvacuationDocument',
    'PolicyDocument',
    'ServiceDocument',
    'ServicePhase',
    'UpstreamDocument',
    'is_name',
    'parse',
    'parse_service',
    'to_json',
]
