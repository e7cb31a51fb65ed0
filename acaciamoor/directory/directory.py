"""Lookup of routes and upstreams."""

import collections.abc
import datetime

from acaciamoor import model
from acaciamoor import tokens
from acaciamoor.directory import evacuations
from acaciamoor.directory import removals
from acaciamoor.directory import routes
from acaciamoor.directory import upstreams

# Minimum share of a service's upstreams that must remain listed. Below it, the
# removals are attributed to an outage of the store during the grace period.
_MIN_REMAINING_SHARE = 0.5


class Directory:
    """Holds the newest routes and upstreams.

    Versions of routes and revisions of entries never decrease. Open flows
    find their upstream even if the service was removed from the route, since
    a new configuration does not move open flows.

    Parameters
    ----------
    settings : DirectorySettings
        Settings for the retention of removed entries.
    """

    def __init__(
        self, settings: removals.DirectorySettings | None = None
    ) -> None:
        self._settings = settings or removals.DirectorySettings()
        self._table: routes.RouteTable | None = None
        self._upstreams_listed = False
        self._evacuations_listed = not self._settings.follows_evacuations
        self._evacuations = evacuations.Evacuations()
        self._entries_by_id: dict[
            model.UpstreamId, upstreams.UpstreamEntry
        ] = {}
        self._removed_by_id: dict[model.UpstreamId, removals.RemovedEntry] = {}
        self._indexes_by_address: dict[
            tokens.ServiceAddress, tokens.TokenIndex
        ] = {}
        self._candidates_by_service: dict[
            str, tuple[upstreams.UpstreamEntry, ...]
        ] = {}
        self._next_expiry: datetime.timedelta | None = None
        self.revision = 0

    @property
    def complete(self) -> bool:
        """Whether all collections that the host follows were received."""
        return (
            self._table is not None
            and self._upstreams_listed
            and self._evacuations_listed
        )

    @property
    def route_version(self) -> int:
        """Version of the routes; 0 before any were received."""
        return 0 if self._table is None else self._table.version

    @property
    def table(self) -> routes.RouteTable | None:
        """Routes in force; None before any were received."""
        return self._table

    @property
    def entries_by_id(
        self,
    ) -> collections.abc.Mapping[model.UpstreamId, upstreams.UpstreamEntry]:
        """Entries in the store, by identifier of the upstream."""
        return self._entries_by_id

    def adopt_routes(self, table: routes.RouteTable) -> bool:
        """Replace the routes; False unless `table` is newer."""
        if self._table is not None and table.version <= self._table.version:
            return False
        self._table = table
        for address in (
            self._indexes_by_address.keys() - table.routes_by_address.keys()
        ):
            del self._indexes_by_address[address]
        return True

    def put_upstream(self, entry: upstreams.UpstreamEntry) -> bool:
        """Add or replace an entry; False if it says nothing new."""
        current = self._entries_by_id.get(entry.upstream_id)
        removed = self._removed_by_id.get(entry.upstream_id)
        known = removed.entry if current is None and removed else current
        if known is not None and entry.is_older_than(known):
            return False
        self._removed_by_id.pop(entry.upstream_id, None)
        self._entries_by_id[entry.upstream_id] = entry
        if current is not None and entry.states_same_as(current):
            return False
        self._invalidate_caches(known is None)
        return True

    def remove_upstream(
        self,
        upstream_id: model.UpstreamId,
        now: datetime.timedelta,
        contact: removals.StoreContact | None = None,
    ) -> bool:
        """Mark an entry as removed; False if there is none.

        Parameters
        ----------
        upstream_id : UpstreamId
            Identifier of the upstream.
        now : datetime.timedelta
            Current time.
        contact : StoreContact or None
            What the host knew of the store until now; None if the store had
            the entry just now.
        """
        entry = self._entries_by_id.pop(upstream_id, None)
        if entry is None:
            return False
        self._removed_by_id[upstream_id] = removals.RemovedEntry(
            entry,
            now,
            removals.find_end_of_grace(
                now, contact or removals.StoreContact(now), self._settings
            ),
        )
        self._invalidate_caches(False)
        return True

    def begin_evacuation(self, data_centre: model.DataCentre) -> bool:
        """Place no new flows in a data centre; False if none are placed."""
        if not self._evacuations.begin(data_centre):
            return False
        self._invalidate_caches(False)
        return True

    def end_evacuation(
        self, data_centre: model.DataCentre, ends_at: datetime.timedelta
    ) -> bool:
        """Place new flows again from `ends_at`; False if nothing changes."""
        if not self._evacuations.end(data_centre, ends_at):
            return False
        self._invalidate_caches(False)
        return True

    def confirm_evacuations(self) -> None:
        """Record that all evacuations were received."""
        self._evacuations_listed = True

    def list_evacuations(
        self, now: datetime.timedelta
    ) -> tuple[model.DataCentre, ...]:
        """Return the evacuated data centres that have upstreams.

        An entry of another writer may have any name.
        """
        known = {
            entry.upstream.data_centre
            for entry in self._entries_by_id.values()
        }
        return tuple(
            data_centre
            for data_centre in self._evacuations.list_all(now)
            if data_centre in known
        )

    def confirm_entries(self, revision: int) -> None:
        """Record that the entries are complete up to `revision`."""
        self._upstreams_listed = True
        self.revision = max(self.revision, revision)

    def find_route(
        self, address: tokens.ServiceAddress
    ) -> routes.Route | None:
        """Return the route for flows to `address`; None if there is none."""
        if self._table is None:
            return None
        return self._table.routes_by_address.get(address)

    def max_flows(self, service: str) -> int:
        """Return the open flows that an upstream holds; 0 without a limit."""
        if self._table is None:
            return 0
        limits = self._table.limits_by_service.get(service)
        return 0 if limits is None else limits.max_flows

    def find_upstream(
        self, address: tokens.ServiceAddress, token: int
    ) -> upstreams.UpstreamEntry | None:
        """Return the upstream that `token` identifies for `address`."""
        upstream_id = self._index(address).find(token)
        if upstream_id is None:
            return None
        entry = self._entries_by_id.get(upstream_id)
        if entry is not None:
            return entry
        removed = self._removed_by_id.get(upstream_id)
        return None if removed is None else removed.entry

    def has_entry(self, upstream_id: model.UpstreamId) -> bool:
        """Return whether the upstream has an entry in the store."""
        return upstream_id in self._entries_by_id

    def token_of(
        self, address: tokens.ServiceAddress, upstream_id: model.UpstreamId
    ) -> int | None:
        """Return the token of an upstream for flows to `address`."""
        return self._index(address).token_of(upstream_id)

    def candidates(
        self, service: str, now: datetime.timedelta
    ) -> tuple[upstreams.UpstreamEntry, ...]:
        """Return the upstreams of a service that accept new flows.

        Upstreams of evacuated data centres are left out.
        """
        if self._next_expiry is not None and now >= self._next_expiry:
            self._invalidate_caches(False)
        found = self._candidates_by_service.get(service)
        if found is None:
            found = self._select_candidates(service, now)
            self._candidates_by_service[service] = found
        return found

    def is_evacuated(self, service: str, now: datetime.timedelta) -> bool:
        """Return whether a service has upstreams in evacuated places only.

        Without the evacuations, it would have upstreams for new flows.
        """
        return not self.candidates(service, now) and bool(
            self._select_active(service, now)
        )

    def expire(self, now: datetime.timedelta) -> list[model.UpstreamId]:
        """Discard removed entries whose retention has ended; return these."""
        self._evacuations.expire(now)
        limit = now - self._settings.retention
        expired = [
            upstream_id
            for upstream_id, removed in self._removed_by_id.items()
            if removed.learned_at < limit
        ]
        for upstream_id in expired:
            del self._removed_by_id[upstream_id]
        if expired:
            self._indexes_by_address.clear()
        return expired

    def _invalidate_caches(self, indexes_too: bool) -> None:
        self._candidates_by_service.clear()
        self._next_expiry = None
        if indexes_too:
            self._indexes_by_address.clear()

    def _index(self, address: tokens.ServiceAddress) -> tokens.TokenIndex:
        index = self._indexes_by_address.get(address)
        if index is None:
            index = tokens.TokenIndex(
                address, {**self._removed_by_id, **self._entries_by_id}
            )
            self._indexes_by_address[address] = index
        return index

    def _select_candidates(
        self, service: str, now: datetime.timedelta
    ) -> tuple[upstreams.UpstreamEntry, ...]:
        self._schedule_expiry(self._evacuations.next_end(now))
        return tuple(
            entry
            for entry in self._select_active(service, now)
            if not self._evacuations.contains(entry.upstream.data_centre, now)
        )

    def _schedule_expiry(self, expiry: datetime.timedelta | None) -> None:
        if expiry is not None and (
            self._next_expiry is None or expiry < self._next_expiry
        ):
            self._next_expiry = expiry

    def _select_active(
        self, service: str, now: datetime.timedelta
    ) -> tuple[upstreams.UpstreamEntry, ...]:
        present = [
            entry
            for entry in self._entries_by_id.values()
            if entry.service == service
        ]
        active = [item for item in present if item.upstream.takes_new_work]
        removed_entries = self._recently_removed(service, now)
        if len(present) < _MIN_REMAINING_SHARE * (
            len(present) + len(removed_entries)
        ):
            active.extend(removed.entry for removed in removed_entries)
            self._schedule_expiry(
                min(removed.grace_ends_at for removed in removed_entries)
            )
        return tuple(sorted(active, key=lambda item: item.upstream_id))

    def _recently_removed(
        self, service: str, now: datetime.timedelta
    ) -> list[removals.RemovedEntry]:
        return [
            removed
            for removed in self._removed_by_id.values()
            if removed.entry.service == service
            and now < removed.grace_ends_at
            and removed.entry.upstream.takes_new_work
        ]
