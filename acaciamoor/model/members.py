"""The hosts of one data centre as one balancer sees them."""

import dataclasses

from acaciamoor.model import identifiers


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipView:
    """Balancers of the data centre, and what this balancer may decide.

    Parameters
    ----------
    version : int
        Grows with every change of the view on this host.
    live : tuple of HostId
        Hosts that may own flows and lead services, sorted. A joining host
        that has no snapshot yet is not among them.
    leaving : tuple of HostId
        Hosts that still forward packets but own nothing, sorted.
    quorum : bool
        Whether the live hosts are a quorum of the listed ones.
    fresh : bool
        Whether the newest version was confirmed within
        `views.FRESHNESS_LIMIT` and is applied here. False while a newer
        version is known but not applied, after a pause of the process, and
        until a joining host has the retained views of its peers.
    """

    version: int
    live: tuple[identifiers.HostId, ...]
    leaving: tuple[identifiers.HostId, ...] = ()
    quorum: bool = True
    fresh: bool = True
