"""Measures slopes and works out what each role costs at the planned size."""

from acaciamoor.load.capacity.plan import LIMITS
from acaciamoor.load.capacity.plan import Limits
from acaciamoor.load.capacity.plan import PLAN
from acaciamoor.load.capacity.plan import Plan

__all__ = ['LIMITS', 'PLAN', 'Limits', 'Plan']
