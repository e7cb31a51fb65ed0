"""A copy of one collection, with the age of what it says."""

import collections
import collections.abc
import datetime

import msgspec

from acaciamoor import platform

# Changes that are kept for hosts that fell behind; a host that is further
# behind gets the whole collection.
_KEPT_EVENTS = 2048


class Batch(msgspec.Struct, frozen=True):
    """Changes of a collection from one version to another.

    Parameters
    ----------
    base : int
        Version that the changes apply to.
    version : int
        Version that they lead to.
    events : tuple of WatchEvent
        Changes; removals behind the changes of their version.
    whole : bool
        Whether the events are all objects that exist at `version`, whatever
        the receiver knew before.
    """

    base: int
    version: int
    events: tuple[platform.WatchEvent, ...] = ()
    whole: bool = False


class Replica:
    """Objects of one collection; its version never goes back.

    Batches come from the store and from other hosts in any order. A batch
    that leaves a gap or leads to an older version changes nothing, so a host
    that lags cannot revert another one.

    Parameters
    ----------
    kind : str
        Collection.

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
        self.known = False
        self._confirmed_at: datetime.timedelta | None = None
        self._objects_by_name: dict[str, platform.StoredObject] = {}
        self._log: collections.deque[Batch] = collections.deque()
        self._logged_events = 0

    @property
    def names(self) -> frozenset[str]:
        """Names of all objects."""
        return frozenset(self._objects_by_name)

    def age(self, now: datetime.timedelta) -> datetime.timedelta | None:
        """Return for how long the copy may have been out of date."""
        if self._confirmed_at is None:
            return None
        return now - self._confirmed_at

    def confirm(self, version: int, at: datetime.timedelta) -> bool:
        """Note that `version` was the newest one at the time `at`."""
        if not self.known or version != self.version:
            return False
        if self._confirmed_at is None or at > self._confirmed_at:
            self._confirmed_at = at
        return True

    def apply(self, batch: Batch) -> list[platform.WatchEvent]:
        """Take a batch and return the events that changed something."""
        if batch.version < self.version:
            return []
        if not batch.whole and (not self.known or batch.base > self.version):
            return []
        base = self.version
        accepted = [
            event
            for event in self._complete(batch)
            if self._take(event, 0 if batch.whole else base)
        ]
        self.version = batch.version
        self.known = True
        self._remember(Batch(base, batch.version, tuple(accepted)))
        return accepted

    def since(self, version: int) -> Batch:
        """Return what a host at `version` lacks.

        Version 0 stands for a host that knows nothing yet.
        """
        if (
            version
            and self._log
            and self._log[0].base <= version <= self.version
        ):
            events_by_name = {
                event.stored.name: event
                for batch in self._log
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
            whole=True,
        )

    def _complete(
        self, batch: Batch
    ) -> collections.abc.Iterator[platform.WatchEvent]:
        yield from batch.events
        if not batch.whole:
            return
        kept = {
            event.stored.name
            for event in batch.events
            if event.stored is not None
        }
        for name in self._objects_by_name.keys() - kept:
            yield platform.WatchEvent(
                platform.EventType.DELETED,
                batch.version,
                self._objects_by_name[name],
            )

    def _take(self, event: platform.WatchEvent, base: int) -> bool:
        stored = event.stored
        if stored is None:
            return False
        known = self._objects_by_name.get(stored.name)
        if event.event_type is platform.EventType.DELETED:
            if known is None or known.version > event.version:
                return False
            del self._objects_by_name[stored.name]
            return True
        if event.version <= base or (
            known is not None and known.version >= event.version
        ):
            return False
        self._objects_by_name[stored.name] = stored
        return True

    def _remember(self, batch: Batch) -> None:
        if batch.version == batch.base:
            return
        self._log.append(batch)
        self._logged_events += len(batch.events)
        while self._logged_events > _KEPT_EVENTS and len(self._log) > 1:
            self._logged_events -= len(self._log.popleft().events)
