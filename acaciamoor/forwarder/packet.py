"""Packets of callers, as far as a host reads them."""

import typing

from acaciamoor.openings import pending


class Packet(typing.NamedTuple):
    """Header of a packet that a caller sent.

    Parameters
    ----------
    key : FlowKey
        Caller's address and port, then the service's.
    opens : bool
        Whether it opens the flow.
    ends : bool
        Whether the caller closes or resets the flow with it.
    from_upstream : bool
        Whether only an upstream sends such packets.
    token : int
        Routing token that the flow's last packet from the upstream carried.
    sequence, acknowledged : int
        Numbers of the transport protocol. An opening packet has nothing to
        acknowledge and counts its copies there.
    length : int
        Bytes of data.
    """

    key: pending.FlowKey
    opens: bool
    ends: bool
    from_upstream: bool
    token: int
    sequence: int
    acknowledged: int
    length: int


class PacketCodec(typing.Protocol):
    """Wire form of packets."""

    def decode(self, data: bytes) -> Packet | None:
        """Return the header of `data`; None if it is damaged."""

    def encode(self, data: bytes, token: int, upstream_number: int) -> bytes:
        """Return the datagram that carries `data` to an upstream."""

    def encode_reset(self, key: pending.FlowKey, sequence: int) -> bytes:
        """Return the datagram that refuses a flow."""
