"""Messages between hosts that pass collections on.

Each message is framed by its length. msgspec's MessagePack codec is used in
place of pycapnp, whose import costs a starting host 80 ms of processor time.
"""

import datetime
import struct
import typing

import msgspec

from acaciamoor import platform
from acaciamoor.replica import replica as replicas

_LENGTH = struct.Struct('!I')
# Largest message: a whole collection of today's sizes many times over.
MESSAGE_LIMIT_BYTES = 16 << 20
_SECOND = datetime.timedelta(seconds=1)


class MessageError(ValueError):
    """A message that cannot be understood."""


class Hello(msgspec.Struct, tag=True, frozen=True):
    """First message of a host that wants to be told of changes."""

    host_id: str
    versions_by_kind: dict[str, int]


class Progress(msgspec.Struct, frozen=True, array_like=True):
    """How far a collection is known, and for how long that may be old."""

    version: int
    # Seconds; below zero if the age is not known.
    age: float


class Beat(msgspec.Struct, tag=True, frozen=True):
    """Tells that nothing has changed."""

    progress_by_kind: dict[str, Progress]


class ObjectState(msgspec.Struct, frozen=True, array_like=True):
    """An object; `value` is None if it was removed."""

    name: str
    version: int
    value: dict[str, typing.Any] | None


class Update(msgspec.Struct, tag=True, frozen=True):
    """Changes of one collection."""

    kind: str
    base: int
    version: int
    age: float
    whole: bool
    states: list[ObjectState]

    @classmethod
    def of(
        cls, kind: str, batch: replicas.Batch, age: datetime.timedelta | None
    ) -> 'Update':
        """Return the message for a batch."""
        return cls(
            kind,
            batch.base,
            batch.version,
            -1.0 if age is None else age / _SECOND,
            batch.whole,
            [
                _state(event)
                for event in batch.events
                if event.stored is not None
            ],
        )

    def batch(self) -> replicas.Batch:
        """Return the batch in the message."""
        return replicas.Batch(
            self.base,
            self.version,
            tuple(_event(self.kind, state) for state in self.states),
            self.whole,
        )


Message = Hello | Beat | Update


class MessageCodec:
    """Frames and unframes messages.

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
        """Return a message with its length in front."""
        body = self._encoder.encode(message)
        return _LENGTH.pack(len(body)) + body

    def length(self, header: bytes) -> int:
        """Return the length that a header announces.

        Raises
        ------
        MessageError
            If it is out of range.
        """
        length = _LENGTH.unpack(header)[0]
        if not 0 < length <= MESSAGE_LIMIT_BYTES:
            raise MessageError(f'a message of {length} bytes is not accepted')
        return length

    def decode(self, body: bytes) -> Message:
        """Return the message in `body`.

        Raises
        ------
        MessageError
            If it is not a message.
        """
        try:
            return self._decoder.decode(body)
        except msgspec.MsgspecError as error:
            raise MessageError(str(error)) from error


def age_of(seconds: float) -> datetime.timedelta | None:
    """Return the age in a message; None if it is not known."""
    return None if seconds < 0 else seconds * _SECOND


def _state(event: platform.WatchEvent) -> ObjectState:
    removed = event.event_type is platform.EventType.DELETED
    value = None if removed else dict(event.stored.value)
    return ObjectState(event.stored.name, event.version, value)


def _event(kind: str, state: ObjectState) -> platform.WatchEvent:
    stored = platform.StoredObject(
        kind, state.name, state.version, state.value or {}
    )
    event_type = (
        platform.EventType.DELETED
        if state.value is None
        else platform.EventType.PUT
    )
    return platform.WatchEvent(event_type, state.version, stored)
