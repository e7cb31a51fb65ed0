"""Copies of the store's collections that hosts pass on to each other."""

from acaciamoor.replica.messages import Beat
from acaciamoor.replica.messages import Hello
from acaciamoor.replica.messages import Message
from acaciamoor.replica.messages import MessageCodec
from acaciamoor.replica.messages import MessageError
from acaciamoor.replica.messages import Progress
from acaciamoor.replica.messages import Update
from acaciamoor.replica.peers import Peer
from acaciamoor.replica.peers import PeerList
from acaciamoor.replica.peers import PeerSettings
from acaciamoor.replica.replica import Batch
from acaciamoor.replica.replica import Replica
from acaciamoor.replica.sourcing import AgeLimits
from acaciamoor.replica.sourcing import Calls
from acaciamoor.replica.sourcing import needed_calls
from acaciamoor.replica.sourcing import Role

__all__ = [
    'AgeLimits',
    'Batch',
    'Beat',
    'Calls',
    'Hello',
    'Message',
    'MessageCodec',
    'MessageError',
    'Peer',
    'PeerList',
    'PeerSettings',
    'Progress',
    'Replica',
    'Role',
    'Update',
    'needed_calls',
]
