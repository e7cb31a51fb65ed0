"""Client of the platform's versioned object store and of its host list.

Names from modules that depend on aiohttp or pydantic are imported on first
use, so that forwarder processes start without loading these libraries.
"""

import importlib

from acaciamoor.platform.backoff import Backoff
from acaciamoor.platform.errors import Conflict
from acaciamoor.platform.errors import NotFound
from acaciamoor.platform.errors import OutcomeUnknown
from acaciamoor.platform.errors import RateLimited
from acaciamoor.platform.errors import Rejected
from acaciamoor.platform.errors import StoreError
from acaciamoor.platform.errors import TimedOut
from acaciamoor.platform.errors import Unavailable
from acaciamoor.platform.errors import VersionExpired
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

_MODULES_BY_LAZY_NAME = {
    'Host': 'hosts',
    'HostList': 'hosts',
    'HostState': 'hosts',
    'HttpTransport': 'http',
    'Timeouts': 'http',
    'list_hosts': 'hosts',
}

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
    'TimedOut',
    'Timeouts',
    'Transport',
    'Unavailable',
    'VersionExpired',
    'WatchEvent',
    'Write',
    'list_hosts',
]


def __getattr__(name: str) -> object:
    module = _MODULES_BY_LAZY_NAME.get(name)
    if module is None:
        raise AttributeError(f'module {__name__!r} has no attribute {name!r}')
    loaded = importlib.import_module(f'{__name__}.{module}')
    return getattr(loaded, name)
