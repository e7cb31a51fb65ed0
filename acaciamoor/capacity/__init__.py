"""Capacity of upstreams, measured from the load that hosts share."""

from acaciamoor.capacity.estimator import Capacity
from acaciamoor.capacity.estimator import CapacityEstimator
from acaciamoor.capacity.estimator import CapacitySample

__all__ = ['Capacity', 'CapacityEstimator', 'CapacitySample']
