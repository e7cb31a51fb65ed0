"""Upstreams as they list themselves in the platform's store."""

import collections.abc
import datetime

import msgspec

from acaciamoor import model


class ListedUpstream(msgspec.Struct, frozen=True):
    """An upstream's own entry.

    Parameters
    ----------
    upstream : Upstream
        Identity, address, capacity and state.
    service : str
        Service that it runs.
    number : int
        Its 64-bit identity in front of the packets that are sent to it. An
        upstream ignores packets with another number, so that a packet to an
        address that was reused does nothing.
    revision : int
        Revision of the store in which the entry changed last.
    started : datetime.datetime or None
        Start of the process; a later start under the same identifier means
        that all earlier flows are gone.
    warm_up : datetime.timedelta
        How long the upstream was still slow when it wrote the entry.
    """

    upstream: model.Upstream
    service: str
    number: int
    revision: int
    started: datetime.datetime | None = None
    warm_up: datetime.timedelta = datetime.timedelta(0)

    @property
    def upstream_id(self) -> model.UpstreamId:
        """Identifier of the upstream."""
        return self.upstream.upstream_id


class UpstreamList(msgspec.Struct, frozen=True):
    """All entries at one revision of the store."""

    revision: int
    upstreams_by_id: collections.abc.Mapping[model.UpstreamId, ListedUpstream]
