"""Upstream stand-in with configurable limits and faulty reports."""

from acaciamoor.standins.upstream.behaviour import Behaviour
from acaciamoor.standins.upstream.server import UpstreamServer

__all__ = ['Behaviour', 'UpstreamServer']
