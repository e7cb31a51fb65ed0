"""Builders of routes, upstream entries and directories for tests."""

import datetime
import zlib

from acaciamoor import directory
from acaciamoor import model

ADDRESS = (0xC6120001, 443)
SERVICE = 'order-desk'
SECOND = datetime.timedelta(seconds=1)
CHANGE_BOUND = 3 * SECOND
RECOVERY_BOUND = 4 * SECOND
STARTED_AT = datetime.datetime(2026, 4, 17, tzinfo=datetime.UTC)


def upstream_entry(
    name: str,
    revision: int = 1,
    *,
    service: str = SERVICE,
    data_centre: str = 'kgn-a',
    draining: bool = False,
    port: int = 8080,
    slots: int = 2,
    sequence: int = 0,
    started_at: datetime.datetime = STARTED_AT,
) -> directory.UpstreamEntry:
    """Return the entry of an upstream."""
    state = (
        model.UpstreamState.DRAINING
        if draining
        else model.UpstreamState.ACTIVE
    )
    return directory.UpstreamEntry(
        model.Upstream(
            model.UpstreamId(name),
            model.DataCentre(data_centre),
            model.Address('127.0.0.1', port),
            slots=slots,
            state=state,
        ),
        service=service,
        wire_id=zlib.crc32(name.encode()) + 1,
        revision=revision,
        started_at=started_at,
        sequence=sequence,
    )


def route(
    address=ADDRESS,
    services=(SERVICE,),
    kind: directory.RequestKind = directory.RequestKind.IDEMPOTENT,
) -> directory.Route:
    """Return a route that splits flows evenly between services."""
    return directory.Route(
        'board', address, {service: 1.0 for service in services}, kind
    )


def table(version: int = 1, *routes: directory.Route) -> directory.RouteTable:
    """Return a route table, by default with a single route."""
    return directory.RouteTable(
        version, {item.address: item for item in routes or (route(),)}
    )


def new_directory(*upstreams: directory.UpstreamEntry) -> directory.Directory:
    """Return a directory with one route and the given upstreams."""
    result = directory.Directory()
    result.adopt_routes(table())
    for upstream in upstreams:
        result.put_upstream(upstream)
    result.confirm_entries(1)
    return result
