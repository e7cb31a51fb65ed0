"""Conversion between messages of the operator API and domain objects."""

import collections.abc
import functools
import typing

from acaciamoor import findings
from acaciamoor import model
from acaciamoor.model import documents
from acaciamoor.operator import changes
from acaciamoor.operator import operator_pb2
from acaciamoor.operator import outcomes
from acaciamoor.operator import repository

Json = dict[str, typing.Any]
_STATES_BY_NUMBER = {
    operator_pb2.UPSTREAM_STATE_ACTIVE: model.UpstreamState.ACTIVE,
    operator_pb2.UPSTREAM_STATE_DRAINING: model.UpstreamState.DRAINING,
}
_NUMBERS_BY_STATE = {
    state: number for number, state in _STATES_BY_NUMBER.items()
}
# Valid placeholder: `ServiceEditor` allocates the identifier of a new service.
_UNASSIGNED_ID = 1


def policy_fields(message: operator_pb2.Policy) -> Json:
    """Return the fields of `message` that are set."""
    return {field.name: value for field, value in message.ListFields()}


def upstream_json(message: operator_pb2.Upstream) -> Json:
    """Return the stored form of an upstream, without its identifier."""
    value = {field.name: item for field, item in message.ListFields()}
    value.pop('upstream_id', None)
    value.pop('state', None)
    if message.state in _STATES_BY_NUMBER:
        value['state'] = _STATES_BY_NUMBER[message.state].value
    return value


def service_document(
    request: operator_pb2.CreateServiceRequest,
) -> documents.ServiceDocument:
    """Return the document of the service that `request` creates.

    Raises
    ------
    FindingsError
        If the request is invalid; lists every problem.
    """
    upstreams_by_id: Json = {}
    problems = []
    for item in request.upstreams:
        if item.upstream_id in upstreams_by_id:
            problems.append(
                findings.Finding(
                    f'{documents.SERVICE_KIND}.{request.target.name}.'
                    f'upstreams_by_id.{item.upstream_id}',
                    'is a duplicate upstream identifier',
                )
            )
        upstreams_by_id[item.upstream_id] = upstream_json(item)
    if problems:
        raise findings.FindingsError.of('invalid request', problems)
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


def upstream_from_message(
    service_name: str, message: operator_pb2.Upstream
) -> model.Upstream:
    """Return the upstream that `message` describes.

    Raises
    ------
    FindingsError
        If the message is invalid; lists every problem.
    """
    place = (
        f'{documents.SERVICE_KIND}.{service_name}.upstreams_by_id.'
        f'{message.upstream_id}'
    )
    document = documents.parse(
        documents.UpstreamDocument, place, upstream_json(message)
    )
    return document.to_upstream(message.upstream_id)


def service_message(
    document: documents.ServiceDocument, version: int
) -> operator_pb2.Service:
    """Return the message for a service that is stored at `version`."""
    message = operator_pb2.Service(
        service_id=document.service_id,
        name=document.name,
        address=document.address,
        upstreams=[
            _upstream_message(key, item)
            for key, item in sorted(document.upstreams_by_id.items())
        ],
        policy=operator_pb2.Policy(**documents.to_json(document.policy)),
        version=version,
        written_by=document.written_by,
    )
    if document.written_at is not None:
        message.written_at.FromDatetime(document.written_at)
    return message


def _upstream_message(
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


def evacuation_message(
    evacuation: repository.StoredEvacuation,
) -> operator_pb2.Evacuation:
    """Return the message for the evacuation of a data centre."""
    message = operator_pb2.Evacuation(
        data_centre=evacuation.data_centre,
        version=evacuation.version,
        written_by=evacuation.document.written_by,
    )
    if evacuation.document.written_at is not None:
        message.written_at.FromDatetime(evacuation.document.written_at)
    return message


def _finding_messages(
    items: collections.abc.Iterable[findings.Finding],
) -> list[operator_pb2.Finding]:
    return [
        operator_pb2.Finding(place=item.place, message=item.message)
        for item in items
    ]


@functools.singledispatch
def reply_message(outcome: outcomes.Outcome) -> operator_pb2.ChangeReply:
    """Return the reply to a change with `outcome`."""
    raise TypeError(f'{type(outcome).__name__} is not an outcome')


@reply_message.register
def _reply_accepted(outcome: outcomes.Accepted) -> operator_pb2.ChangeReply:
    return operator_pb2.ChangeReply(
        accepted=operator_pb2.Accepted(
            version=outcome.version, notices=_finding_messages(outcome.notices)
        )
    )


@reply_message.register
def _reply_refused(outcome: outcomes.Refused) -> operator_pb2.ChangeReply:
    return operator_pb2.ChangeReply(
        refused=operator_pb2.Refused(
            findings=_finding_messages(outcome.findings)
        )
    )


@reply_message.register
def _reply_conflicted(
    outcome: outcomes.Conflicted,
) -> operator_pb2.ChangeReply:
    return operator_pb2.ChangeReply(
        conflict=operator_pb2.Conflict(
            version=outcome.version, written_by=outcome.written_by
        )
    )


@reply_message.register
def _reply_unknown(outcome: outcomes.Unknown) -> operator_pb2.ChangeReply:
    return operator_pb2.ChangeReply(
        unknown=operator_pb2.OutcomeUnknown(message=outcome.message)
    )


def change_from_request(
    request: typing.Any, requested_by: str
) -> changes.Change:
    """Return the change that `request` describes.

    Parameters
    ----------
    request : Message
        Request of any type in `_BUILDERS_BY_REQUEST`.
    requested_by : str
        Authenticated name of the client; if empty, the name in the request
        is used.

    Raises
    ------
    FindingsError
        If the request is invalid; lists every problem.
    """
    common_fields = {
        'name': request.target.name,
        'expected_version': request.target.expected_version,
        'requested_by': requested_by or request.target.requested_by,
    }
    return _BUILDERS_BY_REQUEST[type(request)](request, common_fields)


def _build_create_service(
    request: operator_pb2.CreateServiceRequest, common_fields: Json
) -> changes.Change:
    return changes.CreateService(
        document=service_document(request), **common_fields
    )


def _build_change_policy(
    request: operator_pb2.ChangePolicyRequest, common_fields: Json
) -> changes.Change:
    fields = policy_fields(request.policy)
    if not fields:
        place = f'{documents.SERVICE_KIND}.{request.target.name}.policy'
        raise findings.FindingsError.of(
            'invalid request',
            [findings.Finding(place, 'must set at least one field')],
        )
    return changes.ChangePolicy(fields=fields, **common_fields)


def _build_add_upstream(
    request: operator_pb2.AddUpstreamRequest, common_fields: Json
) -> changes.Change:
    return changes.AddUpstream(
        upstream=upstream_from_message(request.target.name, request.upstream),
        **common_fields,
    )


def _build_delete_service(
    request: operator_pb2.DeleteServiceRequest, common_fields: Json
) -> changes.Change:
    return changes.DeleteService(**common_fields)


_BUILDERS_BY_REQUEST: dict[
    type, collections.abc.Callable[[typing.Any, Json], changes.Change]
] = {
    operator_pb2.CreateServiceRequest: _build_create_service,
    operator_pb2.ChangePolicyRequest: _build_change_policy,
    operator_pb2.AddUpstreamRequest: _build_add_upstream,
    operator_pb2.DeleteServiceRequest: _build_delete_service,
}
