"""Replica of one collection, with its version and age."""

import collections
import collections.abc
import datetime

import msgspec

from acaciamoor import platform

# Events that are kept for hosts that have fallen behind. A host that lacks
# older events gets a snapshot.
_MAX_HISTORY_EVENTS = 2048


class Batch(msgspec.Struct, frozen=True):
    """Changes of a collection from one version to another.

    Parameters
    ----------
    base_version : int
        Version that the changes apply to.
    version : int
        Version after the changes.
    events : tuple of WatchEvent
        Changes; the deletions of a version come after its writes.
    snapshot : bool
        Whether the events are all objects that exist at `version`, regardless
        of what the receiver has.
    """

    base_version: int
    version: int
    events: tuple[platform.WatchEvent, ...] = ()
    snapshot: bool = False


class Replica:
    """Objects of one collection, at a version that never decreases.

    Batches may arrive from the store and from other hosts in any order. A
    batch that leaves a gap or leads to an older version is ignored, so that a
    lagging host cannot revert another one.

    Parameters
    ----------
    kind : str
        Kind of the objects in the collection.

    Examples
    --------
    >>> put = platform.EventType.PUT
    >>> stored = platform.StoredObject('servers', 'desk-1', 7, {})
    >>> event = platform.WatchEvent(put, 7, stored)
    >>> replica = Replica('servers')
    >>> [item.version for item in replica.apply(Batch(0, 7, (event,), True))]
    [7]
    >>> replica.apply(Batch(0, 7, (event,), True))
    []
    >>> replica.version
    7
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.version = 0
        self.initialized = False
        self._confirmed_at: datetime.timedelta | None = None
        self._objects_by_name: dict[str, platform.StoredObject] = {}
        self._history: collections.deque[Batch] = collections.deque()
        self._history_events = 0

    @property
    def names(self) -> frozenset[str]:
        """Names of all objects."""
        return frozenset(self._objects_by_name)

    def age(self, now: datetime.timedelta) -> datetime.timedelta | None:
        """Return the time since the last confirmation; None without one."""
        if self._confirmed_at is None:
            return None
        return now - self._confirmed_at

    def confirm(self, version: int, at: datetime.timedelta) -> bool:
        """Record that `version` was current at the time `at`.

        Returns False, without effect, if the replica is at another version.
        """
        if not self.initialized or version != self.version:
            return False
        if self._confirmed_at is None or at > self._confirmed_at:
            self._confirmed_at = at
        return True

    def apply(self, batch: Batch) -> list[platform.WatchEvent]:
        """Apply a batch and return the events that had an effect."""
        if batch.version < self.version:
            return []
        if not batch.snapshot and (
            not self.initialized or batch.base_version > self.version
        ):
            return []
        base = self.version
        accepted = [
            event
            for event in self._events_with_removals(batch)
            if self._apply_event(event, 0 if batch.snapshot else base)
        ]
        self.version = batch.version
        self.initialized = True
        self._append_history(Batch(base, batch.version, tuple(accepted)))
        return accepted

    def changes_since(self, version: int) -> Batch:
        """Return the changes that a host at `version` lacks.

        The batch is a snapshot if the history does not reach back to
        `version`, or if `version` is 0: the host has no data yet.
        """
        if (
            version
            and self._history
            and self._history[0].base_version <= version <= self.version
        ):
            events_by_name = {
                event.stored.name: event
                for batch in self._history
                if batch.version > version
                for event in batch.events
                if event.stored is not None
            }
            return Batch(version, self.version, tuple(events_by_name.values()))
        put = platform.EventType.PUT
        return Batch(
            0,
            self.version,
            tuple(
                platform.WatchEvent(put, stored.version, stored)
                for stored in self._objects_by_name.values()
            ),
            snapshot=True,
        )

    def _events_with_removals(
        self, batch: Batch
    ) -> collections.abc.Iterator[platform.WatchEvent]:
        yield from batch.events
        if not batch.snapshot:
            return
        remaining = {
            event.stored.name
            for event in batch.events
            if event.stored is not None
        }
        for name in self._objects_by_name.keys() - remaining:
            yield platform.WatchEvent(
                platform.EventType.DELETED,
                batch.version,
                self._objects_by_name[name],
            )

    def _apply_event(self, event: platform.WatchEvent, base: int) -> bool:
        stored = event.stored
        if stored is None:
            return False
        current = self._objects_by_name.get(stored.name)
        if event.event_type is platform.EventType.DELETED:
            if current is None or current.version > event.version:
                return False
            del self._objects_by_name[stored.name]
            return True
        if event.version <= base or (
            current is not None and current.version >= event.version
        ):
            return False
        self._objects_by_name[stored.name] = stored
        return True

    def _append_history(self, batch: Batch) -> None:
        if batch.version == batch.base_version:
            return
        self._history.append(batch)
        self._history_events += len(batch.events)
        while (
            self._history_events > _MAX_HISTORY_EVENTS
            and len(self._history) > 1
        ):
            self._history_events -= len(self._history.popleft().events)
