"""Service-level objectives and the burn rates of their error budgets."""

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
