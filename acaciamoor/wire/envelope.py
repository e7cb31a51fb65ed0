"""Envelope of every datagram between callers, balancers and upstreams."""

import dataclasses
import datetime
import enum
import pathlib

import capnp

_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name('envelope.capnp')))
_MILLISECOND = datetime.timedelta(milliseconds=1)
# A larger payload and its headers would not fit into one Ethernet frame.
MAX_PAYLOAD_BYTES = 1200
MAX_PARTS = 64


class EnvelopeKind(enum.IntEnum):
    """Type of a datagram: an operation on a stream or request, or a reply."""

    OPEN = 0
    DATA = 1
    KEEPALIVE = 2
    CLOSE = 3
    REQUEST = 4
    CANCEL = 5
    ANSWER = 6
    REFUSAL = 7


class SizeClass(enum.IntEnum):
    """Processing time of a request as estimated by its caller."""

    UNKNOWN = 0
    SHORT = 1
    LONG = 2


class Outcome(enum.IntEnum):
    """Execution state of a request that was answered or refused."""

    COMPLETE = 0
    NOT_RUN = 1
    OUTCOME_UNKNOWN = 2


class MalformedError(ValueError):
    """Raised for a datagram that cannot be decoded."""


@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """Decoded form of one datagram.

    Parameters
    ----------
    kind : EnvelopeKind
        Type of the datagram.
    service : int
        Identifier of the service, an unsigned 32-bit number.
    flow : int
        Identifier of the flow, a random unsigned 64-bit number.
    request : int
        Identifier of the request within the flow; 0 for streams.
    attempt : int
        0 for the first transmission, incremented for each retransmission.
    idempotent : bool
        Whether the request may safely be executed more than once.
    age : datetime.timedelta
        Time since the caller's first transmission.
    timeout : datetime.timedelta
        Time left until the caller abandons the request.
    size_class : SizeClass
        Processing time of the request as estimated by its caller.
    part, parts : int
        Zero-based index of this part, and number of parts of the message.
    outcome : Outcome
        For an answer or a refusal, whether the request was executed.
    reason : str
        For a refusal, its cause.
    payload : bytes
        Application data, at most `MAX_PAYLOAD_BYTES`.
    retry_after : datetime.timedelta
        For a refusal, the time after which the request may succeed; zero if
        that is not known.
    """

    kind: EnvelopeKind
    service: int
    flow: int
    request: int = 0
    attempt: int = 0
    idempotent: bool = False
    age: datetime.timedelta = datetime.timedelta(0)
    timeout: datetime.timedelta = datetime.timedelta(0)
    size_class: SizeClass = SizeClass.UNKNOWN
    part: int = 0
    parts: int = 1
    outcome: Outcome = Outcome.COMPLETE
    reason: str = ''
    payload: bytes = b''
    retry_after: datetime.timedelta = datetime.timedelta(0)


def encode(envelope: Envelope) -> bytes:
    """Return the Cap'n Proto encoding of `envelope`.

    Raises
    ------
    ValueError
        If the payload is larger than `MAX_PAYLOAD_BYTES`.
    """
    if len(envelope.payload) > MAX_PAYLOAD_BYTES:
        raise ValueError(
            f'payload of {len(envelope.payload)} bytes exceeds the limit of '
            f'{MAX_PAYLOAD_BYTES}'
        )
    message = _SCHEMA.Envelope.new_message(
        flow=envelope.flow,
        request=envelope.request,
        service=envelope.service,
        ageMs=envelope.age // _MILLISECOND,
        timeoutMs=envelope.timeout // _MILLISECOND,
        attempt=envelope.attempt,
        part=envelope.part,
        parts=envelope.parts,
        kind=int(envelope.kind),
        sizeClass=int(envelope.size_class),
        outcome=int(envelope.outcome),
        idempotent=envelope.idempotent,
        reason=envelope.reason,
        payload=envelope.payload,
        retryAfterMs=envelope.retry_after // _MILLISECOND,
    )
    return message.to_bytes()


def decode(data: bytes) -> Envelope:
    """Return the envelope encoded in `data`.

    Raises
    ------
    MalformedError
        If `data` is truncated, is not an envelope, or has a part index that
        is out of range.
    """
    try:
        with _SCHEMA.Envelope.from_bytes(data) as message:
            envelope = _to_envelope(message)
    except (capnp.KjException, ValueError) as error:
        raise MalformedError(f'not a valid envelope: {error}') from error
    if not envelope.part < envelope.parts <= MAX_PARTS:
        raise MalformedError(
            f'part {envelope.part} of {envelope.parts} is out of range'
        )
    return envelope


def _to_envelope(message: capnp.lib.capnp._DynamicStructReader) -> Envelope:
    return Envelope(
        kind=EnvelopeKind(message.kind.raw),
        service=message.service,
        flow=message.flow,
        request=message.request,
        attempt=message.attempt,
        idempotent=message.idempotent,
        age=message.ageMs * _MILLISECOND,
        timeout=message.timeoutMs * _MILLISECOND,
        size_class=SizeClass(message.sizeClass.raw),
        part=message.part,
        parts=message.parts,
        outcome=Outcome(message.outcome.raw),
        reason=message.reason,
        payload=bytes(message.payload),
        retry_after=message.retryAfterMs * _MILLISECOND,
    )
