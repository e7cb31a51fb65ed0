"""Routes and upstreams that a host acts on, with their versions."""

from acaciamoor.directory.directory import Directory
from acaciamoor.directory.removals import DirectorySettings
from acaciamoor.directory.removals import StoreContact
from acaciamoor.directory.routes import RequestKind
from acaciamoor.directory.routes import Route
from acaciamoor.directory.routes import RouteTable
from acaciamoor.directory.routes import ServiceLimits
from acaciamoor.directory.upstreams import UpstreamEntry
from acaciamoor.directory.upstreams import UpstreamList

__all__ = [
    'Directory',
    'DirectorySettings',
    'RequestKind',
    'Route',
    'RouteTable',
    'ServiceLimits',
    'StoreContact',
    'UpstreamEntry',
    'UpstreamList',
]
