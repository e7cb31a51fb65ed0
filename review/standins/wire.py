"""Packets between requesters, forwarders and backends."""

import dataclasses
import socket
import struct
import zlib

HEADER = struct.Struct('!IHHIIIIB3xHI')
SYN = 16
ACK = 128
FIN = 64
RST = 32
WIRE_ID_BYTES = 8
_KEY = b'known to requesters and backends only'


@dataclasses.dataclass(frozen=True)
class Packet:
    """Header and data of a packet."""

    src: int
    sport: int
    dport: int
    dst: int
    seq: int
    ack: int
    flags: int
    echo: int
    data: bytes = b''
    total: int = 0

    @property
    def flow(self) -> tuple[int, int, int, int]:
        """Address and port of the requester, then of the route."""
        return self.src, self.sport, self.dst, self.dport

    def compute_sum(self) -> int:
        """Return the keyed sum over all fields but the echo."""
        fields = (self.src, self.sport, self.dport, self.dst, self.seq)
        fields += (self.ack, self.flags & 0xFE)
        return zlib.crc32(_KEY + repr(fields).encode() + self.data)

    def encode(self) -> bytes:
        """Return the datagram."""
        head = HEADER.pack(
            self.src,
            self.sport,
            self.dport,
            self.dst,
            self.seq,
            self.ack,
            self.compute_sum(),
            self.flags,
            len(self.data),
            self.echo,
        )
        return head + self.data


def decode(data: bytes) -> Packet:
    """Return the packet in a datagram."""
    src, sport, dport, dst, seq, ack, total, flags, length, echo = (
        HEADER.unpack_from(data)
    )
    body = data[HEADER.size :]
    if len(body) != length:
        raise ValueError('the length field does not fit the datagram')
    return Packet(src, sport, dport, dst, seq, ack, flags, echo, body, total)


def to_int(ip: str) -> int:
    """Return an IPv4 address as an integer."""
    return int.from_bytes(socket.inet_aton(ip), 'big')


def to_ip(number: int) -> str:
    """Return the text of an IPv4 address."""
    return socket.inet_ntoa(number.to_bytes(4, 'big'))


def udp_socket(ip: str, port: int) -> socket.socket:
    """Return a bound non-blocking UDP socket."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.bind((ip, port))
    return sock
