"""JSON form of objects after the Kubernetes API conventions."""

import typing

import msgspec

from acaciamoor.platform import objects

API_GROUP = 'acaciamoor.internal'
API_VERSION = f'{API_GROUP}/v1'
CHANGES_ANNOTATION = f'{API_GROUP}/changes'
Json = dict[str, typing.Any]


class Metadata(msgspec.Struct, rename='camel', omit_defaults=True):
    """The ``metadata`` of an object."""

    name: str = ''
    resource_version: str = ''
    annotations: dict[str, str] = {}


class ObjectDocument(msgspec.Struct, rename='camel'):
    """An object on the wire."""

    metadata: Metadata
    spec: Json = {}
    kind: str = ''
    api_version: str = API_VERSION


class ListDocument(msgspec.Struct, rename='camel'):
    """A collection on the wire."""

    metadata: Metadata
    items: list[ObjectDocument] = []
    kind: str = 'List'
    api_version: str = API_VERSION


class EventDocument(msgspec.Struct):
    """One line of a watch."""

    type: str
    object: msgspec.Raw


class StatusDocument(msgspec.Struct):
    """A failure, or the object of an ``ERROR`` event."""

    code: int = 0
    reason: str = ''
    message: str = ''
    kind: str = 'Status'


_EVENT_TYPES_BY_NAME = {
    'ADDED': objects.EventType.PUT,
    'MODIFIED': objects.EventType.PUT,
    'DELETED': objects.EventType.DELETED,
    'BOOKMARK': objects.EventType.BOOKMARK,
}


def path(kind: str, name: str = '') -> str:
    """Return the path of a collection or an object.

    Examples
    --------
    >>> path('services', 'order-desk')
    '/apis/acaciamoor.internal/v1/services/order-desk'
    """
    return f'/apis/{API_VERSION}/{kind}' + (f'/{name}' if name else '')


def encode_write(write: objects.Write) -> bytes:
    """Return the body of a creation or an update."""
    return msgspec.json.encode(
        ObjectDocument(
            kind=write.kind,
            metadata=Metadata(
                name=write.name,
                resource_version=(
                    ''
                    if write.expected_version is None
                    else str(write.expected_version)
                ),
                annotations={
                    CHANGES_ANNOTATION: encode_changes(write.changes)
                },
            ),
            spec=dict(write.value),
        )
    )


def encode_stored(stored: objects.StoredObject) -> ObjectDocument:
    """Return the wire form of a stored object."""
    return ObjectDocument(
        kind=stored.kind,
        metadata=Metadata(
            name=stored.name,
            resource_version=str(stored.version),
            annotations={CHANGES_ANNOTATION: encode_changes(stored.changes)},
        ),
        spec=dict(stored.value),
    )


def decode_stored(
    kind: str, data: bytes | msgspec.Raw
) -> objects.StoredObject:
    """Return the object in `data`.

    Raises
    ------
    ValueError
        If `data` is not an object.
    """
    return _stored(kind, msgspec.json.decode(data, type=ObjectDocument))


def decode_listing(kind: str, data: bytes) -> objects.Listing:
    """Return the collection in `data`."""
    document = msgspec.json.decode(data, type=ListDocument)
    return objects.Listing(
        int(document.metadata.resource_version),
        tuple(_stored(kind, item) for item in document.items),
    )


def decode_event(
    kind: str, line: bytes
) -> objects.WatchEvent | StatusDocument:
    """Return the event of one line, or the status of an ``ERROR`` event."""
    event = msgspec.json.decode(line, type=EventDocument)
    if event.type not in _EVENT_TYPES_BY_NAME:
        return msgspec.json.decode(event.object, type=StatusDocument)
    stored = decode_stored(kind, event.object)
    event_type = _EVENT_TYPES_BY_NAME[event.type]
    if event_type is objects.EventType.BOOKMARK:
        return objects.WatchEvent(event_type, stored.version)
    return objects.WatchEvent(event_type, stored.version, stored)


def encode_changes(changes: tuple[objects.Change, ...]) -> str:
    """Return the annotation for `changes`.

    Examples
    --------
    >>> encode_changes((objects.Change('b'), objects.Change('a', 3)))
    'b:0,a:3'
    """
    return ','.join(f'{item.change_id}:{item.version}' for item in changes)


def decode_changes(text: str) -> tuple[objects.Change, ...]:
    """Return the changes in an annotation."""
    pairs = (part.partition(':') for part in text.split(',') if part)
    return tuple(
        objects.Change(change_id, int(version or 0))
        for change_id, _, version in pairs
    )


def _stored(kind: str, document: ObjectDocument) -> objects.StoredObject:
    return objects.StoredObject(
        kind,
        document.metadata.name,
        int(document.metadata.resource_version),
        document.spec,
        decode_changes(
            document.metadata.annotations.get(CHANGES_ANNOTATION, '')
        ),
    )
