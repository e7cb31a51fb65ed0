"""Fabric stand-in that sprays datagrams over the balancers."""

from acaciamoor.standins.fabric.spray import Fabric
from acaciamoor.standins.fabric.spray import Faults

__all__ = ['Fabric', 'Faults']
