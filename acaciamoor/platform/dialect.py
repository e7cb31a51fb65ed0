"""Requests and responses of a platform's object API."""

import collections.abc
import datetime
import typing

import msgspec

from acaciamoor.platform import objects


class Request(msgspec.Struct, frozen=True):
    """HTTP request to the object API.

    Parameters
    ----------
    method, target : str
        Method and target of the request line.
    name : str
        Object or collection that the request is for; used in messages.
    body : bytes
        JSON body; empty if there is none.
    """

    method: str
    target: str
    name: str
    body: bytes = b''


class Page(msgspec.Struct, frozen=True):
    """One page of a listing.

    Parameters
    ----------
    version : int
        Version of the collection at which the page was read.
    objects : tuple of StoredObject
        Objects sorted by name.
    continue_after : str
        Name after which the next page starts; empty for the last page.
    """

    version: int
    objects: tuple[objects.StoredObject, ...]
    continue_after: str = ''


class Changes(msgspec.Struct, frozen=True):
    """Changes of a collection after a version.

    Parameters
    ----------
    version : int
        Version up to which the changes are complete.
    events : tuple of WatchEvent
        Changes sorted by version.
    """

    version: int
    events: tuple[objects.WatchEvent, ...]


class Dialect(typing.Protocol):
    """Encoding of requests and decoding of responses of an object API.

    The decoding methods raise ValueError for a malformed response. They skip
    malformed objects, which other writers may have stored. The versions that
    they return are those of `era`.
    """

    # Response header that tells the era, in lower case; empty if the platform
    # has none. See `acaciamoor.platform.versions`.
    era_header: str

    def read(self, kind: str, name: str) -> Request:
        """Return the request that reads an object."""

    def read_page(self, kind: str, after: str, stale: bool) -> Request:
        """Return the request that reads the page after the name `after`.

        With `stale`, the response may be seconds old, which costs the
        platform less.
        """

    def wait(
        self, kind: str, after_version: int, wait: datetime.timedelta
    ) -> Request:
        """Return the long-polling request for changes."""

    def write(self, write: objects.Write) -> Request:
        """Return the request that stores a value."""

    def remove(self, kind: str, name: str, expected_version: int) -> Request:
        """Return the request that deletes an object."""

    def decode_stored(
        self, kind: str, body: bytes, era: int
    ) -> objects.StoredObject:
        """Return the object that a response holds."""

    def decode_page(self, kind: str, body: bytes, era: int) -> Page:
        """Return the page that a response holds."""

    def decode_changes(self, kind: str, body: bytes, era: int) -> Changes:
        """Return the changes that a response holds."""


def latest_by_name(
    events: collections.abc.Iterable[objects.WatchEvent],
) -> list[objects.WatchEvent]:
    """Return the last event of each object, sorted by version.

    Deletions follow other changes with the same version. A platform may
    assign them the version of its response, which the last change also has.

    Examples
    --------
    >>> put = objects.EventType.PUT
    >>> def event(name, version):
    ...     stored = objects.StoredObject('services', name, version, {})
    ...     return objects.WatchEvent(put, version, stored)
    >>> latest = latest_by_name([event('a', 1), event('b', 2), event('a', 3)])
    >>> [item.version for item in latest]
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
