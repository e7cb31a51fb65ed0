"""API method and request of each command."""

import collections.abc
import typing

from acaciamoor.ctl import flags
from acaciamoor.operator import operator_pb2
import acaciamoor.settings as settings

BuildRequest = collections.abc.Callable[[settings.Settings], typing.Any]


def _target(given: settings.Settings) -> operator_pb2.Target:
    accepts_version = given.command != 'create'
    return operator_pb2.Target(
        name=given[flags.NAME],
        expected_version=given[flags.EXPECTED_VERSION]
        if accepts_version
        else 0,
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


def _create_service_request(
    given: settings.Settings,
) -> operator_pb2.CreateServiceRequest:
    return operator_pb2.CreateServiceRequest(
        target=_target(given),
        address=given[flags.SERVICE_ADDRESS],
        upstreams=given[flags.UPSTREAMS],
        policy=_policy(given),
    )


def _change_policy_request(
    given: settings.Settings,
) -> operator_pb2.ChangePolicyRequest:
    return operator_pb2.ChangePolicyRequest(
        target=_target(given), policy=_policy(given)
    )


def _add_upstream_request(
    given: settings.Settings,
) -> operator_pb2.AddUpstreamRequest:
    return operator_pb2.AddUpstreamRequest(
        target=_target(given), upstream=given[flags.NEW_UPSTREAM]
    )


def _upstream_request(
    given: settings.Settings,
) -> operator_pb2.UpstreamRequest:
    return operator_pb2.UpstreamRequest(
        target=_target(given), upstream_id=given[flags.UPSTREAM_ID]
    )


def _delete_service_request(
    given: settings.Settings,
) -> operator_pb2.DeleteServiceRequest:
    return operator_pb2.DeleteServiceRequest(target=_target(given))


def _evacuation_request(
    given: settings.Settings,
) -> operator_pb2.EvacuationRequest:
    takes_back = given.command == 'take-back'
    return operator_pb2.EvacuationRequest(
        target=operator_pb2.Target(
            name=given[flags.DATA_CENTRE],
            expected_version=given[flags.EXPECTED_VERSION]
            if takes_back
            else 0,
            requested_by=given[flags.REQUESTED_BY] or '',
        )
    )


def _describe_service_request(
    given: settings.Settings,
) -> operator_pb2.DescribeServiceRequest:
    return operator_pb2.DescribeServiceRequest(name=given[flags.NAME])


# Name of the API method, and the function that builds its request.
CHANGES_BY_COMMAND: dict[str, tuple[str, BuildRequest]] = {
    'add': ('AddUpstream', _add_upstream_request),
    'change': ('ChangePolicy', _change_policy_request),
    'create': ('CreateService', _create_service_request),
    'delete': ('DeleteService', _delete_service_request),
    'drain': ('DrainUpstream', _upstream_request),
    'evacuate': ('EvacuateDataCentre', _evacuation_request),
    'remove': ('RemoveUpstream', _upstream_request),
    'take-back': ('TakeBackDataCentre', _evacuation_request),
}
READS_BY_COMMAND: dict[str, tuple[str, BuildRequest]] = {
    'describe': ('DescribeService', _describe_service_request),
    'list': (
        'ListServices',
        lambda given: operator_pb2.ListServicesRequest(),
    ),
    'status': ('GetStatus', lambda given: operator_pb2.GetStatusRequest()),
}
