"""Checks of the services of a configuration, one by one and together."""

import collections.abc
import functools
import math

from acaciamoor import findings
from acaciamoor import model
from acaciamoor.configuration_check import differences
from acaciamoor.configuration_check import reader
from acaciamoor.configuration_check import report
from acaciamoor.model import claim as claims
from acaciamoor.model import documents

Found = collections.abc.Iterator[findings.Finding]
Documents = collections.abc.Sequence[documents.ServiceDocument]


@functools.singledispatch
def check(
    configuration: object, in_force: object | None = None
) -> report.Report:
    """Check `configuration` and compare it with the version in force.

    Parameters
    ----------
    configuration : Configuration or RouteConfiguration
        The configuration to send.
    in_force : Configuration or RouteConfiguration or None
        Version in force, of the same type; None for no comparison. Its damage
        is reported as errors whose places begin with ``against``. Files that
        cannot be read completely are not compared.
    """
    raise TypeError(f'cannot check a {type(configuration).__name__}')


@check.register
def _check_services(
    configuration: reader.Configuration,
    in_force: reader.Configuration | None = None,
) -> report.Report:
    items = [
        item
        for item in configuration.services
        if item.phase is not documents.ServicePhase.DELETED
    ]
    errors = [*configuration.errors, *_shared_identifiers(items)]
    never_matched = [
        *configuration.hidden,
        *_shared_names(configuration.services),
        *_shared_addresses(items),
    ]
    contradictions: list[findings.Finding] = []
    for item in items:
        never_matched.extend(_without_work(item))
        contradictions.extend(_contradictions(item))
    found: tuple[differences.Difference, ...] = ()
    if in_force is not None:
        errors.extend(
            report.damage_in_force(*in_force.errors, *in_force.hidden)
        )
    # An invalid service would appear to be deleted.
    if in_force is not None and not (configuration.errors or in_force.errors):
        before = in_force.services
        errors.extend(differences.refused_changes(before, items))
        found = tuple(differences.compare(before, items))
    return report.Report(
        tuple(sorted(errors)),
        tuple(sorted(never_matched)),
        tuple(sorted(contradictions)),
        found,
    )


def _shared_identifiers(items: Documents) -> Found:
    names_by_id: dict[int, str] = {}
    for item in items:
        first = names_by_id.setdefault(item.service_id, item.name)
        if first != item.name:
            yield findings.Finding(
                f'{_place(item)}.service_id',
                f'{item.service_id} is already in use by {first}',
            )


def _shared_names(items: Documents) -> Found:
    names = set()
    for item in items:
        if item.name in names:
            yield findings.Finding(
                _place(item),
                'is hidden by a later service of the same name',
            )
        names.add(item.name)


def _shared_addresses(items: Documents) -> Found:
    users_by_claim: dict[str, str] = {}
    for item in items:
        for address in sorted(item.addresses()):
            first = users_by_claim.setdefault(
                claims.claim_name(address), item.name
            )
            if first != item.name:
                yield findings.Finding(
                    _place(item),
                    f'address {address} is already in use by {first}',
                )


def _without_work(item: documents.ServiceDocument) -> Found:
    if item.phase is not documents.ServicePhase.ACTIVE:
        yield findings.Finding(
            f'{_place(item)}.phase',
            f'a service that is {item.phase.value} gets no work',
        )
    names = {
        upstream.data_centre for upstream in item.upstreams_by_id.values()
    }
    for name in sorted(names - _active_by_data_centre(item).keys()):
        yield findings.Finding(
            f'{_place(item)}.upstreams_by_id',
            f'all upstreams in {name} are draining',
        )


def _contradictions(item: documents.ServiceDocument) -> Found:
    place = f'{_place(item)}.policy'
    policy = item.policy
    for name, upstreams in sorted(_active_by_data_centre(item).items()):
        slots = sum(upstream.slots for upstream in upstreams)
        # A single slot is shared by both kinds of requests on purpose.
        if slots > 1 and policy.long_share * slots < 1:
            yield findings.Finding(
                f'{place}.long_share',
                f'{policy.long_share:g} of the {slots} slots in {name} is '
                'less than one slot, but one long request may always run',
            )
        count = len(upstreams)
        # A floor of 1 turns ejections off, and the only upstream is never
        # ejected.
        if (
            count > 1
            and policy.ejection_floor < 1
            and math.ceil(policy.ejection_floor * count) == count
        ):
            yield findings.Finding(
                f'{place}.ejection_floor',
                f'{policy.ejection_floor:g} of the {count} upstreams in '
                f'{name} is all of them, so that none can be ejected',
            )


def _active_by_data_centre(
    item: documents.ServiceDocument,
) -> dict[str, list[documents.UpstreamDocument]]:
    active: dict[str, list[documents.UpstreamDocument]] = {}
    for upstream in item.upstreams_by_id.values():
        if upstream.state is model.UpstreamState.ACTIVE:
            active.setdefault(upstream.data_centre, []).append(upstream)
    return active


def _place(item: documents.ServiceDocument) -> str:
    return f'{documents.SERVICE_KIND}.{item.name}'
