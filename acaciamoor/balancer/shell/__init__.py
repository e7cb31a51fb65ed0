"""Tasks that own the sockets, timers and connections of a balancer."""

from acaciamoor.balancer.shell.process import BalancerProcess
from acaciamoor.balancer.shell.process import ProcessSettings

__all__ = ['BalancerProcess', 'ProcessSettings']
