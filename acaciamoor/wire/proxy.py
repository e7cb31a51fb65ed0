"""PROXY protocol version 2 headers for UDP over IPv4 and IPv6.

References
----------
.. [1] W. Tarreau, "The PROXY protocol, versions 1 & 2", HAProxy
   Technologies, section 2.2, 2020.
"""

import dataclasses
import functools
import ipaddress
import struct

from acaciamoor import model
from acaciamoor.wire import envelope as envelopes

SIGNATURE = b'\r\n\r\n\x00\r\nQUIT\n'
_VERSION_2_PROXY = 0x21
_UDP_IPV4 = 0x12
_UDP_IPV6 = 0x22
_FIXED_PART = struct.Struct('!12sBBH')
_FIXED_PART_BYTES = 16
_ADDRESS_LAYOUTS_BY_FAMILY = {
    _UDP_IPV4: struct.Struct('!4s4sHH'),
    _UDP_IPV6: struct.Struct('!16s16sHH'),
}
_FAMILY_BY_IP_VERSION = {4: _UDP_IPV4, 6: _UDP_IPV6}
# Number of callers that one balancer serves within a short time.
_CACHE_SIZE = 65536


class ProxyHeaderError(envelopes.MalformedError):
    """Raised for a datagram without a valid PROXY v2 header for UDP."""


@dataclasses.dataclass(frozen=True, slots=True)
class ProxyHeader:
    """Original source and destination of a forwarded datagram.

    Parameters
    ----------
    source : Address
        Address of the caller.
    destination : Address
        Address of the service.
    """

    source: model.Address
    destination: model.Address


@functools.lru_cache(maxsize=_CACHE_SIZE)
def encode_proxy_header(header: ProxyHeader) -> bytes:
    """Return the binary encoding of `header`.

    Raises
    ------
    ValueError
        If one address is IPv4 and the other is IPv6.
    """
    source = ipaddress.ip_address(header.source.ip)
    destination = ipaddress.ip_address(header.destination.ip)
    if source.version != destination.version:
        raise ValueError(
            f'{header.source} and {header.destination} differ in IP version'
        )
    family = _FAMILY_BY_IP_VERSION[source.version]
    addresses = _ADDRESS_LAYOUTS_BY_FAMILY[family].pack(
        source.packed,
        destination.packed,
        header.source.port,
        header.destination.port,
    )
    fixed_part = _FIXED_PART.pack(
        SIGNATURE, _VERSION_2_PROXY, family, len(addresses)
    )
    return fixed_part + addresses


def parse_proxy_header(data: bytes) -> tuple[ProxyHeader, int]:
    """Return the header at the start of `data`, and the payload's offset.

    Type-length-value (TLV) extensions after the addresses are skipped.

    Raises
    ------
    ProxyHeaderError
        If the header is truncated, has a version other than 2, does not
        describe UDP over IPv4 or IPv6, or contains port 0.
    """
    if len(data) < _FIXED_PART_BYTES:
        raise ProxyHeaderError('the PROXY header is truncated')
    end = _FIXED_PART_BYTES + (data[14] << 8) + data[15]
    if len(data) < end:
        raise ProxyHeaderError('the address block is truncated')
    return _decode_header(data[:end]), end


@functools.lru_cache(maxsize=_CACHE_SIZE)
def _decode_header(data: bytes) -> ProxyHeader:
    signature, command, family, length = _FIXED_PART.unpack_from(data)
    if signature != SIGNATURE or command != _VERSION_2_PROXY:
        raise ProxyHeaderError('not a PROXY version 2 header')
    layout = _ADDRESS_LAYOUTS_BY_FAMILY.get(family)
    if layout is None or length < layout.size:
        raise ProxyHeaderError(
            f'family {family:#x} is not UDP over IPv4 or IPv6, or the '
            'addresses are truncated'
        )
    source, destination, source_port, destination_port = layout.unpack_from(
        data, _FIXED_PART.size
    )
    try:
        return ProxyHeader(
            _unpack_address(source, source_port),
            _unpack_address(destination, destination_port),
        )
    except ValueError as error:
        raise ProxyHeaderError(str(error)) from error


def _unpack_address(packed: bytes, port: int) -> model.Address:
    return model.Address(str(ipaddress.ip_address(packed)), port)
