"""Stored objects and the interfaces of the store."""

import collections.abc
import enum
import typing

import msgspec

from acaciamoor.model import limits

Value = collections.abc.Mapping[str, typing.Any]
VALUE_LIMIT_BYTES = limits.VALUE_LIMIT_BYTES


class Change(msgspec.Struct, frozen=True):
    """Identifies one write of an object.

    Parameters
    ----------
    change_id : str
        Unique identifier that the writer chose.
    version : int
        Version that the write was given. It is 0 in the newest change of an
        object, because a writer does not know it when it writes.
    """

    change_id: str
    version: int = 0


class StoredObject(msgspec.Struct, frozen=True):
    """An object as the platform holds it.

    Parameters
    ----------
    kind : str
        Collection, for example ``services``.
    name : str
        Name within the collection.
    version : int
        Version of this value; versions only grow.
    value : Mapping
        JSON value.
    changes : tuple of Change
        The latest changes, newest first.
    """

    kind: str
    name: str
    version: int
    value: Value
    changes: tuple[Change, ...] = ()


class Listing(msgspec.Struct, frozen=True):
    """All objects of a kind at one version of the collection."""

    version: int
    objects: tuple[StoredObject, ...]


class FieldSelector(msgspec.Struct, frozen=True):
    """Objects whose value has a field with this text.

    Parameters
    ----------
    field : str
        Name of a field at the top of the value.
    text : str
        What the field must be equal to.

    Examples
    --------
    >>> str(FieldSelector('data_centre', 'kgn-a'))
    'spec.data_centre=kgn-a'
    """

    field: str
    text: str

    def __str__(self) -> str:
        return f'spec.{self.field}={self.text}'

    def selects(self, value: Value) -> bool:
        """Return whether an object with `value` is selected."""
        return value.get(self.field) == self.text


class EventType(enum.Enum):
    """What a watch reports."""

    PUT = 'put'
    DELETED = 'deleted'
    # Nothing changed up to the version: shows that the watch is alive.
    BOOKMARK = 'bookmark'


class WatchEvent(msgspec.Struct, frozen=True):
    """One change of a collection; a bookmark has no object."""

    event_type: EventType
    version: int
    stored: StoredObject | None = None


class Write(msgspec.Struct, frozen=True):
    """One attempt to store a value.

    Parameters
    ----------
    kind, name : str
        Object to write.
    value : Mapping
        New JSON value.
    changes : tuple of Change
        Changes to store with it, newest first; the first one is this write.
    expected_version : int or None
        Version that is replaced; None creates the object.
    """

    kind: str
    name: str
    value: Value
    changes: tuple[Change, ...]
    expected_version: int | None = None


class ObjectStore(typing.Protocol):
    """Objects with versions, conditional updates and watches.

    All methods raise the errors of `acaciamoor.platform.errors`.
    """

    async def get(self, kind: str, name: str) -> StoredObject:
        """Return an object."""

    async def list(
        self, kind: str, selector: FieldSelector | None = None
    ) -> Listing:
        """Return the selected objects and the collection's version."""

    async def create(self, kind: str, name: str, value: Value) -> StoredObject:
        """Store an object that does not exist yet."""

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
        """Yield changes after `after_version` for ever."""


class Transport(typing.Protocol):
    """Single calls to the platform, without retries.

    A write raises `OutcomeUnknown` where it may have taken effect.
    """

    async def read(self, kind: str, name: str) -> StoredObject:
        """Return an object."""

    async def read_all(
        self, kind: str, selector: FieldSelector | None = None
    ) -> Listing:
        """Return the selected objects of a kind; all without a selector."""

    async def write(self, write: Write) -> StoredObject:
        """Store a value under the condition of `write`."""

    async def remove(
        self, kind: str, name: str, expected_version: int
    ) -> None:
        """Delete an object at `expected_version`."""

    def stream(
        self, kind: str, after_version: int
    ) -> collections.abc.AsyncIterator[WatchEvent]:
        """Yield changes until the connection ends.

        Raises
        ------
        VersionExpired
            If changes after `after_version` are no longer held.
        """
