"""Conversion between the operator API's messages and domain values."""

import collections.abc
import functools
import typing

from acaciamoor import findings
from acaciamoor import model
from acaciamoor.model import documents
from acaciamoor.operator import changes
from acaciamoor.operator import operator_pb2
from acaciamoor.operator import outcomes

Json = dict[str, typing.Any]
_STATES_BY_NUMBER = {
    operator_pb2.UPSTREAM_STATE_ACTIVE: model.UpstreamState.ACTIVE,
    operator_pb2.UPSTREAM_STATE_DRAINING: model.UpstreamState.DRAINING,
}
_NUMBERS_BY_STATE = {
    state: number for number, state in _STATES_BY_NUMBER.items()
}
# A creation has no identifier yet; the editor replaces this one.
_UNASSIGNED_ID = 1


def policy_fields(message: operator_pb2.Policy) -> Json:
    """Return the fields of `message` that are set."""
    return {field.name: value for field, value in message.ListFields()}


def upstream_value(message: operator_pb2.Upstream) -> Json:
    """Return the JSON value of an upstream, without its identifier."""
    value = {field.name: item for field, item in message.ListFields()}
    value.pop('upstream_id', None)
    value.pop('state', None)
    if message.state in _STATES_BY_NUMBER:
        value['state'] = _STATES_BY_NUMBER[message.state].value
    return value


def creation(
    request: operator_pb2.CreateServiceRequest,
) -> documents.ServiceDocument:
    """Return the document of a new service.

    Raises
    ------
    FindingsError
        With all problems of the request.
    """
    upstreams_by_id: Json = {}
    problems = []
    for item in request.upstreams:
        if item.upstream_id in upstreams_by_id:
            problems.append(
                findings.Finding(
                    f'{documents.SERVICE_KIND}.{request.target.name}.'
                    f'upstreams_by_id.{item.upstream_id}',
                    'is given more than once',
                )
            )
        upstreams_by_id[item.upstream_id] = upstream_value(item)
    if problems:
        raise findings.FindingsError.of('the request is not valid', problems)
    return documents.parse_service(
        request.target.name,
        {
            'service_id': _UNASSIGNED_ID,
            'name': request.target.name,
            'address': request.address,
            'upstreams_by_id': upstreams_by_id,
            'policy': policy_fields(request.policy),
        },
    )


def upstream(
    service_name: str, message: operator_pb2.Upstream
) -> model.Upstream:
    """Return the upstream in `message`.

    Raises
    ------
    FindingsError
        With all problems of the message.
    """
    place = (
        f'{documents.SERVICE_KIND}.{service_name}.upstreams_by_id.'
        f'{message.upstream_id}'
    )
    document = documents.parse(
        documents.UpstreamDocument, place, upstream_value(message)
    )
    return document.to_upstream(message.upstream_id)


def service(
    document: documents.ServiceDocument, version: int
) -> operator_pb2.Service:
    """Return the message of a service as stored at `version`."""
    message = operator_pb2.Service(
        service_id=document.service_id,
        name=document.name,
        address=document.address,
        upstreams=[
            _upstream(key, item)
            for key, item in sorted(document.upstreams_by_id.items())
        ],
        policy=operator_pb2.Policy(**documents.to_json(document.policy)),
        version=version,
        written_by=document.written_by,
    )
    if document.written_at is not None:
        message.written_at.FromDatetime(document.written_at)
    return message


def _upstream(
    upstream_id: str, document: documents.UpstreamDocument
) -> operator_pb2.Upstream:
    return operator_pb2.Upstream(
        upstream_id=upstream_id,
        data_centre=document.data_centre,
        address=document.address,
        control=document.control,
        weight=document.weight,
        slots=document.slots,
        connections=document.connections,
        state=_NUMBERS_BY_STATE[document.state],
    )


@functools.singledispatch
def reply(outcome: outcomes.Outcome) -> operator_pb2.ChangeReply:
    """Return the message of an outcome."""
    raise TypeError(f'{type(outcome).__name__} is not an outcome')


@reply.register
def _reply_accepted(outcome: outcomes.Accepted) -> operator_pb2.ChangeReply:
    return operator_pb2.ChangeReply(
        accepted=operator_pb2.Accepted(version=outcome.version)
    )


@reply.register
def _reply_refused(outcome: outcomes.Refused) -> operator_pb2.ChangeReply:
    return operator_pb2.ChangeReply(
        refused=operator_pb2.Refused(
            findings=[
                operator_pb2.Finding(place=item.place, message=item.message)
                for item in outcome.findings
            ]
        )
    )


@reply.register
def _reply_conflicted(
    outcome: outcomes.Conflicted,
) -> operator_pb2.ChangeReply:
    return operator_pb2.ChangeReply(
        conflict=operator_pb2.Conflict(
            version=outcome.version, written_by=outcome.written_by
        )
    )


@reply.register
def _reply_unknown(outcome: outcomes.Unknown) -> operator_pb2.ChangeReply:
    return operator_pb2.ChangeReply(
        unknown=operator_pb2.OutcomeUnknown(message=outcome.message)
    )


def change_of(request: typing.Any, requested_by: str) -> changes.Change:
    """Return the change that `request` asks for, by its type.

    Raises
    ------
    FindingsError
        With all problems of the request.
    """
    common = {
        'name': request.target.name,
        'expected_version': request.target.expected_version,
        'requested_by': requested_by or request.target.requested_by,
    }
    return _BUILDERS_BY_REQUEST[type(request)](request, common)


def _create(
    request: operator_pb2.CreateServiceRequest, common: Json
) -> changes.Change:
    return changes.CreateService(document=creation(request), **common)


def _policy(
    request: operator_pb2.ChangePolicyRequest, common: Json
) -> changes.Change:
    fields = policy_fields(request.policy)
    if not fields:
        place = f'{documents.SERVICE_KIND}.{request.target.name}.policy'
        raise findings.FindingsError.of(
            'the request is not valid',
            [findings.Finding(place, 'no field is given')],
        )
    return changes.ChangePolicy(fields=fields, **common)


def _add(
    request: operator_pb2.AddUpstreamRequest, common: Json
) -> changes.Change:
    return changes.AddUpstream(
        upstream=upstream(request.target.name, request.upstream), **common
    )


def _delete(
    request: operator_pb2.DeleteServiceRequest, common: Json
) -> changes.Change:
    return changes.DeleteService(**common)


_BUILDERS_BY_REQUEST: dict[
    type, collections.abc.Callable[[typing.Any, Json], changes.Change]
] = {
    operator_pb2.CreateServiceRequest: _create,
    operator_pb2.ChangePolicyRequest: _policy,
    operator_pb2.AddUpstreamRequest: _add,
    operator_pb2.DeleteServiceRequest: _delete,
}
