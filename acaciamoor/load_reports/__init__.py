"""Load that hosts report to each other, and the picture that they share."""

from acaciamoor.load_reports.aggregator import ReportAggregator
from acaciamoor.load_reports.collector import LoadCollector
from acaciamoor.load_reports.pace import limit_report
from acaciamoor.load_reports.pace import limit_summary
from acaciamoor.load_reports.pace import MIN_HOSTS
from acaciamoor.load_reports.pace import Pace
from acaciamoor.load_reports.picture import DemandRate
from acaciamoor.load_reports.picture import LoadPicture
from acaciamoor.load_reports.picture import MAX_AGE
from acaciamoor.load_reports.picture import TotalLoad
from acaciamoor.load_reports.report import HostReport
from acaciamoor.load_reports.report import LoadSummary
from acaciamoor.load_reports.report import ServiceDemand
from acaciamoor.load_reports.report import UpstreamLoad

__all__ = [
    'MAX_AGE',
    'MIN_HOSTS',
    'DemandRate',
    'HostReport',
    'LoadCollector',
    'LoadPicture',
    'LoadSummary',
    'Pace',
    'ReportAggregator',
    'ServiceDemand',
    'TotalLoad',
    'UpstreamLoad',
    'limit_report',
    'limit_summary',
]
