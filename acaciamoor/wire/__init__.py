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

__all__ = [
    'MAX_PARTS',
    'MAX_PAYLOAD_BYTES',
    'Envelope',
    'EnvelopeKind',
    'MalformedError',
    'Outcome',
    'SizeClass',
    'decode',
    'encode',
]
