"""Forwards packets of flows to upstreams that answer callers directly."""

from acaciamoor.forwarder.core import CoreSettings
from acaciamoor.forwarder.core import ForwarderCore
from acaciamoor.forwarder.effects import Decision
from acaciamoor.forwarder.effects import Dropped
from acaciamoor.forwarder.effects import DropReason
from acaciamoor.forwarder.effects import Forward
from acaciamoor.forwarder.effects import Placed
from acaciamoor.forwarder.effects import Refusal
from acaciamoor.forwarder.effects import RefusalReason
from acaciamoor.forwarder.packet import Packet
from acaciamoor.forwarder.packet import PacketCodec

__all__ = [
    'CoreSettings',
    'Decision',
    'DropReason',
    'Dropped',
    'Forward',
    'ForwarderCore',
    'Packet',
    'PacketCodec',
    'Placed',
    'Refusal',
    'RefusalReason',
]
