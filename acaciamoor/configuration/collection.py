"""All services of the platform at one collection version."""

import bisect
import collections.abc
import dataclasses
import datetime

from acaciamoor.configuration import messages
from acaciamoor.hashing import rendezvous
from acaciamoor.model import identifiers
from acaciamoor.model import service as services

# A host that was cut off for less than this gets deletions as deltas; one
# that was cut off for longer gets a complete snapshot.
TOMBSTONE_RETENTION = datetime.timedelta(minutes=10)
# With the peer header and the authentication code a piece fits into one
# Ethernet frame. A larger service travels alone.
PIECE_BYTES = 1000

SizeOf = collections.abc.Callable[[messages.ServiceVersion], int]


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """The latest known change of a service.

    Parameters
    ----------
    service_id : ServiceId
        The service.
    version : int
        Collection version of the change.
    service : Service or None
        None for a tombstone.
    published_at : datetime.timedelta
        Monotonic time at which the first relay learned of the change, by the
        largest age heard.
    """

    service_id: identifiers.ServiceId
    version: int
    service: services.Service | None
    published_at: datetime.timedelta

    def aged(self, now: datetime.timedelta) -> messages.ServiceVersion:
        """Return the change with its age at `now`."""
        return messages.ServiceVersion(
            self.service_id,
            self.version,
            self.service,
            now - self.published_at,
        )


class Collection:
    """Services by identifier; holds every change up to `version`.

    Because the collection has no gaps, a change at or below `version` is
    either known or superseded. Only higher versions are adopted, which is
    why no message, however old, can take the collection back.

    Parameters
    ----------
    size_of : callable
        Encoded size of a change in bytes.
    """

    def __init__(self, size_of: SizeOf) -> None:
        self.version = 0
        # Deletions up to this version may be missing as tombstones.
        self.floor = 0
        self.entries_by_id: dict[identifiers.ServiceId, Entry] = {}
        self._size_of = size_of
        self._order: list[tuple[int, identifiers.ServiceId]] = []
        self._fingerprint: int | None = 0
        # Changes that may not be in force yet, and tombstones.
        self._recent_ids: set[identifiers.ServiceId] = set()
        self._tombstone_ids: set[identifiers.ServiceId] = set()

    def adopt(self, entry: Entry) -> bool:
        """Take over the next change; False if it is not newer."""
        if entry.version <= self.version:
            return False
        self._put(entry)
        self.version = entry.version
        return True

    def advance(self, version: int) -> None:
        """Note that there are no further changes up to `version`."""
        self.version = max(self.version, version)

    def replace(
        self,
        version: int,
        entries: collections.abc.Iterable[Entry],
        now: datetime.timedelta,
    ) -> list[Entry]:
        """Take over a complete collection and return what changed.

        Services that are missing from `entries` were deleted. The
        collection does not change if it is newer than `version`.
        """
        if version < self.version or (version == self.version and version):
            return []
        listed_by_id = {entry.service_id: entry for entry in entries}
        gone = [
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
        changed = sorted(newer + gone, key=lambda entry: entry.version)
        for entry in changed:
            self._put(entry)
        self.version = self.floor = version
        return changed

    def backdate(
        self, version: int, published_at: datetime.timedelta
    ) -> Entry | None:
        """Apply a larger age of the change at `version`; None if no news."""
        index = bisect.bisect_left(self._order, (version,))
        if index == len(self._order) or self._order[index][0] != version:
            return None
        entry = self.entries_by_id[self._order[index][1]]
        if published_at >= entry.published_at:
            return None
        entry = dataclasses.replace(entry, published_at=published_at)
        self.entries_by_id[entry.service_id] = entry
        return entry

    def piece_after(self, since: int) -> tuple[tuple[Entry, ...], int]:
        """Return the next changes after `since` and the version reached."""
        start = bisect.bisect_right(self._order, (since, 1 << 32))
        chosen: list[Entry] = []
        size = 0
        for _, service_id in self._order[start:]:
            entry = self.entries_by_id[service_id]
            size += self._size_of(entry.aged(entry.published_at))
            if chosen and size > PIECE_BYTES:
                return tuple(chosen), chosen[-1].version
            chosen.append(entry)
        return tuple(chosen), self.version

    def forget_tombstones(self, now: datetime.timedelta) -> None:
        """Drop deletions older than `TOMBSTONE_RETENTION`."""
        for service_id in tuple(self._tombstone_ids):
            entry = self.entries_by_id[service_id]
            if now - entry.published_at > TOMBSTONE_RETENTION:
                self._tombstone_ids.discard(service_id)
                self._recent_ids.discard(service_id)
                self._order.remove((entry.version, service_id))
                del self.entries_by_id[service_id]
                self.floor = max(self.floor, entry.version)

    def version_in_force(self, published_before: datetime.timedelta) -> int:
        """Return the version up to which changes are old enough."""
        self._recent_ids = {
            service_id
            for service_id in self._recent_ids
            if self.entries_by_id[service_id].published_at > published_before
        }
        pending = [
            self.entries_by_id[service_id].version
            for service_id in self._recent_ids
        ]
        return min(pending, default=self.version + 1) - 1

    @property
    def newest(self) -> Entry | None:
        """The change at the highest version, None without any."""
        if not self._order:
            return None
        return self.entries_by_id[self._order[-1][1]]

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

    def _put(self, entry: Entry) -> None:
        previous = self.entries_by_id.get(entry.service_id)
        if previous:
            self._order.remove((previous.version, previous.service_id))
        self.entries_by_id[entry.service_id] = entry
        bisect.insort(self._order, (entry.version, entry.service_id))
        self._recent_ids.add(entry.service_id)
        self._tombstone_ids.discard(entry.service_id)
        if entry.service is None:
            self._tombstone_ids.add(entry.service_id)
        self._fingerprint = None
