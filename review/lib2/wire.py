"""Packets as the users' page on the protocol describes them."""

import dataclasses
import hashlib
import socket
import struct

SYN = 16
ACK = 128
FIN = 64
RST = 32
_HEADER = struct.Struct('!4sHH4sIIIB3xHI')
_PREFIX = struct.Struct('!Q')
_KEY = b'not disclosed to the system'
_MASK = 0xFFFFFFFF


@dataclasses.dataclass
class Packet:
    """Packet of a flow."""

    src: str
    sport: int
    dst: str
    dport: int
    flags: int
    seq: int = 0
    ack: int = 0
    echo: int = 0
    data: bytes = b''

    def compute_sum(self) -> int:
        """Return the keyed sum over all fields but `echo` and `pad`."""
        text = repr(
            (
                self.src,
                self.sport,
                self.dst,
                self.dport,
                self.flags,
                self.seq,
                self.ack,
                self.data,
            )
        )
        digest = hashlib.blake2b(text.encode(), key=_KEY, digest_size=4)
        return int.from_bytes(digest.digest(), 'big')

    def encode(self) -> bytes:
        """Return the packet as a datagram."""
        return (
            _HEADER.pack(
                socket.inet_aton(self.src),
                self.sport,
                self.dport,
                socket.inet_aton(self.dst),
                self.seq,
                self.ack,
                self.compute_sum(),
                self.flags,
                len(self.data),
                self.echo,
            )
            + self.data
        )


def decode(datagram: bytes) -> tuple[Packet, bool]:
    """Return a packet, and whether its sum is right."""
    (src, sport, dport, dst, seq, ack, total, flags, length, echo) = (
        _HEADER.unpack_from(datagram)
    )
    data = datagram[_HEADER.size :]
    packet = Packet(
        socket.inet_ntoa(src),
        sport,
        socket.inet_ntoa(dst),
        dport,
        flags,
        seq,
        ack,
        echo,
        data,
    )
    return packet, len(data) == length and packet.compute_sum() == total


def split_prefix(datagram: bytes) -> tuple[int, bytes]:
    """Return the number of the intended backend, and the packet."""
    return _PREFIX.unpack_from(datagram)[0], datagram[_PREFIX.size :]


def add(number: int, step: int) -> int:
    """Return a sequence number advanced by `step`."""
    return (number + step) & _MASK
