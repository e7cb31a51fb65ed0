"""Benchmark scenarios and the tool that runs them."""

from acaciamoor.load.measurement import Measurement
from acaciamoor.load.measurement import Target
from acaciamoor.load.measurement import TargetOperator
from acaciamoor.load.measurement import Variant

__all__ = ['Measurement', 'Target', 'TargetOperator', 'Variant']
