"""Stand-in for the platform, with rate limits and injected faults."""

from acaciamoor.standins.platform.faults import Faults
from acaciamoor.standins.platform.memory import MemoryTransport
from acaciamoor.standins.platform.server import PlatformServer
from acaciamoor.standins.platform.table import ObjectTable

__all__ = ['Faults', 'MemoryTransport', 'ObjectTable', 'PlatformServer']
