"""Support for tests that run many decision cores on a manual clock."""

from acaciamoor.harness.network import LinkSettings
from acaciamoor.harness.network import VirtualNetwork

__all__ = ['LinkSettings', 'VirtualNetwork']
