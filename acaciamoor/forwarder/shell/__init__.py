"""Sockets, timers and connections of the forwarder process."""

from acaciamoor.forwarder.shell.limits import SyncSettings
from acaciamoor.forwarder.shell.process import ForwarderProcess
from acaciamoor.forwarder.shell.process import ProcessSettings
from acaciamoor.forwarder.shell.sources import StoreTransports

__all__ = [
    'ForwarderProcess',
    'ProcessSettings',
    'StoreTransports',
    'SyncSettings',
]
