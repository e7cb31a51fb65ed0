"""Replication of the service configuration at monotonic versions."""

from acaciamoor.configuration.effects import Send
from acaciamoor.configuration.messages import ConfigurationDigest
from acaciamoor.configuration.messages import Delta
from acaciamoor.configuration.messages import EvacuationState
from acaciamoor.configuration.messages import Message
from acaciamoor.configuration.messages import ServiceVersion
from acaciamoor.configuration.messages import Snapshot
from acaciamoor.configuration.messages import SnapshotRequest
from acaciamoor.configuration.store import ACTIVATION_DELAY
from acaciamoor.configuration.store import ConfigurationStore

__all__ = [
    'ACTIVATION_DELAY',
    'ConfigurationDigest',
    'ConfigurationStore',
    'Delta',
    'EvacuationState',
    'Message',
    'Send',
    'ServiceVersion',
    'Snapshot',
    'SnapshotRequest',
]
