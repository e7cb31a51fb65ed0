"""Messages between relays and their listeners.

Each message is prefixed with its length. The encoding is MessagePack by
msgspec; importing pycapnp would add 80 ms of processor time to the start of a
host.
"""

import datetime
import math
import struct
import typing
import zlib

import msgspec

from acaciamoor import model
from acaciamoor import platform
from acaciamoor.replica import peers as peer_lists
from acaciamoor.replica import replica as replicas

_LENGTH = struct.Struct('!I')
# Version of the messages and of what their fields mean. Hosts of another one
# call the store themselves.
PROTOCOL = 3
# Many times the present size of a whole collection.
MAX_MESSAGE_BYTES = 16 << 20
# Messages above this size are compressed, to about an eighth. Hosts that start
# together each get whole collections, also over narrow links.
_MIN_COMPRESSED_BYTES = 4096
# The same for reports and summaries, which are sent several times a second.
# Smaller ones would hardly shrink.
_MIN_COMPRESSED_LOAD_BYTES = 512
_COMPRESSION_LEVEL = 1
# Reports and summaries are small, and one is compressed for all its receivers.
_LOAD_COMPRESSION_LEVEL = 6
_SECOND = datetime.timedelta(seconds=1)
# Terabit links do not exist yet; a wider one is an error.
MAX_LINK_MBPS = 1e6
# Ages above a year are errors.
_MAX_AGE_S = 366 * 86400
# Monotonic clocks count from the start of a machine.
_MAX_CLOCK_S = 100 * _MAX_AGE_S


class MessageError(ValueError):
    """Raised for a message that is malformed or unexpected."""


class PeerState(msgspec.Struct, frozen=True, array_like=True):
    """A known host; see `Peer`."""

    host_id: str
    data_centre: str
    ip: str
    port: int
    link_mbps: float

    @classmethod
    def from_peer(cls, peer: peer_lists.Peer) -> 'PeerState':
        """Return the state that carries a host."""
        return cls(
            peer.host_id,
            peer.data_centre,
            peer.address.ip,
            peer.address.port,
            peer.link_mbps,
        )

    def __post_init__(self) -> None:
        if not 0 <= self.link_mbps <= MAX_LINK_MBPS:
            raise ValueError(f'bandwidth {self.link_mbps} is out of range')

    def to_peer(self) -> peer_lists.Peer:
        """Return the host.

        Raises
        ------
        MessageError
            If its address is malformed.
        """
        try:
            address = model.Address(self.ip, self.port)
        except ValueError as error:
            raise MessageError(f'host {self.host_id!r}: {error}') from error
        return peer_lists.Peer(
            model.HostId(self.host_id),
            model.DataCentre(self.data_centre),
            address,
            self.link_mbps,
        )


class Hello(msgspec.Struct, tag=True, frozen=True):
    """Message of a listener: who it is, and the versions it has.

    It is the first message on a connection, and is repeated when the number
    of its own listeners changes.
    """

    host_id: str
    versions_by_kind: dict[str, int]
    # None from hosts of a version that did not send it.
    peer: PeerState | None = None
    # Hosts of its data centre that listen to it.
    listeners: int = 0
    # 0 from hosts whose versions have no era.
    protocol: int = 0


class Peers(msgspec.Struct, tag=True, frozen=True):
    """Hosts that a relay knows, or that it has come to know."""

    peers: list[PeerState]


class Progress(msgspec.Struct, frozen=True, array_like=True):
    """Version of a replica and the last confirmation of it."""

    version: int
    # In seconds; negative if the version was never confirmed.
    age: float
    # See `Confirmation`; empty from hosts of a version that did not send it.
    origin: str = ''
    serial: int = 0

    def __post_init__(self) -> None:
        if not -math.inf < self.age < _MAX_AGE_S:
            raise ValueError(f'age of {self.age} s is out of range')

    @classmethod
    def of(
        cls, replica: replicas.Replica, now: datetime.timedelta
    ) -> 'Progress':
        """Return the progress of a replica."""
        confirmation = replica.confirmation
        if confirmation is None:
            return cls(replica.version, -1.0)
        return cls(
            replica.version,
            (now - confirmation.at) / _SECOND,
            confirmation.origin,
            confirmation.serial,
        )

    def confirm(
        self, replica: replicas.Replica, now: datetime.timedelta
    ) -> bool:
        """Apply the confirmation to a replica; False if it had no effect."""
        if self.age < 0:
            return False
        return replica.confirm(
            self.version,
            replicas.Confirmation(
                now - self.age * _SECOND, self.origin, self.serial
            ),
        )


def _check_clock(seconds: float) -> None:
    if not 0 <= seconds < _MAX_CLOCK_S:
        raise ValueError(f'clock of {seconds} s is out of range')


class Beat(msgspec.Struct, tag=True, frozen=True):
    """Heartbeat: confirms the versions of all collections."""

    progress_by_kind: dict[str, Progress]
    # Data centre of the sender, and its number of hosts.
    data_centre: str = ''
    hosts: int = 0
    # By the monotonic clock of the sender, in seconds.
    sent_at: float = 0.0

    def __post_init__(self) -> None:
        _check_clock(self.sent_at)


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
    progress: Progress
    whole: bool
    states: list[ObjectState]
    # By the monotonic clock of the sender, in seconds.
    sent_at: float

    def __post_init__(self) -> None:
        _check_clock(self.sent_at)

    @classmethod
    def from_batch(
        cls,
        replica: replicas.Replica,
        batch: replicas.Batch,
        now: datetime.timedelta,
    ) -> 'Update':
        """Return the message that carries a batch of a replica."""
        return cls(
            replica.kind,
            batch.base_version,
            batch.version,
            Progress.of(replica, now),
            batch.snapshot,
            [
                _encode_event(event)
                for event in batch.events
                if event.stored is not None
            ],
            now / _SECOND,
        )

    def to_batch(self) -> replicas.Batch:
        """Return the batch in the message."""
        return replicas.Batch(
            self.base,
            self.version,
            tuple(_decode_event(self.kind, state) for state in self.states),
            self.whole,
        )


class Report(msgspec.Struct, tag=True, frozen=True):
    """Load that a listener reports, or the sum of its listeners' reports.

    The body is not decoded with the message: one that is malformed is refused
    without the loss of the connection, which carries the collections.
    """

    body: msgspec.Raw
    # By the monotonic clock of the sender, in seconds.
    sent_at: float

    def __post_init__(self) -> None:
        _check_clock(self.sent_at)


class Summary(msgspec.Struct, tag=True, frozen=True):
    """Sums of the reports of data centres; see `Report` on the body."""

    body: msgspec.Raw
    # By the monotonic clock of the sender, in seconds.
    sent_at: float

    def __post_init__(self) -> None:
        _check_clock(self.sent_at)


class Compressed(msgspec.Struct, tag=True, frozen=True):
    """Another message, compressed."""

    body: bytes


Message = Hello | Beat | Peers | Update | Report | Summary


class MessageCodec:
    """Encodes, frames and decodes messages.

    Examples
    --------
    >>> codec = MessageCodec()
    >>> frame = codec.encode(Beat({'config': Progress(4, 0.2)}))
    >>> codec.decode(frame[codec.header_bytes:]).progress_by_kind['config']
    Progress(version=4, age=0.2, origin='', serial=0)
    """

    header_bytes = _LENGTH.size

    def __init__(self) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Message | Compressed)

    def encode(self, message: Message) -> bytes:
        """Return an encoded message, prefixed with its length."""
        body = self._encoder.encode(message)
        min_bytes, level = _MIN_COMPRESSED_BYTES, _COMPRESSION_LEVEL
        if isinstance(message, Report | Summary):
            min_bytes = _MIN_COMPRESSED_LOAD_BYTES
            level = _LOAD_COMPRESSION_LEVEL
        if len(body) >= min_bytes:
            compressed = zlib.compress(body, level)
            body = self._encoder.encode(Compressed(compressed))
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
            message = self._decoder.decode(body)
            if isinstance(message, Compressed):
                message = self._decoder.decode(_decompress(message.body))
        except (msgspec.MsgspecError, RecursionError, zlib.error) as error:
            raise MessageError(str(error)) from error
        if isinstance(message, Compressed):
            raise MessageError('message is compressed twice')
        return message


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    body = decompressor.decompress(data, MAX_MESSAGE_BYTES)
    if not decompressor.eof:
        raise MessageError('compressed message is too long or incomplete')
    return body


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
