"""Objects with versions on the platform, and its list of hosts."""

from acaciamoor.platform.backoff import Backoff
from acaciamoor.platform.errors import Conflict
from acaciamoor.platform.errors import NotFound
from acaciamoor.platform.errors import OutcomeUnknown
from acaciamoor.platform.errors import RateLimited
from acaciamoor.platform.errors import Rejected
from acaciamoor.platform.errors import StoreError
from acaciamoor.platform.errors import Unavailable
from acaciamoor.platform.errors import VersionExpired
from acaciamoor.platform.hosts import Host
from acaciamoor.platform.hosts import HostList
from acaciamoor.platform.hosts import HostState
from acaciamoor.platform.hosts import list_hosts
from acaciamoor.platform.http import HttpTransport
from acaciamoor.platform.objects import Change
from acaciamoor.platform.objects import EventType
from acaciamoor.platform.objects import FieldSelector
from acaciamoor.platform.objects import Listing
from acaciamoor.platform.objects import ObjectStore
from acaciamoor.platform.objects import StoredObject
from acaciamoor.platform.objects import Transport
from acaciamoor.platform.objects import VALUE_LIMIT_BYTES
from acaciamoor.platform.objects import WatchEvent
from acaciamoor.platform.objects import Write
from acaciamoor.platform.store import PlatformStore

__all__ = [
    'VALUE_LIMIT_BYTES',
    'Backoff',
    'Change',
    'Conflict',
    'EventType',
    'FieldSelector',
    'Host',
    'HostList',
    'HostState',
    'HttpTransport',
    'Listing',
    'NotFound',
    'ObjectStore',
    'OutcomeUnknown',
    'PlatformStore',
    'RateLimited',
    'Rejected',
    'StoreError',
    'StoredObject',
    'Transport',
    'Unavailable',
    'VersionExpired',
    'WatchEvent',
    'Write',
    'list_hosts',
]
