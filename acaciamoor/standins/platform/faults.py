"""Faults of the stand-in, switched on and off by tests."""

import msgspec


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults in force.

    Parameters
    ----------
    outage : bool
        All calls fail with status 503 and watches are cut.
    delay : float
        Time added to every answer, in seconds.
    lose_replies : int
        Number of coming writes that take effect and whose connection is then
        cut without an answer.
    lose_requests : int
        Number of coming writes that are cut before they take effect.
    stale_watch_after : int or None
        Watches and listings show nothing newer than this version, as from a
        replica that lags.
    lag_hosts : bool
        The list of hosts stays as it was when the fault was switched on.
    writes_per_second : float
        Rate limit of writes.
    reads_per_second : float
        Rate limit of all other calls.
    """

    outage: bool = False
    delay: float = 0.0
    lose_replies: int = 0
    lose_requests: int = 0
    stale_watch_after: int | None = None
    lag_hosts: bool = False
    writes_per_second: float = 500.0
    reads_per_second: float = 2000.0
