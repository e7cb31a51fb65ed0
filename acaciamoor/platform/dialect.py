"""How a platform spells the calls of its object API."""

import collections.abc
import datetime
import typing

import msgspec

from acaciamoor.platform import objects


class Call(msgspec.Struct, frozen=True):
    """One HTTP request.

    Parameters
    ----------
    method, target : str
        Request line.
    name : str
        Object or collection that it concerns, for messages.
    body : bytes
        JSON body; empty if there is none.
    """

    method: str
    target: str
    name: str
    body: bytes = b''


class Page(msgspec.Struct, frozen=True):
    """Part of a collection.

    Parameters
    ----------
    version : int
        Version of the collection that the page was read at.
    objects : tuple of StoredObject
        Objects in order of their names.
    continue_after : str
        Name to go on after; empty if this is the last page.
    """

    version: int
    objects: tuple[objects.StoredObject, ...]
    continue_after: str = ''


class Changes(msgspec.Struct, frozen=True):
    """Changes since a version.

    Parameters
    ----------
    version : int
        Version up to which the changes are complete.
    events : tuple of WatchEvent
        Changes in order of their versions.
    """

    version: int
    events: tuple[objects.WatchEvent, ...]


class Dialect(typing.Protocol):
    """Spelling of calls and answers.

    Decoding raises ValueError for an answer that cannot be understood.
    Objects that another writer has damaged are left out.
    """

    def read(self, kind: str, name: str) -> Call:
        """Return the call that reads an object."""

    def read_page(self, kind: str, after: str, stale: bool) -> Call:
        """Return the call that reads the objects behind the name `after`.

        With `stale` the answer may be seconds old and costs less.
        """

    def wait(
        self, kind: str, after_version: int, wait: datetime.timedelta
    ) -> Call:
        """Return the call that waits for changes."""

    def write(self, write: objects.Write) -> Call:
        """Return the call that stores a value."""

    def remove(self, kind: str, name: str, expected_version: int) -> Call:
        """Return the call that removes an object."""

    def decode_stored(self, kind: str, body: bytes) -> objects.StoredObject:
        """Return the object in an answer."""

    def decode_page(self, kind: str, body: bytes) -> Page:
        """Return the page in an answer."""

    def decode_changes(self, kind: str, body: bytes) -> Changes:
        """Return the changes in an answer."""


def latest_by_name(
    events: collections.abc.Iterable[objects.WatchEvent],
) -> list[objects.WatchEvent]:
    """Return the last event of each object, in order of versions.

    Removals come behind the changes of their version: a platform may date
    them by its answer, in which the last change has the same version.

    Examples
    --------
    >>> put = objects.EventType.PUT
    >>> def event(name, version):
    ...     stored = objects.StoredObject('services', name, version, {})
    ...     return objects.WatchEvent(put, version, stored)
    >>> kept = latest_by_name([event('a', 1), event('b', 2), event('a', 3)])
    >>> [item.version for item in kept]
    [2, 3]
    """
    events_by_name = {
        event.stored.name: event
        for event in events
        if event.stored is not None
    }
    return sorted(
        events_by_name.values(),
        key=lambda event: (
            event.version,
            event.event_type is objects.EventType.DELETED,
        ),
    )
