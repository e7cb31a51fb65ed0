"""Placement of new flows, based on the packets that pass this host."""

from acaciamoor.openings.failure_detector import FailureDetector
from acaciamoor.openings.failure_detector import FailureDetectorSettings
from acaciamoor.openings.flow_tracker import FlowTracker
from acaciamoor.openings.flow_tracker import TrackedFlow
from acaciamoor.openings.load import DemandTracker
from acaciamoor.openings.load import LoadTracker
from acaciamoor.openings.pending import Opening
from acaciamoor.openings.pending import PendingOpenings
from acaciamoor.openings.placer import OpeningPlacer
from acaciamoor.openings.placer import PlacementSettings

__all__ = [
    'DemandTracker',
    'FailureDetector',
    'FailureDetectorSettings',
    'FlowTracker',
    'LoadTracker',
    'Opening',
    'OpeningPlacer',
    'PendingOpenings',
    'PlacementSettings',
    'TrackedFlow',
]
