"""Faults that tests inject into the platform stand-in."""

import msgspec


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults that are currently injected.

    Parameters
    ----------
    outage : bool
        Whether all calls fail with status 503 and watches are disconnected.
    delay : float
        Delay of every response, in seconds.
    lose_replies : int
        Number of following writes that are applied and whose connection is
        then aborted without a response.
    lose_requests : int
        Number of following writes whose connection is aborted before they are
        applied.
    stale_watch_after : int or None
        Newest version that watches and listings return, as from a lagging
        replica.
    lag_hosts : bool
        Whether the list of hosts stays as it was when the fault was injected.
    writes_per_second : float
        Rate limit of writes; further calls fail with status 429.
    reads_per_second : float
        Rate limit of reads.
    """

    outage: bool = False
    delay: float = 0.0
    lose_replies: int = 0
    lose_requests: int = 0
    stale_watch_after: int | None = None
    lag_hosts: bool = False
    writes_per_second: float = 500.0
    reads_per_second: float = 2000.0
