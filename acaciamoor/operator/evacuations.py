"""Execution of evacuations of data centres by conditional writes."""

import functools
import logging

from acaciamoor import clock as clocks
from acaciamoor import findings
from acaciamoor import model
from acaciamoor.model import documents
from acaciamoor.operator import changes
from acaciamoor.operator import editor
from acaciamoor.operator import outcomes
from acaciamoor.operator import repository
import acaciamoor.platform as platform

_LOG = logging.getLogger(__name__)
# A fleet has thousands of services; some of them show what is wrong.
_MAX_NOTICES = 20


class EvacuationEditor:
    """Evacuates data centres and takes them back.

    Both changes are idempotent. The creation or deletion of the object named
    after the data centre is the only write, so it alone decides the outcome.

    Parameters
    ----------
    store : ObjectStore
        Object store of the platform.
    clock : Clock
        Source of the timestamps of evacuations.
    """

    def __init__(
        self, store: platform.ObjectStore, clock: clocks.Clock
    ) -> None:
        self._clock = clock
        self._evacuations = repository.EvacuationRepository(store)
        self._services = repository.ServiceRepository(store)

    async def execute(self, change: changes.Change) -> outcomes.Outcome:
        """Execute `change` and return its outcome.

        A retryable change that conflicts with other changes is attempted up
        to `editor.MAX_ATTEMPTS` times.
        """
        if not documents.is_name(change.name):
            return outcomes.refused(
                _place(change.name), 'is not the name of a data centre'
            )
        for _ in range(editor.MAX_ATTEMPTS):
            outcome = await self._execute_once(change)
            conflicted = isinstance(outcome, outcomes.Conflicted)
            if not conflicted or not changes.is_retryable(change):
                break
        return outcome

    async def _execute_once(self, change: changes.Change) -> outcomes.Outcome:
        try:
            current = await self._evacuations.find(change.name)
            if change.expected_version:
                if current is None:
                    return outcomes.refused(
                        _place(change.name), 'is not evacuated'
                    )
                if change.expected_version != current.version:
                    return outcomes.Conflicted(
                        current.version, current.document.written_by
                    )
            return await self._apply(change, current)
        except platform.OutcomeUnknown as error:
            return outcomes.Unknown(str(error))
        except platform.Conflict as error:
            return outcomes.from_conflict(error)
        except platform.StoreError as error:
            return outcomes.from_store_error(error)

    @functools.singledispatchmethod
    async def _apply(
        self,
        change: changes.Change,
        current: repository.StoredEvacuation | None,
    ) -> outcomes.Outcome:
        raise TypeError(
            f'{type(change).__name__} does not concern a data centre'
        )

    @_apply.register
    async def _evacuate(
        self,
        change: changes.EvacuateDataCentre,
        current: repository.StoredEvacuation | None,
    ) -> outcomes.Outcome:
        if current is None:
            document = documents.EvacuationDocument(
                written_by=change.requested_by, written_at=self._clock.now()
            )
            current = await self._evacuations.create(change.name, document)
        # Read after the write, because an evacuation must not wait for a
        # large listing or fail with it.
        return outcomes.Accepted(
            current.version, notices=await self._find_notices(change.name)
        )

    @_apply.register
    async def _take_back(
        self,
        change: changes.TakeBackDataCentre,
        current: repository.StoredEvacuation | None,
    ) -> outcomes.Outcome:
        if current is not None:
            await self._evacuations.delete(current)
        try:
            version = await self._evacuations.collection_version()
        except platform.StoreError as error:
            # A deletion has no version of its own in the reply of the store.
            _LOG.warning('the version after a deletion is unknown: %s', error)
            version = 0
        return outcomes.Accepted(version)

    async def _find_notices(
        self, data_centre: str
    ) -> tuple[findings.Finding, ...]:
        try:
            _, found = await self._services.list_active()
            evacuated = {
                item.data_centre for item in await self._evacuations.list_all()
            }
        except (platform.StoreError, findings.FindingsError) as error:
            message = f'the services cannot be read: {error}'
            return (findings.Finding(_place(data_centre), message),)
        upstreams_by_service = {
            item.document.name: item.document.upstreams_by_id.values()
            for item in found
        }
        if not any(
            upstream.data_centre == data_centre
            for upstreams in upstreams_by_service.values()
            for upstream in upstreams
        ):
            message = 'no service has upstreams in this data centre'
            return (findings.Finding(_place(data_centre), message),)
        return tuple(
            findings.Finding(
                f'{documents.SERVICE_KIND}.{name}',
                'takes no new work: all its data centres are evacuated',
            )
            for name, upstreams in sorted(upstreams_by_service.items())
            if all(
                upstream.data_centre in evacuated
                for upstream in upstreams
                if upstream.state is model.UpstreamState.ACTIVE
            )
        )[:_MAX_NOTICES]


def _place(data_centre: str | model.DataCentre) -> str:
    return f'{documents.EVACUATION_KIND}.{data_centre}'
