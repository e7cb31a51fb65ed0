"""PROXY protocol version 2 header for UDP over IPv4 and IPv6.

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
_FIXED = struct.Struct('!12sBBH')
_FIXED_BYTES = 16
_ADDRESSES_BY_FAMILY = {
    _UDP_IPV4: struct.Struct('!4s4sHH'),
    _UDP_IPV6: struct.Struct('!16s16sHH'),
}
_FAMILY_BY_IP_VERSION = {4: _UDP_IPV4, 6: _UDP_IPV6}
# Callers that one balancer sees within a short time.
_CACHED_HEADERS = 65536


class ProxyHeaderError(envelopes.MalformedError):
    """A datagram without a valid PROXY version 2 header for UDP."""


@dataclasses.dataclass(frozen=True, slots=True)
class ProxyHeader:
    """Addresses of a datagram before it was forwarded.

    Parameters
    ----------
    source : Address
        The caller.
    destination : Address
        The service.
    """

    source: model.Address
    destination: model.Address


@functools.lru_cache(maxsize=_CACHED_HEADERS)
def encode_proxy(header: ProxyHeader) -> bytes:
    """Return the binary form of `header`.

    Raises
    ------
    ValueError
        If the two addresses are of different IP versions.
    """
    source = ipaddress.ip_address(header.source.ip)
    destination = ipaddress.ip_address(header.destination.ip)
    if source.version != destination.version:
        raise ValueError(
            f'{header.source} and {header.destination} differ in IP version'
        )
    family = _FAMILY_BY_IP_VERSION[source.version]
    addresses = _ADDRESSES_BY_FAMILY[family].pack(
        source.packed,
        destination.packed,
        header.source.port,
        header.destination.port,
    )
    fixed = _FIXED.pack(SIGNATURE, _VERSION_2_PROXY, family, len(addresses))
    return fixed + addresses


def split_proxy(data: bytes) -> tuple[ProxyHeader, int]:
    """Return the header of `data` and the offset of what follows it.

    Extensions (type-length-value vectors) after the addresses are skipped.

    Raises
    ------
    ProxyHeaderError
        If the header is truncated, is not of version 2, is not for UDP over
        IPv4 or IPv6, or holds a port of zero.
    """
    if len(data) < _FIXED_BYTES:
        raise ProxyHeaderError('the PROXY header is truncated')
    end = _FIXED_BYTES + (data[14] << 8) + data[15]
    if len(data) < end:
        raise ProxyHeaderError('the PROXY addresses are truncated')
    return _parse(data[:end]), end


@functools.lru_cache(maxsize=_CACHED_HEADERS)
def _parse(data: bytes) -> ProxyHeader:
    signature, command, family, length = _FIXED.unpack_from(data)
    if signature != SIGNATURE or command != _VERSION_2_PROXY:
        raise ProxyHeaderError('not a PROXY version 2 header')
    layout = _ADDRESSES_BY_FAMILY.get(family)
    if layout is None or length < layout.size:
        raise ProxyHeaderError(f'family {family:#x} is not UDP with addresses')
    source, destination, source_port, destination_port = layout.unpack_from(
        data, _FIXED.size
    )
    try:
        return ProxyHeader(
            _address(source, source_port),
            _address(destination, destination_port),
        )
    except ValueError as error:
        raise ProxyHeaderError(str(error)) from error


def _address(packed: bytes, port: int) -> model.Address:
    return model.Address(str(ipaddress.ip_address(packed)), port)
