"""Forwards packets of flows to upstreams that reply to callers directly."""

from acaciamoor.forwarder.core import ForwarderCore
from acaciamoor.forwarder.core_settings import CoreSettings
from acaciamoor.forwarder.effects import Decision
from acaciamoor.forwarder.effects import Drop
from acaciamoor.forwarder.effects import DropReason
from acaciamoor.forwarder.effects import Forward
from acaciamoor.forwarder.effects import Placement
from acaciamoor.forwarder.effects import Refusal
from acaciamoor.forwarder.effects import RefusalReason
from acaciamoor.forwarder.effects import Wait
from acaciamoor.forwarder.effects import WaitReason
from acaciamoor.forwarder.packet import Packet
from acaciamoor.forwarder.packet import PacketCodec

__all__ = [
    'CoreSettings',
    'Decision',
    'Drop',
    'DropReason',
    'Forward',
    'ForwarderCore',
    'Packet',
    'PacketCodec',
    'Placement',
    'Refusal',
    'RefusalReason',
    'Wait',
    'WaitReason',
]
