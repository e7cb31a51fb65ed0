"""The balancer: its decision core and its process."""

from acaciamoor.balancer.core import BalancerCore
from acaciamoor.balancer.core import CoreSettings

__all__ = ['BalancerCore', 'CoreSettings']
