"""Test data for configuration files."""

import json

from acaciamoor import model
from acaciamoor.model import documents
from acaciamoor.model.tests import builders


def service(
    name: str = 'order-desk',
    service_id: int = 1,
    upstreams: tuple[model.Upstream, ...] | None = None,
    **fields: object,
) -> dict[str, object]:
    """Return the stored form of a service, with `fields` replaced."""
    if upstreams is None:
        port = 9000 + 10 * service_id
        upstreams = tuple(
            builders.upstream(f'desk-{index}', port + index)
            for index in (1, 2)
        )
    item = builders.service(name, upstreams, service_id)
    return documents.to_json(documents.ServiceDocument.of(item)) | fields


def content(*services: object) -> bytes:
    """Return the content of a file with `services`."""
    return json.dumps({'services': services}).encode()
