"""Changes that operators can request, and their effect on a service."""

import collections.abc
import dataclasses
import functools
import typing

from acaciamoor import model
from acaciamoor.model import documents


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """Base class of changes to one service or data centre.

    Parameters
    ----------
    name : str
        Name of the service or data centre.
    requested_by : str
        Who requests the change.
    expected_version : int
        Version that the change replaces; 0 for the current version.
    """

    name: str
    requested_by: str = ''
    expected_version: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CreateService(Change):
    """Create a service; the operator API allocates its identifier."""

    document: documents.ServiceDocument


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChangePolicy(Change):
    """Set some fields of the policy of a service."""

    fields: collections.abc.Mapping[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AddUpstream(Change):
    """Add an upstream to a service."""

    upstream: model.Upstream


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DrainUpstream(Change):
    """Drain an upstream: stop sending it new work."""

    upstream_id: model.UpstreamId


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RemoveUpstream(Change):
    """Remove a draining upstream from a service."""

    upstream_id: model.UpstreamId


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DeleteService(Change):
    """Delete a service and its upstreams."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EvacuateDataCentre(Change):
    """Send no new work to the upstreams of a data centre."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TakeBackDataCentre(Change):
    """End the evacuation of a data centre."""


@functools.singledispatch
def apply(change: Change, service: model.Service) -> model.Service:
    """Return `service` with `change` applied.

    Raises
    ------
    FindingsError
        If the change is not valid for the service.
    """
    raise TypeError(
        f'{type(change).__name__} cannot be applied to an existing service'
    )


@apply.register
def _apply_policy(
    change: ChangePolicy, service: model.Service
) -> model.Service:
    current = documents.PolicyDocument.of(service.policy)
    document = documents.parse(
        documents.PolicyDocument,
        f'{documents.SERVICE_KIND}.{change.name}.policy',
        documents.to_json(current) | dict(change.fields),
    )
    return service.with_policy(document.to_policy())


@apply.register
def _apply_add(change: AddUpstream, service: model.Service) -> model.Service:
    return service.add_upstream(change.upstream)


@apply.register
def _apply_drain(
    change: DrainUpstream, service: model.Service
) -> model.Service:
    return service.drain_upstream(change.upstream_id)


@apply.register
def _apply_remove(
    change: RemoveUpstream, service: model.Service
) -> model.Service:
    return service.remove_upstream(change.upstream_id)


@functools.singledispatch
def is_retryable(change: Change) -> bool:
    """Return whether `change` may be retried after a conflict.

    Only changes to single upstreams and evacuations are retried, because they
    have the same effect whichever other changes precede them, and only if the
    operator named no expected version. A data centre that somebody else has
    just evacuated again is not taken back.
    """
    return False


@is_retryable.register(AddUpstream)
@is_retryable.register(DrainUpstream)
@is_retryable.register(RemoveUpstream)
@is_retryable.register(EvacuateDataCentre)
def _is_repeated_effect_the_same(change: Change) -> bool:
    return change.expected_version == 0
