"""Packet headers and the codec that reads and writes them."""

import typing

from acaciamoor.openings import pending


class Packet(typing.NamedTuple):
    """Header of a packet that a caller sent.

    Parameters
    ----------
    key : FlowKey
        Address and port of the caller, then of the service.
    opens : bool
        Whether the packet opens the flow.
    ends : bool
        Whether the packet closes or resets the flow.
    from_upstream : bool
        Whether the flags of the packet are valid only from an upstream.
    token : int
        Routing token, echoed from the last packet of the upstream.
    sequence, acknowledged : int
        Sequence and acknowledgement numbers of the transport protocol. An
        opening packet has nothing to acknowledge; its acknowledgement number
        counts the retransmissions.
    length : int
        Length of the payload, in bytes.
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
    """Encodes and decodes packets."""

    def decode(self, data: bytes) -> Packet | None:
        """Return the header of `data`; None if it is malformed."""

    def encode(self, data: bytes, token: int, wire_id: int) -> bytes:
        """Return the datagram that forwards `data` to an upstream."""

    def encode_reset(self, key: pending.FlowKey, sequence: int) -> bytes:
        """Return the datagram that resets a flow."""

    def get_caller_address(self, key: pending.FlowKey) -> tuple[str, int]:
        """Return the address that takes packets for the caller of a flow."""
