"""Replica of one collection, with its version and age."""

import collections
import collections.abc
import datetime

import msgspec

from acaciamoor import platform
from acaciamoor.replica import change_log

# Hosts whose last confirmation is remembered; few call the store at a time.
_MAX_ORIGINS = 256


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


class Confirmation(msgspec.Struct, frozen=True):
    """Statement of the store that a version was current at some time.

    Parameters
    ----------
    at : datetime.timedelta
        The time, by the clock of this host.
    origin : str
        Replica that received the statement from the store itself; empty if
        that is not known.
    serial : int
        Number of the statement among those of `origin`.
    """

    at: datetime.timedelta
    origin: str = ''
    serial: int = 0


class Replica:
    """Objects of one collection, at a version that never decreases.

    Batches may arrive from the store and from other hosts in any order. A
    batch that leaves a gap or leads to an older version is ignored, so that a
    lagging host cannot revert another one.

    A confirmation that travels through several hosts looks younger with each
    of them, by the time on the way. Each one is therefore accepted once: two
    hosts that listen to each other would otherwise confirm each other for
    ever if messages between them took long.

    Parameters
    ----------
    kind : str
        Kind of the objects in the collection.
    origin : str
        Name of this replica in confirmations, unique for each process.

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

    def __init__(self, kind: str, origin: str = '') -> None:
        self.kind = kind
        self.version = 0
        self.initialized = False
        self.confirmation: Confirmation | None = None
        self._origin = origin
        self._serial = 0
        self._serials_by_origin: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._objects_by_name: dict[str, platform.StoredObject] = {}
        self._log = change_log.ChangeLog()

    @property
    def names(self) -> frozenset[str]:
        """Names of all objects."""
        return frozenset(self._objects_by_name)

    @property
    def kept_changes(self) -> int:
        """Number of changes kept for hosts that have fallen behind."""
        return len(self._log)

    def age(self, now: datetime.timedelta) -> datetime.timedelta | None:
        """Return the time since the last confirmation; None without one."""
        if self.confirmation is None:
            return None
        return now - self.confirmation.at

    def confirm_by_store(self, version: int, at: datetime.timedelta) -> bool:
        """Record that the store had `version` at the time `at`.

        Returns False, without effect, if the replica is at another version.
        """
        self._serial += 1
        return self.confirm(
            version, Confirmation(at, self._origin, self._serial)
        )

    def confirm(self, version: int, confirmation: Confirmation) -> bool:
        """Record a confirmation of `version`.

        Returns False, without effect, if the replica is at another version,
        or if the confirmation is known or older than the last one.
        """
        if not self.initialized or version != self.version:
            return False
        origin, serial = confirmation.origin, confirmation.serial
        if origin:
            if serial <= self._serials_by_origin.get(origin, 0):
                return False
            self._serials_by_origin[origin] = serial
            self._serials_by_origin.move_to_end(origin)
            if len(self._serials_by_origin) > _MAX_ORIGINS:
                self._serials_by_origin.popitem(last=False)
        last = self.confirmation
        if last is not None and confirmation.at <= last.at:
            return False
        self.confirmation = confirmation
        return True

    def apply(self, batch: Batch) -> list[platform.WatchEvent]:
        """Apply a batch and return the events that had an effect."""
        if self.initialized and batch.version <= self.version:
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
        self._record_changes(batch, base)
        return accepted

    def changes_since(self, version: int) -> Batch:
        """Return the changes that a host at `version` lacks.

        The batch is a snapshot if the history does not reach back to
        `version`, or if `version` is 0: the host has no data yet. It has no
        effect on a host at a newer version.
        """
        if version >= self.version:
            return Batch(self.version, self.version)
        if version and self._log.reaches_back_to(version):
            return Batch(
                version,
                self.version,
                tuple(
                    self._describe_change(name, change)
                    for name, change in self._log.since(version)
                ),
            )
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

    def _describe_change(
        self, name: str, change: change_log.Change
    ) -> platform.WatchEvent:
        stored = self._objects_by_name.get(name)
        if stored is not None:
            return platform.WatchEvent(
                platform.EventType.PUT, stored.version, stored
            )
        version = change.event_version
        return platform.WatchEvent(
            platform.EventType.DELETED,
            version,
            platform.StoredObject(self.kind, name, version, {}),
        )

    def _record_changes(self, batch: Batch, base: int) -> None:
        if batch.snapshot:
            # It does not tell which objects were deleted since a version that
            # another host may have.
            self._log.reset(batch.version)
            return
        # Deletions of objects that this replica never had are kept: a host at
        # a version between `base` and that of the batch may have them.
        for event in batch.events:
            if event.version > base and event.stored is not None:
                self._log.record(
                    event.stored.name, batch.version, event.version
                )
