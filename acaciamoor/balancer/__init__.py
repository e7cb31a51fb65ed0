"""The balancer: its decisions and the process around them."""

from acaciamoor.balancer.core import BalancerCore
from acaciamoor.balancer.core import CoreSettings

__all__ = ['BalancerCore', 'CoreSettings']
