"""Service-level objectives and how fast their error budgets burn."""

from acaciamoor.report.burn import assess
from acaciamoor.report.burn import Assessment
from acaciamoor.report.burn import Windows
from acaciamoor.report.objectives import Objective
from acaciamoor.report.objectives import ObjectiveKind
from acaciamoor.report.scrapes import Scrape
from acaciamoor.report.series import History

__all__ = [
    'Assessment',
    'History',
    'Objective',
    'ObjectiveKind',
    'Scrape',
    'Windows',
    'assess',
]
