"""Routing tokens that every host computes alike.

A host that places a flow writes a token into the opening packet. Both ends
repeat it in every later packet, so any host finds the upstream again without
a record of the flow and without asking another host.

The token is a hash of the upstream and of the address that the caller opened
the flow to. It therefore names an upstream only together with that address: a
caller that copies the token of another address, or invents one, reaches an
upstream outside its own services with a probability of one in 2**32 for each
upstream.
"""

import collections.abc
import struct

import xxhash

# IPv4 address as a number, and port: what a packet's destination says.
ServiceAddress = tuple[int, int]
# Value of the field in a packet of which no host has placed the flow yet.
NO_TOKEN = 0
# Stands in for a hash of zero, which would look like no token.
_TOKEN_FOR_ZERO = 1
_ADDRESS = struct.Struct('!IH')


def flow_token(upstream_id: str, address: ServiceAddress) -> int:
    """Return the 32-bit token of an upstream for flows to `address`.

    Examples
    --------
    >>> first = flow_token('desk-1', (0xC6120001, 443))
    >>> first == flow_token('desk-1', (0xC6120001, 443))
    True
    >>> first == flow_token('desk-1', (0xC6120002, 443))
    False
    """
    data = _ADDRESS.pack(*address) + upstream_id.encode()
    return xxhash.xxh32_intdigest(data) or _TOKEN_FOR_ZERO


class TokenIndex:
    """Upstreams by token for flows to one address.

    Two upstreams may have the same token. All hosts then agree on the one
    with the smaller identifier, whatever order they learned them in, and the
    other one gets no flows on this address.

    Parameters
    ----------
    address : ServiceAddress
        Destination of the flows.
    upstream_ids : iterable of str
        Upstreams that may be found.

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
            token = flow_token(upstream_id, address)
            if self._ids_by_token.setdefault(token, upstream_id) == (
                upstream_id
            ):
                self._tokens_by_id[upstream_id] = token

    def find(self, token: int) -> str | None:
        """Return the upstream that `token` names, or None."""
        return self._ids_by_token.get(token)

    def token_of(self, upstream_id: str) -> int | None:
        """Return the token of an upstream; None if another one has it."""
        return self._tokens_by_id.get(upstream_id)
