"""gRPC service of the operator API."""

import collections.abc
import logging
import typing

import grpc

from acaciamoor import findings
from acaciamoor import model
from acaciamoor.model import documents
from acaciamoor.operator import changes
from acaciamoor.operator import editor as editors
from acaciamoor.operator import evacuations
from acaciamoor.operator import messages
from acaciamoor.operator import operator_pb2
from acaciamoor.operator import operator_pb2_grpc
from acaciamoor.operator import outcomes
from acaciamoor.operator import repository
from acaciamoor.operator import reuse
import acaciamoor.platform as platform

_LOG = logging.getLogger(__name__)
_COMMON_NAME_PROPERTY = 'x509_common_name'
_LOG_FIELDS_BY_KIND = {
    editors.ServiceEditor: 'service',
    evacuations.EvacuationEditor: 'target_data_centre',
}
# Called with the type names of a change and of its outcome.
CountOutcome = collections.abc.Callable[[str, str], None]


class OperatorServicer(operator_pb2_grpc.OperatorServicer):
    """Implements the gRPC service; its methods are named as in the schema.

    Parameters
    ----------
    editor : ServiceEditor
        Executes changes.
    evacuation_editor : EvacuationEditor
        Executes changes to the evacuations of data centres.
    store : ObjectStore
        Object store of the platform, for reads and watches.
    count_outcome : Callable
        Called with the type names of each change and its outcome.
    """

    def __init__(
        self,
        editor: editors.ServiceEditor,
        evacuation_editor: evacuations.EvacuationEditor,
        store: platform.ObjectStore,
        count_outcome: CountOutcome = lambda change, outcome: None,
    ) -> None:
        self._editor = editor
        self._evacuation_editor = evacuation_editor
        self._store = store
        self._evacuations = repository.EvacuationRepository(store)
        self._services = repository.ServiceRepository(store)
        self._count_outcome = count_outcome

    async def CreateService(self, request, context):
        """Create a service."""
        return await self._change(request, context)

    async def ChangePolicy(self, request, context):
        """Set some fields of the policy of a service."""
        return await self._change(request, context)

    async def AddUpstream(self, request, context):
        """Add an upstream."""
        return await self._change(request, context)

    async def DrainUpstream(self, request, context):
        """Drain an upstream: stop sending it new work."""
        return await self._change_upstream(
            changes.DrainUpstream, request, context
        )

    async def RemoveUpstream(self, request, context):
        """Remove a draining upstream."""
        return await self._change_upstream(
            changes.RemoveUpstream, request, context
        )

    async def DeleteService(self, request, context):
        """Delete a service."""
        return await self._change(request, context)

    async def ListServices(self, request, context):
        """Return all active services."""
        try:
            version, found = await self._services.list_active()
        except (platform.StoreError, findings.FindingsError) as error:
            await _abort(context, error)
        return operator_pb2.ListServicesReply(
            version=version,
            services=[
                messages.service_message(item.document, item.version)
                for item in found
            ],
        )

    async def DescribeService(self, request, context):
        """Return one active service."""
        try:
            found = await self._services.find(request.name)
        except (platform.StoreError, findings.FindingsError) as error:
            await _abort(context, error)
        if found is None or not found.is_active:
            await context.abort(
                grpc.StatusCode.NOT_FOUND, f'{request.name} does not exist'
            )
        return messages.service_message(found.document, found.version)

    async def WatchServices(self, request, context):
        """Yield an event for each change after the requested version."""
        events = self._store.watch(
            documents.SERVICE_KIND, request.after_version
        )
        async for event in events:
            if event.stored is not None:
                yield _event_message(event)

    async def GetStatus(self, request, context):
        """Return the configuration version in force in each data centre."""
        try:
            version = await self._services.collection_version()
            found = await reuse.read_statuses(self._store)
            evacuated = await self._evacuations.list_all()
        except (platform.StoreError, findings.FindingsError) as error:
            await _abort(context, error)
        return operator_pb2.GetStatusReply(
            version=version,
            data_centres=[
                operator_pb2.DataCentreStatus(
                    data_centre=name, version=item.version, hosts=item.hosts
                )
                for name, item in sorted(found.items())
            ],
            evacuations=map(messages.evacuation_message, evacuated),
        )

    async def EvacuateDataCentre(self, request, context):
        """Send no new work to the upstreams of a data centre."""
        return await self._change_evacuation(
            changes.EvacuateDataCentre, request, context
        )

    async def TakeBackDataCentre(self, request, context):
        """End the evacuation of a data centre."""
        return await self._change_evacuation(
            changes.TakeBackDataCentre, request, context
        )

    async def ListEvacuations(self, request, context):
        """Return the evacuated data centres."""
        try:
            evacuated = await self._evacuations.list_all()
        except platform.StoreError as error:
            await _abort(context, error)
        return operator_pb2.ListEvacuationsReply(
            evacuations=map(messages.evacuation_message, evacuated)
        )

    async def _change(
        self, request: typing.Any, context: grpc.aio.ServicerContext
    ) -> operator_pb2.ChangeReply:
        try:
            change = messages.change_from_request(
                request, _client_common_name(context)
            )
        except findings.FindingsError as error:
            return messages.reply_message(outcomes.Refused(error.findings))
        return await self._execute(change, self._editor)

    async def _change_upstream(
        self,
        change_type: type[changes.DrainUpstream | changes.RemoveUpstream],
        request: operator_pb2.UpstreamRequest,
        context: grpc.aio.ServicerContext,
    ) -> operator_pb2.ChangeReply:
        target = request.target
        change = change_type(
            name=target.name,
            expected_version=target.expected_version,
            requested_by=_client_common_name(context) or target.requested_by,
            upstream_id=model.UpstreamId(request.upstream_id),
        )
        return await self._execute(change, self._editor)

    async def _change_evacuation(
        self,
        change_type: type[
            changes.EvacuateDataCentre | changes.TakeBackDataCentre
        ],
        request: operator_pb2.EvacuationRequest,
        context: grpc.aio.ServicerContext,
    ) -> operator_pb2.ChangeReply:
        target = request.target
        change = change_type(
            name=target.name,
            expected_version=target.expected_version,
            requested_by=_client_common_name(context) or target.requested_by,
        )
        return await self._execute(change, self._evacuation_editor)

    async def _execute(
        self,
        change: changes.Change,
        editor: editors.ServiceEditor | evacuations.EvacuationEditor,
    ) -> operator_pb2.ChangeReply:
        outcome = await editor.execute(change)
        names = (type(change).__name__, type(outcome).__name__)
        self._count_outcome(*names)
        _LOG.info(
            '%s by %s: %s',
            names[0],
            change.requested_by or 'unnamed',
            names[1],
            extra={
                _LOG_FIELDS_BY_KIND[type(editor)]: change.name,
                'version': getattr(outcome, 'version', None),
            },
        )
        return messages.reply_message(outcome)


def _client_common_name(context: grpc.aio.ServicerContext) -> str:
    """Return the common name of the client certificate.

    Empty if the client is not authenticated or its certificate has no name.
    """
    names = context.auth_context().get(_COMMON_NAME_PROPERTY, ())
    return b''.join(names[:1]).decode(errors='replace')


def _event_message(event: platform.WatchEvent) -> operator_pb2.ServiceEvent:
    stored = event.stored
    message = operator_pb2.ServiceEvent(
        version=event.version, name=stored.name
    )
    if event.event_type is platform.EventType.PUT:
        document = documents.parse_service(stored.name, stored.value)
        if document.phase is documents.ServicePhase.ACTIVE:
            message.service.CopyFrom(
                messages.service_message(document, event.version)
            )
    return message


async def _abort(
    context: grpc.aio.ServicerContext, error: Exception
) -> typing.NoReturn:
    if isinstance(error, findings.FindingsError):
        text = '; '.join(str(finding) for finding in error.findings)
        await context.abort(grpc.StatusCode.DATA_LOSS, text)
    await context.abort(grpc.StatusCode.UNAVAILABLE, str(error))
    raise AssertionError('abort always raises')
