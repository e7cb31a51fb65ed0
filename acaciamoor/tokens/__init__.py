"""Routing tokens, which identify the upstream of a flow in its packets."""

from acaciamoor.tokens.token import compute_token
from acaciamoor.tokens.token import NO_TOKEN
from acaciamoor.tokens.token import ServiceAddress
from acaciamoor.tokens.token import TokenIndex

__all__ = ['NO_TOKEN', 'ServiceAddress', 'TokenIndex', 'compute_token']
