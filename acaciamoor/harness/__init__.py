"""Test harness that simulates many hosts in one process on a manual clock."""

from acaciamoor.harness.network import LinkSettings
from acaciamoor.harness.network import VirtualNetwork

__all__ = ['LinkSettings', 'VirtualNetwork']
