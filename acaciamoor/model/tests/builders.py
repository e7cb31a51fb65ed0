"""Test data for services."""

import collections.abc

from acaciamoor import model

DATA_CENTRE = model.DataCentre('kgn-a')


def upstream(
    upstream_id: str,
    port: int | None = None,
    draining: bool = False,
    weight: float = 1.0,
    data_centre: model.DataCentre = DATA_CENTRE,
) -> model.Upstream:
    """Return an upstream; the default port of ``name-N`` is 9000 + N."""
    if port is None:
        port = 9000 + int(upstream_id.rpartition('-')[2])
    return model.Upstream(
        upstream_id=model.UpstreamId(upstream_id),
        data_centre=data_centre,
        address=model.Address('127.0.0.1', port),
        weight=weight,
        state=(
            model.UpstreamState.DRAINING
            if draining
            else model.UpstreamState.ACTIVE
        ),
    )


def service(
    name: str = 'order-desk',
    upstreams: collections.abc.Iterable[model.Upstream] | None = None,
    service_id: int = 1,
    version: int = 1,
) -> model.Service:
    """Return a service, by default with seven upstreams."""
    if upstreams is None:
        upstreams = [upstream(f'desk-{index}') for index in range(1, 8)]
    return model.Service(
        service_id=model.ServiceId(service_id),
        name=name,
        address=model.Address('127.0.0.1', 8000 + service_id),
        upstreams_by_id={item.upstream_id: item for item in upstreams},
        version=version,
    )
