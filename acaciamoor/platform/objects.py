"""Stored objects, and the interfaces of the object store."""

import collections.abc
import datetime
import enum
import typing

import msgspec

from acaciamoor.model import limits

Value = collections.abc.Mapping[str, typing.Any]
VALUE_LIMIT_BYTES = limits.VALUE_LIMIT_BYTES


class Change(msgspec.Struct, frozen=True):
    """Identifier of one write to an object.

    Parameters
    ----------
    change_id : str
        Unique identifier chosen by the writer.
    version : int
        Version that the platform assigned to the write. It is 0 in the newest
        change of an object, because the writer does not know it beforehand.
    """

    change_id: str
    version: int = 0


class StoredObject(msgspec.Struct, frozen=True):
    """An object as stored by the platform.

    Parameters
    ----------
    kind : str
        Collection, for example ``services``.
    name : str
        Name within the collection.
    version : int
        Version of this value; versions increase monotonically.
    value : Mapping
        JSON value.
    changes : tuple of Change
        Most recent changes, newest first.
    """

    kind: str
    name: str
    version: int
    value: Value
    changes: tuple[Change, ...] = ()


class Listing(msgspec.Struct, frozen=True):
    """Objects of a kind at one version of the collection.

    Parameters
    ----------
    version : int
        Version of the collection.
    objects : tuple of StoredObject
        The objects.
    transfer_time : datetime.timedelta
        Time since the platform had this version, at most; zero if unknown.
    """

    version: int
    objects: tuple[StoredObject, ...]
    transfer_time: datetime.timedelta = datetime.timedelta(0)


class FieldSelector(msgspec.Struct, frozen=True):
    """Selects the objects whose value has a field equal to a text.

    Parameters
    ----------
    field : str
        Name of a top-level field of the value.
    text : str
        Text that the field must be equal to.

    Examples
    --------
    >>> str(FieldSelector('data_centre', 'kgn-a'))
    'spec.data_centre=kgn-a'
    """

    field: str
    text: str

    def __str__(self) -> str:
        return f'spec.{self.field}={self.text}'

    def matches(self, value: Value) -> bool:
        """Return whether the selector matches an object with `value`."""
        return value.get(self.field) == self.text


class EventType(enum.Enum):
    """Type of a watch event."""

    PUT = 'put'
    DELETED = 'deleted'
    # All changes up to the version were delivered; also a sign of life.
    BOOKMARK = 'bookmark'


class WatchEvent(msgspec.Struct, frozen=True):
    """One event of a watch; a bookmark has no object.

    Parameters
    ----------
    event_type : EventType
        What happened.
    version : int
        Version of the change, or up to which changes were delivered.
    stored : StoredObject or None
        Object that was changed.
    complete : bool
        For a bookmark, whether the events since the last one are all objects
        that exist at `version`.
    transfer_time : datetime.timedelta
        For a bookmark, time since the response arrived, at most. The platform
        had `version` before that.
    """

    event_type: EventType
    version: int
    stored: StoredObject | None = None
    complete: bool = False
    transfer_time: datetime.timedelta = datetime.timedelta(0)


class Write(msgspec.Struct, frozen=True):
    """One attempt to store a value.

    Parameters
    ----------
    kind, name : str
        Object to write.
    value : Mapping
        New JSON value.
    changes : tuple of Change
        Changes to store with the value, newest first; the first one
        identifies this write.
    expected_version : int or None
        Version to replace; None creates the object.
    """

    kind: str
    name: str
    value: Value
    changes: tuple[Change, ...]
    expected_version: int | None = None


class ObjectStore(typing.Protocol):
    """Store of versioned objects with conditional updates and watches.

    All methods raise the errors of `acaciamoor.platform.errors`.
    """

    async def get(self, kind: str, name: str) -> StoredObject:
        """Return an object."""

    async def list(
        self, kind: str, selector: FieldSelector | None = None
    ) -> Listing:
        """Return the objects that match `selector`, or all of a kind."""

    async def create(self, kind: str, name: str, value: Value) -> StoredObject:
        """Create an object that does not exist yet."""

    async def update(
        self, kind: str, name: str, value: Value, expected_version: int
    ) -> StoredObject:
        """Replace an object at `expected_version`."""

    async def delete(
        self, kind: str, name: str, expected_version: int
    ) -> None:
        """Delete an object at `expected_version`."""

    def watch(
        self, kind: str, after_version: int
    ) -> collections.abc.AsyncIterator[WatchEvent]:
        """Yield events after `after_version` indefinitely."""


class Transport(typing.Protocol):
    """Single requests to the platform, without retries.

    `write` and `remove` raise `OutcomeUnknown` if they may have taken effect.
    """

    async def read(self, kind: str, name: str) -> StoredObject:
        """Return an object."""

    async def read_all(
        self, kind: str, selector: FieldSelector | None = None
    ) -> Listing:
        """Return the objects of a kind that match `selector`, or all."""

    async def write(self, write: Write) -> StoredObject:
        """Store a value if the condition of `write` holds."""

    async def remove(
        self, kind: str, name: str, expected_version: int
    ) -> None:
        """Delete an object at `expected_version`."""

    def stream(
        self, kind: str, after_version: int
    ) -> collections.abc.AsyncIterator[WatchEvent]:
        """Yield events until the stream ends.

        Raises
        ------
        VersionExpired
            If the changes after `after_version` are no longer retained.
        """
