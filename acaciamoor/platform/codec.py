"""JSON encoding of objects according to the Kubernetes API conventions."""

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
    """Wire format of an object."""

    metadata: Metadata
    spec: Json = {}
    kind: str = ''
    api_version: str = API_VERSION


class ListDocument(msgspec.Struct, rename='camel'):
    """Wire format of a collection."""

    metadata: Metadata
    items: list[ObjectDocument] = []
    kind: str = 'List'
    api_version: str = API_VERSION


class EventDocument(msgspec.Struct):
    """Wire format of a watch event, one per line."""

    type: str
    object: msgspec.Raw


class StatusDocument(msgspec.Struct):
    """Wire format of a failure, also the object of an ``ERROR`` event."""

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
    """Return the URL path of a collection or an object.

    Examples
    --------
    >>> path('services', 'order-desk')
    '/apis/acaciamoor.internal/v1/services/order-desk'
    """
    return f'/apis/{API_VERSION}/{kind}' + (f'/{name}' if name else '')


def encode_write(write: objects.Write) -> bytes:
    """Return the request body of a creation or an update."""
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


def to_document(stored: objects.StoredObject) -> ObjectDocument:
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
    """Return the object that `data` encodes.

    Raises
    ------
    ValueError
        If `data` does not encode an object.
    """
    return _from_document(kind, msgspec.json.decode(data, type=ObjectDocument))


def decode_listing(kind: str, data: bytes) -> objects.Listing:
    """Return the collection that `data` encodes."""
    document = msgspec.json.decode(data, type=ListDocument)
    return objects.Listing(
        int(document.metadata.resource_version),
        tuple(_from_document(kind, item) for item in document.items),
    )


def decode_event(
    kind: str, line: bytes
) -> objects.WatchEvent | StatusDocument:
    """Return the event that `line` encodes, or the status of an error."""
    event = msgspec.json.decode(line, type=EventDocument)
    if event.type not in _EVENT_TYPES_BY_NAME:
        return msgspec.json.decode(event.object, type=StatusDocument)
    stored = decode_stored(kind, event.object)
    event_type = _EVENT_TYPES_BY_NAME[event.type]
    if event_type is objects.EventType.BOOKMARK:
        return objects.WatchEvent(event_type, stored.version)
    return objects.WatchEvent(event_type, stored.version, stored)


def encode_changes(changes: tuple[objects.Change, ...]) -> str:
    """Return the text of the annotation that holds `changes`.

    Examples
    --------
    >>> encode_changes((objects.Change('b'), objects.Change('a', 3)))
    'b:0,a:3'
    """
    return ','.join(f'{item.change_id}:{item.version}' for item in changes)


def decode_changes(text: str) -> tuple[objects.Change, ...]:
    """Return the changes that the text of an annotation holds."""
    pairs = (part.partition(':') for part in text.split(',') if part)
    return tuple(
        objects.Change(change_id, int(version or 0))
        for change_id, _, version in pairs
    )


def _from_document(
    kind: str, document: ObjectDocument
) -> objects.StoredObject:
    return objects.StoredObject(
        kind,
        document.metadata.name,
        int(document.metadata.resource_version),
        document.spec,
        decode_changes(
            document.metadata.annotations.get(CHANGES_ANNOTATION, '')
        ),
    )
