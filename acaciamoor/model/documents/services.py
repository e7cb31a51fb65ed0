"""Document of a service."""

import collections.abc
import datetime
import enum
import typing

import pydantic

from acaciamoor import findings
from acaciamoor import model
import acaciamoor.model.claim as claims
from acaciamoor.model.documents import checks
from acaciamoor.model.documents import policies
from acaciamoor.model.documents import upstreams as upstream_documents

SERVICE_KIND = 'services'
MAX_SERVICE_ID = 2**32 - 1
JsonObject = collections.abc.Mapping[str, typing.Any]


class ServicePhase(enum.Enum):
    """Life cycle phase of a service; only an active service is in force.

    A deleted service is kept as a tombstone. Its deletion then has a version
    like any other change, and a host that missed it cannot restore the
    service.
    """

    PENDING = 'pending'
    ACTIVE = 'active'
    DELETED = 'deleted'


class ServiceDocument(checks.Document):
    """Stored form of `Service`, with its phase and last writer."""

    service_id: int = pydantic.Field(ge=1, le=MAX_SERVICE_ID)
    name: checks.Name
    address: checks.AddressText
    upstreams_by_id: dict[
        checks.Name, upstream_documents.UpstreamDocument
    ] = {}
    policy: policies.PolicyDocument = policies.PolicyDocument()
    phase: ServicePhase = ServicePhase.ACTIVE
    written_by: str = pydantic.Field('', max_length=200)
    written_at: pydantic.AwareDatetime | None = None
    # Set in the tombstone of a service that was in force. Its name cannot be
    # reused until every data centre has removed the service.
    was_in_force: bool = False

    @classmethod
    def of(
        cls,
        service: model.Service,
        written_by: str = '',
        written_at: datetime.datetime | None = None,
    ) -> 'ServiceDocument':
        """Return the document of an active service."""
        return cls(
            service_id=service.service_id,
            name=service.name,
            address=str(service.address),
            upstreams_by_id={
                upstream_id: upstream_documents.UpstreamDocument.of(upstream)
                for upstream_id, upstream in service.upstreams_by_id.items()
            },
            policy=policies.PolicyDocument.of(service.policy),
            written_by=written_by,
            written_at=written_at,
        )

    def to_service(self, version: int) -> model.Service | None:
        """Return the service as stored at `version`.

        None if the service is not active: callers and balancers treat it as
        absent from this version on.

        Raises
        ------
        FindingsError
            If the service violates an invariant of the aggregate.
        """
        if self.phase is not ServicePhase.ACTIVE:
            return None
        return model.Service(
            service_id=model.ServiceId(self.service_id),
            name=self.name,
            address=model.Address.parse(self.address),
            upstreams_by_id={
                model.UpstreamId(key): document.to_upstream(key)
                for key, document in self.upstreams_by_id.items()
            },
            version=version,
            policy=self.policy.to_policy(),
        )

    def addresses(self) -> frozenset[model.Address]:
        """Return the service address and all upstream addresses."""
        texts = [self.address]
        texts.extend(item.address for item in self.upstreams_by_id.values())
        return frozenset(model.Address.parse(text) for text in texts)

    def with_phase(
        self,
        phase: ServicePhase,
        written_by: str,
        written_at: datetime.datetime | None = None,
    ) -> 'ServiceDocument':
        """Return the document in another phase; a tombstone has no upstreams.

        Examples
        --------
        >>> document = ServiceDocument(
        ...     service_id=1, name='desk', address='127.0.0.1:80'
        ... )
        >>> document.with_phase(ServicePhase.DELETED, 'ann').phase.value
        'deleted'
        """
        changes: dict[str, object] = {
            'phase': phase,
            'written_by': written_by,
            'written_at': written_at,
        }
        if phase is ServicePhase.DELETED:
            changes['upstreams_by_id'] = {}
            changes['was_in_force'] = (
                self.was_in_force or self.phase is ServicePhase.ACTIVE
            )
        return self.model_copy(update=changes)


def parse_service(name: str, value: JsonObject) -> ServiceDocument:
    """Parse and validate a service document.

    Raises
    ------
    FindingsError
        With all findings on single fields and on the whole service, each
        with its path below ``services.NAME``.
    """
    place = f'{SERVICE_KIND}.{name}'
    problems = list(_service_findings(place, value))
    if value.get('name', name) != name:
        problems.append(findings.Finding(f'{place}.name', f'must be {name!r}'))
    return checks.parse(ServiceDocument, place, value, problems)


def _service_findings(
    place: str, value: JsonObject
) -> collections.abc.Iterator[findings.Finding]:
    # Uses the raw value, so that an invalid field does not hide violated
    # invariants of the whole service.
    if value.get('phase') == ServicePhase.DELETED.value:
        return
    upstreams_by_id = value.get('upstreams_by_id') or {}
    if not isinstance(upstreams_by_id, collections.abc.Mapping):
        return
    items = {
        str(key): item
        for key, item in upstreams_by_id.items()
        if isinstance(item, collections.abc.Mapping)
    }
    draining = model.UpstreamState.DRAINING.value
    if not any(item.get('state') != draining for item in items.values()):
        yield findings.Finding(
            f'{place}.upstreams_by_id', 'no upstream is active'
        )
    yield from _address_findings(place, value.get('address'), items)


def _address_findings(
    place: str, service_address: object, items: dict[str, JsonObject]
) -> collections.abc.Iterator[findings.Finding]:
    users_by_address = {
        _canonical_address(service_address): 'the service itself'
    }
    for key, item in sorted(items.items()):
        address = _canonical_address(item.get('address'))
        first = users_by_address.setdefault(address, key)
        if address and first != key:
            yield findings.Finding(
                f'{place}.upstreams_by_id.{key}.address',
                f'{item["address"]} is already in use by {first}',
            )


def _canonical_address(text: object) -> str:
    try:
        return claims.claim_name(model.Address.parse(str(text)))
    except ValueError:
        return ''
