"""Encodings of the datagrams between callers, balancers and upstreams."""

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
from acaciamoor.wire.peer import decode_peer_message
from acaciamoor.wire.peer import Document
from acaciamoor.wire.peer import encode_peer_message
from acaciamoor.wire.peer import Forward
from acaciamoor.wire.peer import ForwardPurpose
from acaciamoor.wire.peer import PeerMessage
from acaciamoor.wire.preamble import Preamble
from acaciamoor.wire.preamble import read_preamble
from acaciamoor.wire.proxy import encode_proxy_header
from acaciamoor.wire.proxy import parse_proxy_header
from acaciamoor.wire.proxy import ProxyHeader
from acaciamoor.wire.proxy import ProxyHeaderError

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
    'decode_peer_message',
    'encode',
    'encode_peer_message',
    'encode_proxy_header',
    'parse_proxy_header',
    'read_preamble',
]
