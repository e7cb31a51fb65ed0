"""What a host knows of routes and upstreams, and how old it is."""

from acaciamoor.directory.directory import Directory
from acaciamoor.directory.directory import DirectorySettings
from acaciamoor.directory.routes import RequestKind
from acaciamoor.directory.routes import Route
from acaciamoor.directory.routes import RouteTable
from acaciamoor.directory.upstreams import ListedUpstream
from acaciamoor.directory.upstreams import UpstreamList

__all__ = [
    'Directory',
    'DirectorySettings',
    'ListedUpstream',
    'RequestKind',
    'Route',
    'RouteTable',
    'UpstreamList',
]
