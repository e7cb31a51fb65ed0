"""Test data for configuration files."""

import datetime
import json

from acaciamoor import configuration_check
from acaciamoor import directory
from acaciamoor import model
from acaciamoor.model import documents
from acaciamoor.model.tests import builders

SECOND = datetime.timedelta(seconds=1)
LIMITS = directory.ServiceLimits(2000, 2 * SECOND, 20.0)
# 198.18.0.1.
_IP = 0xC6120001


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


def route(
    port: int = 8443, weights: dict[str, float] | None = None, **fields: object
) -> directory.Route:
    """Return a route to `order-desk`, with `fields` replaced."""
    fields = {'timeout': 0.8 * SECOND, 'response_goal': 0.12 * SECOND} | fields
    return directory.Route(
        f'r-{port}',
        (_IP, port),
        weights or {'order-desk': 1.0},
        **fields,
    )


def routes(
    *items: directory.Route,
    services: tuple[tuple[str, directory.ServiceLimits], ...] | None = (
        ('order-desk', LIMITS),
    ),
    version: int = 4,
) -> configuration_check.RouteConfiguration:
    """Return a configuration of the forwarders."""
    return configuration_check.RouteConfiguration(version, items, services)


def list_findings(report) -> dict[str, list[str]]:
    """Return the places of findings by section, without empty sections."""
    sections = ('errors', 'never_matched', 'contradictions')
    return {
        section: [item.place for item in getattr(report, section)]
        for section in sections
        if getattr(report, section)
    }
