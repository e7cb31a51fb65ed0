"""Versioned views of the upstreams of a service and their activation."""

from acaciamoor.views.history import ACTIVATION_DELAY
from acaciamoor.views.history import ACTIVATION_INTERVAL
from acaciamoor.views.history import FRESHNESS_LIMIT
from acaciamoor.views.history import RetainedView
from acaciamoor.views.history import RETENTION
from acaciamoor.views.history import VIEW_LIMIT
from acaciamoor.views.history import ViewHistory
from acaciamoor.views.view import ServiceView
from acaciamoor.views.view import ViewVersion

__all__ = [
    'ACTIVATION_DELAY',
    'ACTIVATION_INTERVAL',
    'FRESHNESS_LIMIT',
    'RETENTION',
    'VIEW_LIMIT',
    'RetainedView',
    'ServiceView',
    'ViewHistory',
    'ViewVersion',
]
