"""Routing tokens, which name the upstream of a flow inside its packets."""

from acaciamoor.tokens.token import flow_token
from acaciamoor.tokens.token import NO_TOKEN
from acaciamoor.tokens.token import ServiceAddress
from acaciamoor.tokens.token import TokenIndex

__all__ = ['NO_TOKEN', 'ServiceAddress', 'TokenIndex', 'flow_token']
