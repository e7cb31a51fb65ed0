"""Evidence about failures of upstreams that all hosts share."""

from acaciamoor.evidence.report_filter import limit_unanswered
from acaciamoor.evidence.report_filter import ReportFilter
from acaciamoor.evidence.settings import EvidenceSettings
from acaciamoor.evidence.shared import Change
from acaciamoor.evidence.shared import SharedEvidence
from acaciamoor.evidence.upstream import Verdict

__all__ = [
    'Change',
    'EvidenceSettings',
    'ReportFilter',
    'SharedEvidence',
    'Verdict',
    'limit_unanswered',
]
