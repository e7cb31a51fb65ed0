"""Entries with which upstreams register in the platform's store."""

import collections.abc
import datetime

import msgspec

from acaciamoor import model


class UpstreamEntry(msgspec.Struct, frozen=True):
    """Entry of an upstream in the store.

    Parameters
    ----------
    upstream : Upstream
        Identity, address, capacity and state.
    service : str
        Service that it runs.
    wire_id : int
        64-bit identifier that prefixes each packet to the upstream. Upstreams
        ignore packets with another identifier, so that packets to a reused
        address have no effect.
    revision : int
        Revision of the store at the last change of the entry.
    started_at : datetime.datetime or None
        Start of the process, if known. A later start under the same identifier
        means that all earlier flows have ended.
    remaining_warm_up : datetime.timedelta
        Rest of the warm-up time when the upstream wrote the entry.
    """

    upstream: model.Upstream
    service: str
    wire_id: int
    revision: int
    started_at: datetime.datetime | None = None
    remaining_warm_up: datetime.timedelta = datetime.timedelta(0)

    @property
    def upstream_id(self) -> model.UpstreamId:
        """Identifier of the upstream."""
        return self.upstream.upstream_id


class UpstreamList(msgspec.Struct, frozen=True):
    """All entries at one revision of the store."""

    revision: int
    upstreams_by_id: collections.abc.Mapping[model.UpstreamId, UpstreamEntry]
