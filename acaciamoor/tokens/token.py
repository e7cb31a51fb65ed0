"""Stateless routing of flows by tokens in their packets.

The host that places a flow writes a token into the opening packet. Both ends
echo it in every later packet, so that any host finds the upstream without
flow state and without contacting another host.

The token is a hash of the upstream's identifier and of the service address
that the flow was opened to, so it is valid for that address only. A caller
that copies the token of another address, or guesses one, reaches an upstream
of another service with a probability of one in 2**32 for each upstream.
"""

import collections.abc
import struct

import xxhash

# IPv4 address as an integer, and port; the destination of a packet.
ServiceAddress = tuple[int, int]
# Value of the token field until a host has placed the flow.
NO_TOKEN = 0
# Replaces a hash of zero, which would equal NO_TOKEN.
_ZERO_HASH_TOKEN = 1
_ADDRESS = struct.Struct('!IH')


def compute_token(upstream_id: str, address: ServiceAddress) -> int:
    """Return the 32-bit token of an upstream for flows to `address`.

    Examples
    --------
    >>> first = compute_token('desk-1', (0xC6120001, 443))
    >>> first == compute_token('desk-1', (0xC6120001, 443))
    True
    >>> first == compute_token('desk-1', (0xC6120002, 443))
    False
    """
    data = _ADDRESS.pack(*address) + upstream_id.encode()
    return xxhash.xxh32_intdigest(data) or _ZERO_HASH_TOKEN


class TokenIndex:
    """Index of upstreams by their token for one service address.

    If the tokens of two upstreams collide, every host resolves the token to
    the one with the smaller identifier, regardless of the order in which it
    received them. The other one gets no flows on this address.

    Parameters
    ----------
    address : ServiceAddress
        Service address of the flows.
    upstream_ids : iterable of str
        Upstreams to index.

    Examples
    --------
    >>> index = TokenIndex((0xC6120001, 443), ['desk-2', 'desk-1'])
    >>> index.find(index.token_of('desk-1'))
    'desk-1'
    >>> index.find(1234) is None
    True
    """

    def __init__(
        self,
        address: ServiceAddress,
        upstream_ids: collections.abc.Iterable[str],
    ) -> None:
        self._address = address
        self._tokens_by_id: dict[str, int] = {}
        self._ids_by_token: dict[int, str] = {}
        for upstream_id in sorted(upstream_ids):
            token = compute_token(upstream_id, address)
            if self._ids_by_token.setdefault(token, upstream_id) == (
                upstream_id
            ):
                self._tokens_by_id[upstream_id] = token

    def find(self, token: int) -> str | None:
        """Return the upstream that has `token`; None if there is none."""
        return self._ids_by_token.get(token)

    def token_of(self, upstream_id: str) -> int | None:
        """Return the token of an upstream.

        None if the upstream is not indexed, or lost its token in a collision.
        """
        return self._tokens_by_id.get(upstream_id)
