"""Tables and JSON."""

import collections.abc
import functools
import json

from google.protobuf import json_format
from google.protobuf import message as messages

from acaciamoor.operator import operator_pb2

Rows = collections.abc.Iterable[collections.abc.Sequence[object]]
SERVICE_COLUMNS = ('SERVICE', 'ADDRESS', 'ACTIVE', 'DRAINING', 'VERSION')
UPSTREAM_COLUMNS = (
    'SERVICE',
    'UPSTREAM',
    'DATA CENTRE',
    'ADDRESS',
    'WEIGHT',
    'SLOTS',
    'STATE',
)
STATUS_COLUMNS = ('DATA CENTRE', 'VERSION', 'HOSTS', 'BEHIND')
EVENT_COLUMNS = ('VERSION', 'SERVICE', 'EVENT', 'ACTIVE', 'DRAINING')


def as_json(message: messages.Message) -> str:
    """Return `message` as one line of JSON."""
    return json.dumps(
        json_format.MessageToDict(
            message,
            preserving_proto_field_name=True,
            always_print_fields_with_no_presence=True,
        )
    )


def table(columns: collections.abc.Sequence[str], rows: Rows) -> str:
    """Return a table with aligned columns.

    Examples
    --------
    >>> print(table(('NAME', 'N'), [('desk', 1)]))
    NAME  N
    desk  1
    """
    lines = [tuple(columns)]
    lines.extend(tuple(str(cell) for cell in row) for row in rows)
    widths = [
        max(len(line[index]) for line in lines)
        for index in range(len(columns))
    ]
    return '\n'.join(
        '  '.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def state_counts(service: operator_pb2.Service) -> tuple[int, int]:
    """Return how many upstreams are active and how many are draining."""
    draining = sum(
        item.state == operator_pb2.UPSTREAM_STATE_DRAINING
        for item in service.upstreams
    )
    return len(service.upstreams) - draining, draining


def service_row(service: operator_pb2.Service) -> tuple[object, ...]:
    """Return the cells of a service."""
    return (
        service.name,
        service.address,
        *state_counts(service),
        service.version,
    )


def upstream_rows(service: operator_pb2.Service) -> Rows:
    """Return the cells of all upstreams of a service."""
    for item in service.upstreams:
        name = operator_pb2.UpstreamState.Name(item.state)
        yield (
            service.name,
            item.upstream_id,
            item.data_centre,
            item.address,
            f'{item.weight:g}',
            item.slots,
            name.removeprefix('UPSTREAM_STATE_').lower(),
        )


def event_row(event: operator_pb2.ServiceEvent) -> tuple[object, ...]:
    """Return the cells of a change."""
    if not event.HasField('service'):
        return (event.version, event.name, 'not in force', 0, 0)
    return (
        event.version,
        event.name,
        'in force',
        *state_counts(event.service),
    )


@functools.singledispatch
def as_table(message: messages.Message, upstreams: bool = False) -> str:
    """Return `message` as a table; `upstreams` gives one line for each."""
    raise TypeError(f'{type(message).__name__} has no table')


@as_table.register
def _list_table(
    message: operator_pb2.ListServicesReply, upstreams: bool = False
) -> str:
    if upstreams:
        rows = [
            row for item in message.services for row in upstream_rows(item)
        ]
        return table(UPSTREAM_COLUMNS, rows)
    return table(SERVICE_COLUMNS, map(service_row, message.services))


@as_table.register
def _service_table(
    message: operator_pb2.Service, upstreams: bool = False
) -> str:
    policy = json_format.MessageToDict(
        message.policy, preserving_proto_field_name=True
    )
    lines = [table(SERVICE_COLUMNS, [service_row(message)]), '']
    lines.append(f'identifier: {message.service_id}')
    lines.append(f'written by: {message.written_by or "unnamed"}')
    if message.HasField('written_at'):
        lines.append(f'written at: {message.written_at.ToJsonString()}')
    lines.extend(f'{key}: {value:g}' for key, value in policy.items())
    lines.extend(['', table(UPSTREAM_COLUMNS, upstream_rows(message))])
    return '\n'.join(lines)


@as_table.register
def _status_table(
    message: operator_pb2.GetStatusReply, upstreams: bool = False
) -> str:
    rows = [
        (
            item.data_centre,
            item.version,
            item.hosts,
            'yes' if item.version < message.version else 'no',
        )
        for item in message.data_centres
    ]
    return f'version: {message.version}\n{table(STATUS_COLUMNS, rows)}'
