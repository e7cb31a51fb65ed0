"""Encoding of the messages between balancers."""

import dataclasses
import datetime
import enum
import functools
import pathlib

import capnp

from acaciamoor.wire import envelope as envelopes

_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name('peer.capnp')))

_MILLISECOND = datetime.timedelta(milliseconds=1)


class ForwardPurpose(enum.IntEnum):
    """Reason for forwarding a datagram to another balancer."""

    # Stores the record of a new stream on the owners of its flow.
    RECORD = 0
    # Looks up the record of a stream on the owners of its flow.
    RESOLVE = 1
    # Sends a request to the leader of its shard.
    WORK = 2
    # Asks the next balancer in rank for its record of a request, because the
    # leader's own records do not cover it.
    COVERAGE = 3
    # Transfers a queued request that has not run to the next leader.
    HAND_OVER = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """A caller's datagram that one balancer forwards to another.

    Parameters
    ----------
    purpose : ForwardPurpose
        Reason for forwarding it.
    datagram : bytes
        PROXY header and envelope, unchanged.
    position : int
        Position in the chain of owners of a stream's record.
    hops : int
        Number of balancers that have forwarded the datagram so far.
    upstream_id : str
        Upstream chosen by the first owner; empty if none is chosen yet.
    held : datetime.timedelta
        Total time that the datagram has spent in balancers.
    visited : tuple of str
        Hosts that were asked for the stream and had no record of it.
    """

    purpose: ForwardPurpose
    datagram: bytes
    position: int = 0
    hops: int = 1
    upstream_id: str = ''
    held: datetime.timedelta = datetime.timedelta(0)
    visited: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """A serialized control message, for example of the membership protocol.

    Parameters
    ----------
    name : str
        Name of the message type.
    content : bytes
        Serialized fields of the message.
    """

    name: str
    content: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message between balancers and the host that sent it."""

    sender: str
    body: Forward | Document


def encode_peer_message(message: PeerMessage) -> bytes:
    """Return the Cap'n Proto encoding of `message`."""
    builder = _SCHEMA.PeerMessage.new_message(sender=message.sender)
    _set_body(message.body, builder)
    return builder.to_bytes()


@functools.singledispatch
def _set_body(body: object, builder: capnp.lib.capnp._DynamicStructBuilder):
    raise TypeError(f'{type(body).__name__} cannot be sent in a peer message')


@_set_body.register
def _(body: Forward, builder: capnp.lib.capnp._DynamicStructBuilder) -> None:
    forward = builder.init('forward')
    forward.purpose = int(body.purpose)
    forward.position = body.position
    forward.hops = body.hops
    forward.upstreamId = body.upstream_id
    forward.datagram = body.datagram
    forward.heldMs = body.held // _MILLISECOND
    if body.visited:
        forward.visited = list(body.visited)


@_set_body.register
def _(body: Document, builder: capnp.lib.capnp._DynamicStructBuilder) -> None:
    document = builder.init('document')
    document.name = body.name
    document.content = body.content


def decode_peer_message(data: bytes) -> PeerMessage:
    """Return the message encoded in `data`.

    Raises
    ------
    MalformedError
        If `data` is truncated or is not a valid peer message.
    """
    try:
        with _SCHEMA.PeerMessage.from_bytes(data) as message:
            return PeerMessage(message.sender, _decode_body(message))
    except (capnp.KjException, ValueError) as error:
        raise envelopes.MalformedError(
            f'not a valid peer message: {error}'
        ) from error


def _decode_body(
    message: capnp.lib.capnp._DynamicStructReader,
) -> Forward | Document:
    if message.which() == 'forward':
        forward = message.forward
        return Forward(
            purpose=ForwardPurpose(forward.purpose.raw),
            datagram=bytes(forward.datagram),
            position=forward.position,
            hops=forward.hops,
            upstream_id=forward.upstreamId,
            held=forward.heldMs * _MILLISECOND,
            visited=tuple(forward.visited),
        )
    document = message.document
    return Document(document.name, bytes(document.content))
