"""Collection of all services at one collection version."""

import bisect
import collections.abc
import dataclasses
import datetime

from acaciamoor.configuration import messages
from acaciamoor.hashing import rendezvous
from acaciamoor.model import identifiers
from acaciamoor.model import service as services

# A host that was partitioned for a shorter time receives deletions in deltas;
# after a longer partition it receives a complete snapshot.
TOMBSTONE_RETENTION = datetime.timedelta(minutes=10)
# With the peer header and the authentication code, a chunk of this size fits
# into one Ethernet frame. A larger service is sent in a chunk of its own.
MAX_CHUNK_BYTES = 1000

SizeOf = collections.abc.Callable[[messages.ServiceVersion], int]


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """Latest known change of a service.

    Parameters
    ----------
    service_id : ServiceId
        The service.
    version : int
        Collection version of the change.
    service : Service or None
        None for a tombstone.
    published_at : datetime.timedelta
        Monotonic time at which the first relay received the change, according
        to the largest age received from any host.
    """

    service_id: identifiers.ServiceId
    version: int
    service: services.Service | None
    published_at: datetime.timedelta

    def to_service_version(
        self, now: datetime.timedelta
    ) -> messages.ServiceVersion:
        """Return the message for the change, with its age at `now`."""
        return messages.ServiceVersion(
            self.service_id,
            self.version,
            self.service,
            now - self.published_at,
        )


class ServiceCollection:
    """Services by identifier, with every change up to `version`.

    The collection has no gaps, so a change at or below `version` is either
    known or superseded. Only higher versions are adopted. Delayed messages can
    therefore never revert the collection to an older version.

    Parameters
    ----------
    size_of : callable
        Encoded size of a change in bytes.
    """

    def __init__(self, size_of: SizeOf) -> None:
        self.version = 0
        # Tombstones up to this version may have been pruned.
        self.tombstone_floor = 0
        self.entries_by_id: dict[identifiers.ServiceId, Entry] = {}
        self._size_of = size_of
        self._ids_by_version: list[tuple[int, identifiers.ServiceId]] = []
        self._fingerprint: int | None = 0
        # Services whose latest change may not be in force yet.
        self._possibly_pending_ids: set[identifiers.ServiceId] = set()
        self._tombstone_ids: set[identifiers.ServiceId] = set()

    def adopt(self, entry: Entry) -> bool:
        """Adopt the next change; return False if it is not newer."""
        if entry.version <= self.version:
            return False
        self._set_entry(entry)
        self.version = entry.version
        return True

    def advance(self, version: int) -> None:
        """Record that there are no further changes up to `version`."""
        self.version = max(self.version, version)

    def replace(
        self,
        version: int,
        entries: collections.abc.Iterable[Entry],
        now: datetime.timedelta,
    ) -> list[Entry]:
        """Replace the collection with a complete one; return the changes.

        Services that are missing from `entries` are deleted. The collection
        does not change if it is newer than `version`.
        """
        if version < self.version or (version == self.version and version):
            return []
        listed_by_id = {entry.service_id: entry for entry in entries}
        deleted = [
            Entry(entry.service_id, version, None, now)
            for entry in self.entries_by_id.values()
            if entry.service is not None
            and entry.service_id not in listed_by_id
        ]
        newer = [
            entry
            for entry in listed_by_id.values()
            if entry.version > self._version_of(entry.service_id)
        ]
        changed = sorted(newer + deleted, key=lambda entry: entry.version)
        for entry in changed:
            self._set_entry(entry)
        self.version = self.tombstone_floor = version
        return changed

    def backdate(
        self, version: int, published_at: datetime.timedelta
    ) -> Entry | None:
        """Apply an earlier publication time to the change at `version`.

        Returns
        -------
        Entry or None
            The updated entry; None if nothing changed.
        """
        index = bisect.bisect_left(self._ids_by_version, (version,))
        if (
            index == len(self._ids_by_version)
            or self._ids_by_version[index][0] != version
        ):
            return None
        entry = self.entries_by_id[self._ids_by_version[index][1]]
        if published_at >= entry.published_at:
            return None
        entry = dataclasses.replace(entry, published_at=published_at)
        self.entries_by_id[entry.service_id] = entry
        return entry

    def chunk_after(self, since: int) -> tuple[tuple[Entry, ...], int]:
        """Return the next chunk after `since` and the version it reaches."""
        start = bisect.bisect_right(self._ids_by_version, (since, 1 << 32))
        chosen: list[Entry] = []
        size = 0
        for _, service_id in self._ids_by_version[start:]:
            entry = self.entries_by_id[service_id]
            size += self._size_of(entry.to_service_version(entry.published_at))
            if chosen and size > MAX_CHUNK_BYTES:
                return tuple(chosen), chosen[-1].version
            chosen.append(entry)
        return tuple(chosen), self.version

    def prune_tombstones(self, now: datetime.timedelta) -> None:
        """Remove tombstones older than `TOMBSTONE_RETENTION`."""
        for service_id in tuple(self._tombstone_ids):
            entry = self.entries_by_id[service_id]
            if now - entry.published_at > TOMBSTONE_RETENTION:
                self._tombstone_ids.discard(service_id)
                self._possibly_pending_ids.discard(service_id)
                self._ids_by_version.remove((entry.version, service_id))
                del self.entries_by_id[service_id]
                self.tombstone_floor = max(self.tombstone_floor, entry.version)

    def version_in_force(self, published_before: datetime.timedelta) -> int:
        """Return the version up to which all changes are in force.

        A change is in force if it was published at or before
        `published_before`.
        """
        self._possibly_pending_ids = {
            service_id
            for service_id in self._possibly_pending_ids
            if self.entries_by_id[service_id].published_at > published_before
        }
        pending = [
            self.entries_by_id[service_id].version
            for service_id in self._possibly_pending_ids
        ]
        return min(pending, default=self.version + 1) - 1

    @property
    def newest(self) -> Entry | None:
        """Change at the highest version; None if there are no changes."""
        if not self._ids_by_version:
            return None
        return self.entries_by_id[self._ids_by_version[-1][1]]

    @property
    def fingerprint(self) -> int:
        """Hash of the identifiers and versions of all services."""
        if self._fingerprint is None:
            self._fingerprint = 0
            for entry in self.entries_by_id.values():
                if entry.service is not None:
                    self._fingerprint ^= rendezvous.hash64(
                        f'{entry.service_id}@{entry.version}'
                    )
        return self._fingerprint

    def _version_of(self, service_id: identifiers.ServiceId) -> int:
        entry = self.entries_by_id.get(service_id)
        return entry.version if entry else 0

    def _set_entry(self, entry: Entry) -> None:
        previous = self.entries_by_id.get(entry.service_id)
        if previous:
            self._ids_by_version.remove(
                (previous.version, previous.service_id)
            )
        self.entries_by_id[entry.service_id] = entry
        bisect.insort(self._ids_by_version, (entry.version, entry.service_id))
        self._possibly_pending_ids.add(entry.service_id)
        self._tombstone_ids.discard(entry.service_id)
        if entry.service is None:
            self._tombstone_ids.add(entry.service_id)
        self._fingerprint = None
