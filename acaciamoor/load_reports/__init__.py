"""Load that hosts report to each other, and the picture that they share."""

from acaciamoor.load_reports.picture import DemandRate
from acaciamoor.load_reports.picture import LoadPicture
from acaciamoor.load_reports.report import HostReport
from acaciamoor.load_reports.report import LoadSummary
from acaciamoor.load_reports.report import ServiceDemand
from acaciamoor.load_reports.report import UpstreamLoad

__all__ = [
    'DemandRate',
    'HostReport',
    'LoadPicture',
    'LoadSummary',
    'ServiceDemand',
    'UpstreamLoad',
]
