"""Scheduling of requests on the upstreams of a service.

A `Placer` queues the requests of one service, or of one shard of it, and
binds each to an upstream when a slot is free. It does no input or output: it
returns effects, which its owner carries out.
"""

from acaciamoor.placement.messages import Answer
from acaciamoor.placement.messages import AskPeer
from acaciamoor.placement.messages import Bind
from acaciamoor.placement.messages import CallerReturned
from acaciamoor.placement.messages import CancelUpstream
from acaciamoor.placement.messages import Effect
from acaciamoor.placement.messages import HandOver
from acaciamoor.placement.messages import HealthChanged
from acaciamoor.placement.messages import LoadReport
from acaciamoor.placement.messages import ProbeResult
from acaciamoor.placement.messages import RefusalInputs
from acaciamoor.placement.messages import Reply
from acaciamoor.placement.messages import SendPart
from acaciamoor.placement.messages import Shed
from acaciamoor.placement.placer import Placer
from acaciamoor.placement.shards import shard_count
from acaciamoor.placement.shards import shard_of_flow
from acaciamoor.placement.shards import shard_upstreams
from acaciamoor.requests import Origin
from acaciamoor.requests import Reason
from acaciamoor.requests import RequestKey
from acaciamoor.requests import RequestPart

__all__ = [
    'Answer',
    'AskPeer',
    'Bind',
    'CallerReturned',
    'CancelUpstream',
    'Effect',
    'HandOver',
    'HealthChanged',
    'LoadReport',
    'Origin',
    'Placer',
    'ProbeResult',
    'Reason',
    'RefusalInputs',
    'Reply',
    'RequestKey',
    'RequestPart',
    'SendPart',
    'Shed',
    'shard_count',
    'shard_of_flow',
    'shard_upstreams',
]
