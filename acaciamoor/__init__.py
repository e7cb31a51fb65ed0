"""Layer-4 load balancer for small sites and large fleets."""

from acaciamoor.version import __version__

__all__ = ['__version__']
