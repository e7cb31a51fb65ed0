"""Formats of datagrams."""

from acaciamoor.wire.envelope import decode
from acaciamoor.wire.envelope import encode
from acaciamoor.wire.envelope import Envelope
from acaciamoor.wire.envelope import EnvelopeKind
from acaciamoor.wire.envelope import MalformedError
from acaciamoor.wire.envelope import MAX_PARTS
from acaciamoor.wire.envelope import MAX_PAYLOAD_BYTES
from acaciamoor.wire.envelope import Outcome
from acaciamoor.wire.envelope import SizeClass
from acaciamoor.wire.keyring import AuthenticationError
from acaciamoor.wire.keyring import Keyring
from acaciamoor.wire.peer import decode_peer
from acaciamoor.wire.peer import Document
from acaciamoor.wire.peer import encode_peer
from acaciamoor.wire.peer import Forward
from acaciamoor.wire.peer import ForwardPurpose
from acaciamoor.wire.peer import PeerMessage
from acaciamoor.wire.preamble import Preamble
from acaciamoor.wire.preamble import read_preamble
from acaciamoor.wire.proxy import encode_proxy
from acaciamoor.wire.proxy import ProxyHeader
from acaciamoor.wire.proxy import ProxyHeaderError
from acaciamoor.wire.proxy import split_proxy

__all__ = [
    'MAX_PARTS',
    'MAX_PAYLOAD_BYTES',
    'AuthenticationError',
    'Document',
    'Envelope',
    'EnvelopeKind',
    'Forward',
    'ForwardPurpose',
    'Keyring',
    'MalformedError',
    'Outcome',
    'PeerMessage',
    'Preamble',
    'ProxyHeader',
    'ProxyHeaderError',
    'SizeClass',
    'decode',
    'decode_peer',
    'encode',
    'encode_peer',
    'encode_proxy',
    'read_preamble',
    'split_proxy',
]
