"""Process of a balancer: its sockets, timers and connections."""

from acaciamoor.balancer.shell.process import BalancerProcess
from acaciamoor.balancer.shell.process import ProcessSettings

__all__ = ['BalancerProcess', 'ProcessSettings']
