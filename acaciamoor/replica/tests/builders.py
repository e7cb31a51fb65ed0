"""Objects, events and hosts for the tests of replicas."""

from acaciamoor import model
from acaciamoor import platform
from acaciamoor import replica

KIND = 'servers'


def put(name: str, version: int, **value) -> platform.WatchEvent:
    """Return the event of a write."""
    stored = platform.StoredObject(KIND, name, version, value)
    return platform.WatchEvent(platform.EventType.PUT, version, stored)


def removed(name: str, version: int) -> platform.WatchEvent:
    """Return the event of a removal."""
    stored = platform.StoredObject(KIND, name, version, {})
    return platform.WatchEvent(platform.EventType.DELETED, version, stored)


def whole(version: int, *events: platform.WatchEvent) -> replica.Batch:
    """Return a batch of all objects."""
    return replica.Batch(0, version, events, whole=True)


def known(version: int, *events: platform.WatchEvent) -> replica.Replica:
    """Return a replica that holds the objects of `events`."""
    result = replica.Replica(KIND)
    result.apply(whole(version, *events))
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
