"""Differences between a configuration and the version in force."""

import collections.abc
import typing

import msgspec

from acaciamoor import findings
from acaciamoor import model
from acaciamoor.model import documents
from acaciamoor.operator import changes

Documents = collections.abc.Iterable[documents.ServiceDocument]
# The operator API sets these fields with each write.
_WRITTEN_FIELDS = frozenset({'written_by', 'written_at', 'was_in_force'})


class Difference(msgspec.Struct, frozen=True, order=True):
    """Different values at one place; None where a side has no value."""

    place: str
    before: typing.Any
    after: typing.Any


def compare(
    in_force: Documents, wanted: Documents
) -> collections.abc.Iterator[Difference]:
    """Yield the differences between the active services of two versions."""
    before_by_name, after_by_name = _by_name(in_force), _by_name(wanted)
    for name in sorted(before_by_name.keys() | after_by_name.keys()):
        yield from compare_values(
            f'{documents.SERVICE_KIND}.{name}',
            _to_value(before_by_name.get(name)),
            _to_value(after_by_name.get(name)),
        )


def refused_changes(
    in_force: Documents, wanted: Documents
) -> collections.abc.Iterator[findings.Finding]:
    """Yield the findings of changes that the operator API would refuse.

    The changes are applied to the version in force, in an order in which an
    upstream may take over the address of a removed one.
    """
    wanted_by_name = _by_name(wanted)
    for name, document in sorted(_by_name(in_force).items()):
        target = wanted_by_name.get(name)
        if target is None:
            continue
        service = document.to_service(0)
        for change in _changes(document, target):
            try:
                service = changes.apply(change, service)
            except findings.FindingsError as error:
                yield from error.findings
        yield from _unsupported_changes(document, target)


def _changes(
    before: documents.ServiceDocument, after: documents.ServiceDocument
) -> collections.abc.Iterator[changes.Change]:
    name = before.name
    if before.policy != after.policy:
        yield changes.ChangePolicy(
            name=name, fields=documents.to_json(after.policy)
        )
    old, new = before.upstreams_by_id, after.upstreams_by_id
    for key in sorted(old.keys() - new.keys()):
        yield changes.RemoveUpstream(
            name=name, upstream_id=model.UpstreamId(key)
        )
    for key in sorted(new.keys() - old.keys()):
        yield changes.AddUpstream(
            name=name, upstream=new[key].to_upstream(key)
        )
    for key in sorted(old.keys() & new.keys()):
        if _is_drained(old[key], new[key]):
            yield changes.DrainUpstream(
                name=name, upstream_id=model.UpstreamId(key)
            )


def _unsupported_changes(
    before: documents.ServiceDocument, after: documents.ServiceDocument
) -> collections.abc.Iterator[findings.Finding]:
    place = f'{documents.SERVICE_KIND}.{before.name}'
    for field in ('service_id', 'address'):
        if getattr(before, field) != getattr(after, field):
            yield findings.Finding(
                f'{place}.{field}', 'cannot be changed while in force'
            )
    for key, old in sorted(before.upstreams_by_id.items()):
        new = after.upstreams_by_id.get(key, old)
        if _is_drained(old, new):
            new = new.model_copy(update={'state': old.state})
        for difference in compare_values(
            f'{place}.upstreams_by_id.{key}',
            documents.to_json(old),
            documents.to_json(new),
        ):
            yield findings.Finding(
                difference.place,
                'cannot be changed while in force; add another upstream',
            )


def _is_drained(
    before: documents.UpstreamDocument, after: documents.UpstreamDocument
) -> bool:
    draining = model.UpstreamState.DRAINING
    return before.state is not draining and after.state is draining


def _by_name(items: Documents) -> dict[str, documents.ServiceDocument]:
    return {
        item.name: item
        for item in items
        if item.phase is documents.ServicePhase.ACTIVE
    }


def _to_value(document: documents.ServiceDocument | None) -> typing.Any:
    if document is None:
        return None
    value = documents.to_json(document)
    return {
        key: item for key, item in value.items() if key not in _WRITTEN_FIELDS
    }


def compare_values(
    place: str, before: typing.Any, after: typing.Any
) -> collections.abc.Iterator[Difference]:
    """Yield the differences between two values, for objects by field."""
    if isinstance(before, dict) and isinstance(after, dict):
        for key in sorted(before.keys() | after.keys()):
            yield from compare_values(
                f'{place}.{key}' if place else key,
                before.get(key),
                after.get(key),
            )
    elif before != after:
        yield Difference(place, before, after)
