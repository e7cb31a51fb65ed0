"""Upstream with slots, streams and endpoints that may lag or mislead."""

from acaciamoor.standins.upstream.behaviour import Behaviour
from acaciamoor.standins.upstream.server import UpstreamServer

__all__ = ['Behaviour', 'UpstreamServer']
