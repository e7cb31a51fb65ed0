"""Projects the cost of each role at the planned scale from measurements."""

from acaciamoor.load.capacity.plan import LIMITS
from acaciamoor.load.capacity.plan import Limits
from acaciamoor.load.capacity.plan import PLAN
from acaciamoor.load.capacity.plan import Plan

__all__ = ['LIMITS', 'PLAN', 'Limits', 'Plan']
