"""Formatting of replies and events as tables and JSON."""

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
EVACUATION_COLUMNS = ('EVACUATED', 'VERSION', 'BY', 'AT')
EVENT_COLUMNS = ('VERSION', 'SERVICE', 'EVENT', 'ACTIVE', 'DRAINING')


def format_json(message: messages.Message) -> str:
    """Format `message` as one line of JSON."""
    return json.dumps(
        json_format.MessageToDict(
            message,
            preserving_proto_field_name=True,
            always_print_fields_with_no_presence=True,
        )
    )


def format_table(columns: collections.abc.Sequence[str], rows: Rows) -> str:
    """Format a table with aligned columns.

    Examples
    --------
    >>> print(format_table(('NAME', 'N'), [('desk', 1)]))
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


def count_upstream_states(service: operator_pb2.Service) -> tuple[int, int]:
    """Return the numbers of active and of draining upstreams."""
    draining = sum(
        item.state == operator_pb2.UPSTREAM_STATE_DRAINING
        for item in service.upstreams
    )
    return len(service.upstreams) - draining, draining


def service_row(service: operator_pb2.Service) -> tuple[object, ...]:
    """Return the cells of a service, in the order of `SERVICE_COLUMNS`."""
    return (
        service.name,
        service.address,
        *count_upstream_states(service),
        service.version,
    )


def upstream_rows(service: operator_pb2.Service) -> Rows:
    """Yield the cells of each upstream, in the order of `UPSTREAM_COLUMNS`."""
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
    """Return the cells of an event, in the order of `EVENT_COLUMNS`."""
    if not event.HasField('service'):
        return (event.version, event.name, 'not in force', 0, 0)
    return (
        event.version,
        event.name,
        'in force',
        *count_upstream_states(event.service),
    )


@functools.singledispatch
def format_reply(
    message: messages.Message, show_upstreams: bool = False
) -> str:
    """Format a reply as text.

    Parameters
    ----------
    message : Message
        Reply of the operator API.
    show_upstreams : bool
        Whether a list of services has one line per upstream.
    """
    raise TypeError(f'{type(message).__name__} has no table format')


@format_reply.register
def _format_list(
    message: operator_pb2.ListServicesReply, show_upstreams: bool = False
) -> str:
    if show_upstreams:
        rows = [
            row for item in message.services for row in upstream_rows(item)
        ]
        return format_table(UPSTREAM_COLUMNS, rows)
    return format_table(SERVICE_COLUMNS, map(service_row, message.services))


@format_reply.register
def _format_service(
    message: operator_pb2.Service, show_upstreams: bool = False
) -> str:
    policy = json_format.MessageToDict(
        message.policy, preserving_proto_field_name=True
    )
    lines = [format_table(SERVICE_COLUMNS, [service_row(message)]), '']
    lines.append(f'identifier: {message.service_id}')
    lines.append(f'written by: {message.written_by or "unnamed"}')
    if message.HasField('written_at'):
        lines.append(f'written at: {message.written_at.ToJsonString()}')
    lines.extend(f'{key}: {value:g}' for key, value in policy.items())
    lines.extend(['', format_table(UPSTREAM_COLUMNS, upstream_rows(message))])
    return '\n'.join(lines)


@format_reply.register
def _format_status(
    message: operator_pb2.GetStatusReply, show_upstreams: bool = False
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
    text = f'version: {message.version}\n{format_table(STATUS_COLUMNS, rows)}'
    if not message.evacuations:
        return text
    evacuations = map(_evacuation_row, message.evacuations)
    return f'{text}\n\n{format_table(EVACUATION_COLUMNS, evacuations)}'


def _evacuation_row(message: operator_pb2.Evacuation) -> tuple[object, ...]:
    return (
        message.data_centre,
        message.version,
        message.written_by or 'unnamed',
        message.written_at.ToJsonString()
        if message.HasField('written_at')
        else 'unknown',
    )
