"""Routes and upstreams that a host acts on."""

import collections.abc
import datetime

import msgspec

from acaciamoor import model
from acaciamoor import tokens
from acaciamoor.directory import routes
from acaciamoor.directory import upstreams


class DirectorySettings(msgspec.Struct, frozen=True):
    """How long entries that were removed are kept.

    Parameters
    ----------
    retention : datetime.timedelta
        Time for which flows still find an upstream whose entry is gone. 60 s
        is the longest life of a flow on the users' platform.
    lapse_grace : datetime.timedelta
        Time for which new flows may use an upstream whose entry is gone, if
        most entries of the service disappeared with it. Entries that expired
        while the store was down are back within about 2 s; new flows must
        end 3 s after an upstream has left.
    """

    retention: datetime.timedelta = datetime.timedelta(seconds=60)
    lapse_grace: datetime.timedelta = datetime.timedelta(seconds=2)


class _Removed(msgspec.Struct, frozen=True):
    listed: upstreams.ListedUpstream
    at: datetime.timedelta


# Entries that remain must be this share of a service's upstreams; below it
# the removals are taken for a lapse of the store until the grace has passed.
_LAPSE_SHARE = 0.5


class Directory:
    """Aggregate of the newest routes and upstreams.

    Versions of routes and revisions of entries never go back. Services that a
    route was ever allowed to use stay allowed for flows that are open, since a
    new configuration leaves open flows where they are.

    Parameters
    ----------
    settings : DirectorySettings
        How long removed entries are kept.
    """

    def __init__(self, settings: DirectorySettings | None = None) -> None:
        self._settings = settings or DirectorySettings()
        self._table: routes.RouteTable | None = None
        self._known_upstreams = False
        self._listed_by_id: dict[
            model.UpstreamId, upstreams.ListedUpstream
        ] = {}
        self._removed_by_id: dict[model.UpstreamId, _Removed] = {}
        self._indexes_by_address: dict[
            tokens.ServiceAddress, tokens.TokenIndex
        ] = {}
        self._candidates_by_service: dict[
            str, tuple[upstreams.ListedUpstream, ...]
        ] = {}
        self._next_expiry: datetime.timedelta | None = None
        self.revision = 0

    @property
    def complete(self) -> bool:
        """Whether both the routes and the upstreams are known."""
        return self._table is not None and self._known_upstreams

    @property
    def route_version(self) -> int:
        """Version of the routes; 0 before there are any."""
        return 0 if self._table is None else self._table.version

    @property
    def table(self) -> routes.RouteTable | None:
        """Routes in force; None before there are any."""
        return self._table

    @property
    def listed(
        self,
    ) -> collections.abc.Mapping[model.UpstreamId, upstreams.ListedUpstream]:
        """Entries that the store holds, by identifier."""
        return self._listed_by_id

    def adopt_routes(self, table: routes.RouteTable) -> bool:
        """Put a configuration in force unless a newer one already is."""
        if self._table is not None and table.version <= self._table.version:
            return False
        self._table = table
        return True

    def put_upstream(self, listed: upstreams.ListedUpstream) -> bool:
        """Add or replace an entry; False if a newer one is known."""
        known = self._listed_by_id.get(listed.upstream_id)
        removed = self._removed_by_id.get(listed.upstream_id)
        if known is None and removed is not None:
            known = removed.listed
        if known is not None and listed.revision < known.revision:
            return False
        self._removed_by_id.pop(listed.upstream_id, None)
        self._listed_by_id[listed.upstream_id] = listed
        self._changed(known is None)
        return True

    def remove_upstream(
        self,
        upstream_id: model.UpstreamId,
        now: datetime.timedelta,
    ) -> bool:
        """Note that the store holds no entry of this upstream any more."""
        listed = self._listed_by_id.pop(upstream_id, None)
        if listed is None:
            return False
        self._removed_by_id[upstream_id] = _Removed(listed, now)
        self._changed(False)
        return True

    def mark_listed(self, revision: int) -> None:
        """Note that the entries are complete up to `revision`."""
        self._known_upstreams = True
        self.revision = max(self.revision, revision)

    def route(self, address: tokens.ServiceAddress) -> routes.Route | None:
        """Return the route for new flows to `address`."""
        if self._table is None:
            return None
        return self._table.routes_by_address.get(address)

    def find(
        self, address: tokens.ServiceAddress, token: int
    ) -> upstreams.ListedUpstream | None:
        """Return the upstream of an open flow to `address`."""
        upstream_id = self._index(address).find(token)
        if upstream_id is None:
            return None
        listed = self._listed_by_id.get(upstream_id)
        if listed is not None:
            return listed
        removed = self._removed_by_id.get(upstream_id)
        return None if removed is None else removed.listed

    def is_listed(self, upstream_id: model.UpstreamId) -> bool:
        """Return whether the store holds an entry of the upstream."""
        return upstream_id in self._listed_by_id

    def token_of(
        self, address: tokens.ServiceAddress, upstream_id: model.UpstreamId
    ) -> int | None:
        """Return the token of an upstream for flows to `address`."""
        return self._index(address).token_of(upstream_id)

    def candidates(
        self, service: str, now: datetime.timedelta
    ) -> tuple[upstreams.ListedUpstream, ...]:
        """Return the upstreams of a service that take new flows."""
        if self._next_expiry is not None and now >= self._next_expiry:
            self._changed(False)
        found = self._candidates_by_service.get(service)
        if found is None:
            found = self._select(service, now)
            self._candidates_by_service[service] = found
        return found

    def expire(self, now: datetime.timedelta) -> None:
        """Forget removed entries whose flows have ended."""
        limit = now - self._settings.retention
        expired = [
            upstream_id
            for upstream_id, removed in self._removed_by_id.items()
            if removed.at < limit
        ]
        for upstream_id in expired:
            del self._removed_by_id[upstream_id]
        if expired:
            self._indexes_by_address.clear()

    def _changed(self, identifiers_too: bool) -> None:
        self._candidates_by_service.clear()
        self._next_expiry = None
        if identifiers_too:
            self._indexes_by_address.clear()

    def _index(self, address: tokens.ServiceAddress) -> tokens.TokenIndex:
        index = self._indexes_by_address.get(address)
        if index is None:
            index = tokens.TokenIndex(
                address, {**self._removed_by_id, **self._listed_by_id}
            )
            self._indexes_by_address[address] = index
        return index

    def _select(
        self, service: str, now: datetime.timedelta
    ) -> tuple[upstreams.ListedUpstream, ...]:
        present = [
            listed
            for listed in self._listed_by_id.values()
            if listed.service == service
        ]
        active = [item for item in present if item.upstream.takes_new_work]
        lapsed = self._lapsed(service, now)
        if len(present) < _LAPSE_SHARE * (len(present) + len(lapsed)):
            active.extend(removed.listed for removed in lapsed)
            expiry = self._settings.lapse_grace + min(
                removed.at for removed in lapsed
            )
            if self._next_expiry is None or expiry < self._next_expiry:
                self._next_expiry = expiry
        return tuple(sorted(active, key=lambda item: item.upstream_id))

    def _lapsed(self, service: str, now: datetime.timedelta) -> list[_Removed]:
        limit = now - self._settings.lapse_grace
        return [
            removed
            for removed in self._removed_by_id.values()
            if removed.listed.service == service
            and removed.at > limit
            and removed.listed.upstream.takes_new_work
        ]
