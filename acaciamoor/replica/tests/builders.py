"""Builders of events, batches, replicas and hosts for tests."""

from acaciamoor import model
from acaciamoor import platform
from acaciamoor import replica

KIND = 'servers'
# Lower bound of the memory of a value of `put_large`.
LARGE_VALUE_BYTES = 200_000
_LARGE_VALUE_FIELDS = 2_000


def put(name: str, version: int, **value) -> platform.WatchEvent:
    """Return the event for a write."""
    stored = platform.StoredObject(KIND, name, version, value)
    return platform.WatchEvent(platform.EventType.PUT, version, stored)


def put_large(name: str, version: int) -> platform.WatchEvent:
    """Return the event for a write of a large value."""
    fields = {
        f'field-{version}-{number}': f'value-{version}-{number}'
        for number in range(_LARGE_VALUE_FIELDS)
    }
    return put(name, version, **fields)


def deleted(name: str, version: int) -> platform.WatchEvent:
    """Return the event for a deletion."""
    stored = platform.StoredObject(KIND, name, version, {})
    return platform.WatchEvent(platform.EventType.DELETED, version, stored)


def snapshot(version: int, *events: platform.WatchEvent) -> replica.Batch:
    """Return a batch that is a snapshot of the objects of `events`."""
    return replica.Batch(0, version, events, snapshot=True)


def new_replica(version: int, *events: platform.WatchEvent) -> replica.Replica:
    """Return a replica that holds the objects of `events`."""
    result = replica.Replica(KIND)
    result.apply(snapshot(version, *events))
    return result


def peer(
    number: int, data_centre: str = 'kgn-a', link_mbps: float = 10.0
) -> replica.Peer:
    """Return a host."""
    return replica.Peer(
        model.HostId(f'h-{number}'),
        model.DataCentre(data_centre),
        model.Address('127.0.0.1', 7000 + number),
        link_mbps,
    )
