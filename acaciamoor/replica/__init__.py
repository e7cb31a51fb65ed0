"""Replicas of the store's collections, which hosts relay to each other."""

from acaciamoor.replica.call_modes import AgeLimits
from acaciamoor.replica.call_modes import CallMode
from acaciamoor.replica.call_modes import Role
from acaciamoor.replica.call_modes import select_call_mode
from acaciamoor.replica.change_log import MAX_LOG_BYTES
from acaciamoor.replica.delays import DelayEstimator
from acaciamoor.replica.delays import REPORT_DELAY_WINDOW
from acaciamoor.replica.delays import SUMMARY_DELAY_WINDOW
from acaciamoor.replica.messages import Beat
from acaciamoor.replica.messages import Hello
from acaciamoor.replica.messages import MAX_LINK_MBPS
from acaciamoor.replica.messages import Message
from acaciamoor.replica.messages import MessageCodec
from acaciamoor.replica.messages import MessageError
from acaciamoor.replica.messages import Peers
from acaciamoor.replica.messages import PeerState
from acaciamoor.replica.messages import Progress
from acaciamoor.replica.messages import PROTOCOL
from acaciamoor.replica.messages import Report
from acaciamoor.replica.messages import Summary
from acaciamoor.replica.messages import Update
from acaciamoor.replica.peers import Peer
from acaciamoor.replica.peers import PeerList
from acaciamoor.replica.peers import PeerSettings
from acaciamoor.replica.replica import Batch
from acaciamoor.replica.replica import Confirmation
from acaciamoor.replica.replica import Replica

__all__ = [
    'MAX_LINK_MBPS',
    'MAX_LOG_BYTES',
    'PROTOCOL',
    'REPORT_DELAY_WINDOW',
    'SUMMARY_DELAY_WINDOW',
    'AgeLimits',
    'Batch',
    'Beat',
    'CallMode',
    'Confirmation',
    'DelayEstimator',
    'Hello',
    'Message',
    'MessageCodec',
    'MessageError',
    'Peer',
    'PeerList',
    'PeerSettings',
    'PeerState',
    'Peers',
    'Progress',
    'Replica',
    'Report',
    'Role',
    'Summary',
    'Update',
    'select_call_mode',
]
