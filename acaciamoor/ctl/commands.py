"""What each command asks of the API."""

import collections.abc
import typing

from acaciamoor.ctl import flags
from acaciamoor.operator import operator_pb2
import acaciamoor.settings as settings

Build = collections.abc.Callable[[settings.Settings], typing.Any]


def _target(given: settings.Settings) -> operator_pb2.Target:
    versioned = given.command != 'create'
    return operator_pb2.Target(
        name=given[flags.NAME],
        expected_version=given[flags.EXPECTED_VERSION] if versioned else 0,
        requested_by=given[flags.REQUESTED_BY] or '',
    )


def _policy(given: settings.Settings) -> operator_pb2.Policy:
    values_by_field = {
        field: given[flag]
        for field, flag in flags.POLICY_FLAGS_BY_FIELD.items()
    }
    return operator_pb2.Policy(
        **{
            field: value
            for field, value in values_by_field.items()
            if value is not None
        }
    )


def _create(given: settings.Settings) -> operator_pb2.CreateServiceRequest:
    return operator_pb2.CreateServiceRequest(
        target=_target(given),
        address=given[flags.SERVICE_ADDRESS],
        upstreams=given[flags.UPSTREAMS],
        policy=_policy(given),
    )


def _change(given: settings.Settings) -> operator_pb2.ChangePolicyRequest:
    return operator_pb2.ChangePolicyRequest(
        target=_target(given), policy=_policy(given)
    )


def _add(given: settings.Settings) -> operator_pb2.AddUpstreamRequest:
    return operator_pb2.AddUpstreamRequest(
        target=_target(given), upstream=given[flags.NEW_UPSTREAM]
    )


def _upstream(given: settings.Settings) -> operator_pb2.UpstreamRequest:
    return operator_pb2.UpstreamRequest(
        target=_target(given), upstream_id=given[flags.UPSTREAM_ID]
    )


def _delete(given: settings.Settings) -> operator_pb2.DeleteServiceRequest:
    return operator_pb2.DeleteServiceRequest(target=_target(given))


def _describe(
    given: settings.Settings,
) -> operator_pb2.DescribeServiceRequest:
    return operator_pb2.DescribeServiceRequest(name=given[flags.NAME])


# Method of the API and its request, by command.
CHANGES_BY_COMMAND: dict[str, tuple[str, Build]] = {
    'add': ('AddUpstream', _add),
    'change': ('ChangePolicy', _change),
    'create': ('CreateService', _create),
    'delete': ('DeleteService', _delete),
    'drain': ('DrainUpstream', _upstream),
    'remove': ('RemoveUpstream', _upstream),
}
READS_BY_COMMAND: dict[str, tuple[str, Build]] = {
    'describe': ('DescribeService', _describe),
    'list': (
        'ListServices',
        lambda given: operator_pb2.ListServicesRequest(),
    ),
    'status': ('GetStatus', lambda given: operator_pb2.GetStatusRequest()),
}
