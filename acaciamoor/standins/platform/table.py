"""Versioned objects, kept in memory."""

import collections

import msgspec

from acaciamoor import platform

# For each kind; a watch can resume within this history.
MAX_HISTORY_EVENTS = 1000


class ObjectTable:
    """Objects by kind and name, with one sequence of versions for all.

    Examples
    --------
    >>> table = ObjectTable()
    >>> write = platform.Write('services', 'desk', {}, ())
    >>> table.write(write).version
    1
    >>> table.listing('services').version
    1
    """

    def __init__(self) -> None:
        self._version = 0
        self._objects_by_name: dict[str, dict[str, platform.StoredObject]] = (
            collections.defaultdict(dict)
        )
        self._events_by_kind: dict[
            str, collections.deque[platform.WatchEvent]
        ] = collections.defaultdict(
            lambda: collections.deque(maxlen=MAX_HISTORY_EVENTS)
        )
        self._expired_version_by_kind: dict[str, int] = (
            collections.defaultdict(int)
        )
        self._version_by_kind: dict[str, int] = collections.defaultdict(int)

    def read(self, kind: str, name: str) -> platform.StoredObject:
        """Return an object.

        Raises
        ------
        NotFound
            If the object does not exist.
        """
        if name not in self._objects_by_name[kind]:
            raise platform.NotFound(name)
        return self._objects_by_name[kind][name]

    def listing(self, kind: str) -> platform.Listing:
        """Return all objects of a kind, at the version of its last change."""
        return platform.Listing(
            self._version_by_kind[kind],
            tuple(
                stored
                for _, stored in sorted(self._objects_by_name[kind].items())
            ),
        )

    def write(self, write: platform.Write) -> platform.StoredObject:
        """Store a value if the object is at the expected version.

        Raises
        ------
        Rejected
            If the value is too large.
        Conflict
            If the object exists unexpectedly or is at another version.
        NotFound
            If an object to update does not exist.
        """
        if len(msgspec.json.encode(write.value)) > platform.VALUE_LIMIT_BYTES:
            raise platform.Rejected(f'{write.name} exceeds the size limit')
        current = self._objects_by_name[write.kind].get(write.name)
        if write.expected_version is None:
            if current is not None:
                raise platform.Conflict(write.name)
        elif current is None:
            raise platform.NotFound(write.name)
        elif current.version != write.expected_version:
            raise platform.Conflict(write.name)
        return self._store(write)

    def write_unconditionally(
        self, write: platform.Write
    ) -> platform.StoredObject:
        """Store a value without checking the object's version."""
        return self._store(write)

    def remove(self, kind: str, name: str, expected_version: int) -> None:
        """Delete an object if it is at `expected_version`.

        Raises
        ------
        NotFound
            If the object does not exist.
        Conflict
            If the object is at another version.
        """
        current = self.read(kind, name)
        if current.version != expected_version:
            raise platform.Conflict(name)
        del self._objects_by_name[kind][name]
        self._version += 1
        deleted = msgspec.structs.replace(current, version=self._version)
        self._record_event(kind, platform.EventType.DELETED, deleted)

    def events_after(
        self, kind: str, version: int
    ) -> tuple[platform.WatchEvent, ...]:
        """Return the changes after `version`.

        Raises
        ------
        VersionExpired
            If some of these changes are no longer kept.
        """
        if version < self._expired_version_by_kind[kind]:
            raise platform.VersionExpired(
                f'{version} is older than the kept changes'
            )
        return tuple(
            event
            for event in self._events_by_kind[kind]
            if event.version > version
        )

    def expire(self, kind: str) -> None:
        """Drop the history of a kind, so that older watches cannot resume."""
        self._events_by_kind[kind].clear()
        self._expired_version_by_kind[kind] = self._version_by_kind[kind]

    def _store(self, write: platform.Write) -> platform.StoredObject:
        self._version += 1
        stored = platform.StoredObject(
            write.kind, write.name, self._version, write.value, write.changes
        )
        self._objects_by_name[write.kind][write.name] = stored
        self._record_event(write.kind, platform.EventType.PUT, stored)
        return stored

    def _record_event(
        self,
        kind: str,
        event_type: platform.EventType,
        stored: platform.StoredObject,
    ) -> None:
        self._version_by_kind[kind] = stored.version
        events = self._events_by_kind[kind]
        if len(events) == MAX_HISTORY_EVENTS:
            self._expired_version_by_kind[kind] = events[0].version
        events.append(platform.WatchEvent(event_type, stored.version, stored))


def select(
    listing: platform.Listing, selector: platform.FieldSelector | None
) -> platform.Listing:
    """Return `listing` with only the objects that match `selector`."""
    if selector is None:
        return listing
    return platform.Listing(
        listing.version,
        tuple(
            stored
            for stored in listing.objects
            if selector.matches(stored.value)
        ),
    )
