"""Membership of one data centre as known to one balancer."""

import dataclasses

from acaciamoor.model import identifiers


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipView:
    """Live hosts of the data centre, quorum and freshness.

    Parameters
    ----------
    version : int
        Incremented with every change of the view on this host.
    live : tuple of HostId
        Hosts that may own flows and lead shards of services, sorted. A
        joining host without a complete configuration is not included.
    leaving : tuple of HostId
        Hosts that still forward packets but own no flows, sorted.
    quorum : bool
        Whether the live hosts are a quorum of the listed hosts.
    fresh : bool
        Whether the newest version was confirmed within
        `views.FRESHNESS_LIMIT` and is applied on this host. False while a
        newer version is known but not applied, after a pause of the process,
        and until a joining host has the retained views of its peers.
    """

    version: int
    live: tuple[identifiers.HostId, ...]
    leaving: tuple[identifiers.HostId, ...] = ()
    quorum: bool = True
    fresh: bool = True
