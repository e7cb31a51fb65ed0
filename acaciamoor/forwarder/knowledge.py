"""What a host knows at one moment, for logs and metrics."""

import collections.abc

import msgspec


class Knowledge(msgspec.Struct, frozen=True):
    """Versions in force, and for how long they may be out of date.

    Parameters
    ----------
    routes_version : int
        Version of the configuration.
    upstreams_version : int
        Revision up to which the upstreams are known.
    age_ms : int
        Time since the store confirmed the older one of both, in
        milliseconds; -1 if it never did.
    """

    routes_version: int
    upstreams_version: int
    age_ms: int


Know = collections.abc.Callable[[], Knowledge]
