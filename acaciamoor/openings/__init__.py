"""Where new flows go, judged by the packets that pass this host."""

from acaciamoor.openings.evidence import Evidence
from acaciamoor.openings.evidence import EvidenceSettings
from acaciamoor.openings.load import LoadBook
from acaciamoor.openings.pending import Opening
from acaciamoor.openings.pending import PendingOpenings
from acaciamoor.openings.placer import OpeningPlacer
from acaciamoor.openings.placer import PlacementSettings
from acaciamoor.openings.requests import Flow
from acaciamoor.openings.requests import FlowActivity

__all__ = [
    'Evidence',
    'EvidenceSettings',
    'Flow',
    'FlowActivity',
    'LoadBook',
    'Opening',
    'OpeningPlacer',
    'PendingOpenings',
    'PlacementSettings',
]
