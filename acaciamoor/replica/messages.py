"""Messages between relays and their listeners.

Each message is prefixed with its length. The encoding is MessagePack by
msgspec; importing pycapnp would add 80 ms of processor time to the start of a
host.
"""

import datetime
import struct
import typing

import msgspec

from acaciamoor import platform
from acaciamoor.replica import replica as replicas

_LENGTH = struct.Struct('!I')
# Many times the present size of a whole collection.
MAX_MESSAGE_BYTES = 16 << 20
_SECOND = datetime.timedelta(seconds=1)


class MessageError(ValueError):
    """Raised for a message that is malformed or unexpected."""


class Hello(msgspec.Struct, tag=True, frozen=True):
    """First message of a listener, with the versions that it has."""

    host_id: str
    versions_by_kind: dict[str, int]


class Progress(msgspec.Struct, frozen=True, array_like=True):
    """Version of a replica and the time since it was confirmed."""

    version: int
    # In seconds; negative if the version was never confirmed.
    age: float


class Beat(msgspec.Struct, tag=True, frozen=True):
    """Heartbeat: confirms the versions of all collections."""

    progress_by_kind: dict[str, Progress]


class ObjectState(msgspec.Struct, frozen=True, array_like=True):
    """State of an object; `value` is None if the object was deleted."""

    name: str
    version: int
    value: dict[str, typing.Any] | None


class Update(msgspec.Struct, tag=True, frozen=True):
    """Changes of one collection, or a snapshot of it."""

    kind: str
    base: int
    version: int
    age: float
    whole: bool
    states: list[ObjectState]

    @classmethod
    def from_batch(
        cls, kind: str, batch: replicas.Batch, age: datetime.timedelta | None
    ) -> 'Update':
        """Return the message that carries a batch."""
        return cls(
            kind,
            batch.base_version,
            batch.version,
            -1.0 if age is None else age / _SECOND,
            batch.snapshot,
            [
                _encode_event(event)
                for event in batch.events
                if event.stored is not None
            ],
        )

    def to_batch(self) -> replicas.Batch:
        """Return the batch in the message."""
        return replicas.Batch(
            self.base,
            self.version,
            tuple(_decode_event(self.kind, state) for state in self.states),
            self.whole,
        )


Message = Hello | Beat | Update


class MessageCodec:
    """Encodes, frames and decodes messages.

    Examples
    --------
    >>> codec = MessageCodec()
    >>> frame = codec.encode(Hello('h-1', {'config': 4}))
    >>> codec.decode(frame[codec.header_bytes:])
    Hello(host_id='h-1', versions_by_kind={'config': 4})
    """

    header_bytes = _LENGTH.size

    def __init__(self) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Message)

    def encode(self, message: Message) -> bytes:
        """Return an encoded message, prefixed with its length."""
        body = self._encoder.encode(message)
        return _LENGTH.pack(len(body)) + body

    def decode_length(self, header: bytes) -> int:
        """Return the message length in a header.

        Raises
        ------
        MessageError
            If the length is out of range.
        """
        length = _LENGTH.unpack(header)[0]
        if not 0 < length <= MAX_MESSAGE_BYTES:
            raise MessageError(
                f'message length of {length} bytes is out of range'
            )
        return length

    def decode(self, body: bytes) -> Message:
        """Return the message in `body`.

        Raises
        ------
        MessageError
            If `body` is not a valid message.
        """
        try:
            return self._decoder.decode(body)
        except (msgspec.MsgspecError, RecursionError) as error:
            raise MessageError(str(error)) from error


def decode_age(seconds: float) -> datetime.timedelta | None:
    """Return the age that a message holds; None if it is unknown.

    Raises
    ------
    MessageError
        If `seconds` is not a number or too large.
    """
    if seconds < 0:
        return None
    try:
        return seconds * _SECOND
    except (ValueError, OverflowError) as error:
        raise MessageError(f'age of {seconds} s is out of range') from error


def _encode_event(event: platform.WatchEvent) -> ObjectState:
    deleted = event.event_type is platform.EventType.DELETED
    value = None if deleted else dict(event.stored.value)
    return ObjectState(event.stored.name, event.version, value)


def _decode_event(kind: str, state: ObjectState) -> platform.WatchEvent:
    stored = platform.StoredObject(
        kind, state.name, state.version, state.value or {}
    )
    event_type = (
        platform.EventType.DELETED
        if state.value is None
        else platform.EventType.PUT
    )
    return platform.WatchEvent(event_type, state.version, stored)
