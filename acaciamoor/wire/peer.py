"""Messages between balancers."""

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
    """Why a datagram is passed to another balancer."""

    # The record of a new stream is stored by the flow's owners.
    RECORD = 0
    # A stream's record is looked up at the flow's owners.
    RESOLVE = 1
    # A request is passed to the placer of its service.
    WORK = 2
    # A placer without coverage asks the next balancer in rank for its record.
    COVERAGE = 3
    # A leaving placer passes on a queued request that has not run.
    HAND_OVER = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """A caller's datagram on its way through balancers.

    Parameters
    ----------
    purpose : ForwardPurpose
        Why it is passed on.
    datagram : bytes
        PROXY header and envelope, unchanged.
    position : int
        Position in the chain of owners of a stream.
    hops : int
        Balancers that passed the datagram on so far.
    upstream_id : str
        Upstream chosen by the first owner, or empty.
    held : datetime.timedelta
        Time that balancers held the datagram.
    visited : tuple of str
        Hosts that had no record of a stream.
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
    """A message of a decision package in its serialized form.

    Parameters
    ----------
    name : str
        Name of the message type.
    content : bytes
        Serialized fields.
    """

    name: str
    content: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class PeerMessage:
    """One message and the balancer that sent it."""

    sender: str
    body: Forward | Document


def encode_peer(message: PeerMessage) -> bytes:
    """Return the Cap'n Proto form of `message`."""
    builder = _SCHEMA.PeerMessage.new_message(sender=message.sender)
    _fill(message.body, builder)
    return builder.to_bytes()


@functools.singledispatch
def _fill(body: object, builder: capnp.lib.capnp._DynamicStructBuilder):
    raise TypeError(f'{type(body).__name__} is not a body of a peer message')


@_fill.register
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


@_fill.register
def _(body: Document, builder: capnp.lib.capnp._DynamicStructBuilder) -> None:
    document = builder.init('document')
    document.name = body.name
    document.content = body.content


def decode_peer(data: bytes) -> PeerMessage:
    """Return the message in `data`.

    Raises
    ------
    MalformedError
        If `data` is truncated or is not a message between balancers.
    """
    try:
        with _SCHEMA.PeerMessage.from_bytes(data) as message:
            return PeerMessage(message.sender, _body(message))
    except (capnp.KjException, ValueError) as error:
        raise envelopes.MalformedError(f'not a message: {error}') from error


def _body(
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
