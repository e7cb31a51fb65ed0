"""Entries with which upstreams register in the platform's store."""

import collections.abc
import datetime

import msgspec

from acaciamoor import model
from acaciamoor.platform import versions


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
        Version of the store at the last change of the entry; see
        `acaciamoor.platform.versions`.
    started_at : datetime.datetime or None
        Start of the process, if known. A later start under the same identifier
        means that all earlier flows have ended.
    remaining_warm_up : datetime.timedelta
        Rest of the warm-up time when the upstream wrote the entry.
    sequence : int
        Number of the entry among those that the process has written.
    """

    upstream: model.Upstream
    service: str
    wire_id: int
    revision: int
    started_at: datetime.datetime | None = None
    remaining_warm_up: datetime.timedelta = datetime.timedelta(0)
    sequence: int = 0

    def is_older_than(self, other: 'UpstreamEntry') -> bool:
        """Return whether the upstream wrote this entry before another one.

        A store that was restored holds old entries at new versions. Across
        eras, only what the upstream says of itself orders its entries.
        """
        if versions.get_era(self.revision) == versions.get_era(other.revision):
            return self.revision < other.revision
        if self.started_at is None or other.started_at is None:
            return False
        return (self.started_at, self.sequence) < (
            other.started_at,
            other.sequence,
        )

    def states_same_as(self, other: 'UpstreamEntry') -> bool:
        """Return whether two entries differ in their revision at most."""
        return msgspec.structs.replace(self, revision=other.revision) == other

    @property
    def upstream_id(self) -> model.UpstreamId:
        """Identifier of the upstream."""
        return self.upstream.upstream_id


class UpstreamList(msgspec.Struct, frozen=True):
    """All entries at one revision of the store."""

    revision: int
    upstreams_by_id: collections.abc.Mapping[model.UpstreamId, UpstreamEntry]
