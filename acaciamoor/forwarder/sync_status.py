"""Versions and age of a host's data, for logs and metrics."""

import collections.abc

import msgspec


class SyncStatus(msgspec.Struct, frozen=True):
    """Versions in force and the time since they were last confirmed.

    Parameters
    ----------
    routes_version : int
        Version of the configuration in force.
    upstreams_version : int
        Revision of the store that the list of upstreams reflects.
    age_ms : int
        Time since the store last confirmed the less recent of the two, in
        milliseconds; -1 if it never did.
    """

    routes_version: int
    upstreams_version: int
    age_ms: int


GetSyncStatus = collections.abc.Callable[[], SyncStatus]
