"""Tasks that own the sockets, timers and connections of a forwarder."""

from acaciamoor.forwarder.shell.limits import FollowingSettings
from acaciamoor.forwarder.shell.process import ForwarderProcess
from acaciamoor.forwarder.shell.process import ProcessSettings
from acaciamoor.forwarder.shell.sources import StoreCalls

__all__ = [
    'FollowingSettings',
    'ForwarderProcess',
    'ProcessSettings',
    'StoreCalls',
]
