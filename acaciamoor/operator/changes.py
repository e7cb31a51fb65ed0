"""Changes that operators ask for, and what they do to a service."""

import collections.abc
import dataclasses
import functools
import typing

from acaciamoor import model
from acaciamoor.model import documents


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """A change of one service.

    Parameters
    ----------
    name : str
        Name of the service.
    requested_by : str
        Who asks for the change.
    expected_version : int
        Version that the change replaces; 0 stands for the current one.
    """

    name: str
    requested_by: str = ''
    expected_version: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CreateService(Change):
    """Create a service; its identifier is assigned by the operator API."""

    document: documents.ServiceDocument


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChangePolicy(Change):
    """Change the given fields of the rules for new work."""

    fields: collections.abc.Mapping[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AddUpstream(Change):
    """Add an upstream."""

    upstream: model.Upstream


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DrainUpstream(Change):
    """Give no new work to an upstream."""

    upstream_id: model.UpstreamId


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RemoveUpstream(Change):
    """Remove a draining upstream."""

    upstream_id: model.UpstreamId


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DeleteService(Change):
    """Delete a service with its upstreams."""


@functools.singledispatch
def apply(change: Change, service: model.Service) -> model.Service:
    """Return `service` after `change`.

    Raises
    ------
    FindingsError
        If the service does not allow the change.
    """
    raise TypeError(f'{type(change).__name__} does not change a service')


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
def is_repeatable(change: Change) -> bool:
    """Return whether a change that lost a race may be tried again.

    Only a change that means the same on top of any other change is repeated,
    and only if the operator named no version.
    """
    return False


@is_repeatable.register(AddUpstream)
@is_repeatable.register(DrainUpstream)
@is_repeatable.register(RemoveUpstream)
def _is_repeatable_upstream(change: Change) -> bool:
    return change.expected_version == 0
