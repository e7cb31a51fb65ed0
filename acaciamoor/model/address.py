"""Transport addresses."""

import dataclasses
import ipaddress

_MAX_PORT = 65535


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Address:
    """IP address and port.

    Raises
    ------
    ValueError
        If `ip` is not an IP address or `port` is out of range.

    Examples
    --------
    >>> Address.parse('127.0.0.1:8080')
    Address(ip='127.0.0.1', port=8080)
    """

    ip: str
    port: int

    def __post_init__(self) -> None:
        ipaddress.ip_address(self.ip)
        if not 0 < self.port <= _MAX_PORT:
            raise ValueError(
                f'port {self.port} is outside the range 1 to {_MAX_PORT}'
            )

    @classmethod
    def parse(cls, text: str) -> 'Address':
        """Return the address for ``ip:port`` or ``[ipv6]:port``."""
        ip, separator, port = text.rpartition(':')
        if not separator or not port.isdecimal():
            raise ValueError(f'{text!r} is not of the form ip:port')
        return cls(ip.removeprefix('[').removesuffix(']'), int(port))

    def as_tuple(self) -> tuple[str, int]:
        """Return the address as a tuple for the socket library."""
        return (self.ip, self.port)

    def __str__(self) -> str:
        ip = f'[{self.ip}]' if ':' in self.ip else self.ip
        return f'{ip}:{self.port}'
