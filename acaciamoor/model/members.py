"""Hosts of a data centre as one host sees them."""

import dataclasses

from acaciamoor.model import identifiers


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipView:
    """Members of the data centre at one moment.

    Parameters
    ----------
    version : int
        Counts up on this host whenever another field changes; not comparable
        between hosts.
    live : tuple of HostId
        Hosts that may own flows and lead services, sorted.
    leaving : tuple of HostId
        Hosts that still forward but take no new roles, sorted.
    quorum : bool
        Whether this host is in contact with a majority of the listed hosts.
    fresh : bool
        Whether the newest configuration version was confirmed to this host
        within the activation delay.
    """

    version: int
    live: tuple[identifiers.HostId, ...]
    leaving: tuple[identifiers.HostId, ...]
    quorum: bool
    fresh: bool
