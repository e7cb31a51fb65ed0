"""Immutable service aggregate, which validates every change."""

import collections.abc
import dataclasses
import types
import typing

from acaciamoor import findings
from acaciamoor.model import address as addresses
from acaciamoor.model import identifiers
from acaciamoor.model import policy as policies
from acaciamoor.model import upstream as upstreams

UpstreamsById = collections.abc.Mapping[
    identifiers.UpstreamId, upstreams.Upstream
]


def _read_only(mapping: UpstreamsById) -> UpstreamsById:
    return types.MappingProxyType(dict(mapping))


@dataclasses.dataclass(frozen=True)
class Service:
    """Service with its upstreams and policy.

    The aggregate has these invariants: at least one upstream takes new work,
    and no two upstreams share an address. Only a draining upstream can be
    removed.

    Parameters
    ----------
    service_id : ServiceId
        Identifier that datagrams carry.
    name : str
        Name that operators use.
    address : Address
        Address to which callers send datagrams.
    version : int
        Version assigned by the platform; 0 before the first write. Versions
        of all services are taken from one increasing sequence.
    upstreams_by_id : Mapping
        Upstreams in all data centres.
    policy : Policy
        Limits for new requests and flows.

    Raises
    ------
    FindingsError
        With a finding for every violated invariant and its place.
    """

    service_id: identifiers.ServiceId
    name: str
    address: addresses.Address
    upstreams_by_id: UpstreamsById
    version: int = 0
    policy: policies.Policy = dataclasses.field(
        default_factory=policies.Policy
    )

    def __post_init__(self) -> None:
        object.__setattr__(
            self, 'upstreams_by_id', _read_only(self.upstreams_by_id)
        )
        problems = list(self._violations())
        if problems:
            raise findings.FindingsError.of(
                f'service {self.name!r} is not valid', problems
            )

    def upstreams_in(
        self, data_centre: identifiers.DataCentre
    ) -> tuple[upstreams.Upstream, ...]:
        """Return the upstreams of `data_centre`, sorted by identifier."""
        return tuple(
            upstream
            for _, upstream in sorted(self.upstreams_by_id.items())
            if upstream.data_centre == data_centre
        )

    def add_upstream(self, upstream: upstreams.Upstream) -> 'Service':
        """Return the service with `upstream` added.

        Raises
        ------
        FindingsError
            If the identifier or the address is already in use.
        """
        if upstream.upstream_id in self.upstreams_by_id:
            raise self._change_error(upstream.upstream_id, 'already exists')
        return self._with_upstream(upstream)

    def drain_upstream(self, upstream_id: identifiers.UpstreamId) -> 'Service':
        """Return the service with the upstream set to draining.

        Raises
        ------
        FindingsError
            If the upstream does not exist or is the last active one.
        """
        drained = dataclasses.replace(
            self._get_upstream(upstream_id),
            state=upstreams.UpstreamState.DRAINING,
        )
        return self._with_upstream(drained)

    def remove_upstream(
        self, upstream_id: identifiers.UpstreamId
    ) -> 'Service':
        """Return the service without a draining upstream.

        Raises
        ------
        FindingsError
            If the upstream does not exist or still takes new work.
        """
        if self._get_upstream(upstream_id).takes_new_work:
            raise self._change_error(
                upstream_id, 'must be drained before removal'
            )
        remaining = dict(self.upstreams_by_id)
        del remaining[upstream_id]
        return dataclasses.replace(self, upstreams_by_id=remaining)

    def with_policy(self, policy: policies.Policy) -> 'Service':
        """Return the service with another policy."""
        return dataclasses.replace(self, policy=policy)

    def at_version(self, version: int) -> 'Service':
        """Return the service as stored at `version`."""
        return dataclasses.replace(self, version=version)

    def _with_upstream(self, upstream: upstreams.Upstream) -> 'Service':
        changed = dict(self.upstreams_by_id)
        changed[upstream.upstream_id] = upstream
        return dataclasses.replace(self, upstreams_by_id=changed)

    def _get_upstream(
        self, upstream_id: identifiers.UpstreamId
    ) -> upstreams.Upstream:
        if upstream_id not in self.upstreams_by_id:
            raise self._change_error(upstream_id, 'does not exist')
        return self.upstreams_by_id[upstream_id]

    def _change_error(
        self, upstream_id: identifiers.UpstreamId, message: str
    ) -> findings.FindingsError:
        place = f'{self.name}.upstreams_by_id.{upstream_id}'
        return findings.FindingsError.of(
            f'service {self.name!r} cannot be changed',
            [findings.Finding(place, message)],
        )

    def _violations(self) -> typing.Iterator[findings.Finding]:
        place = f'{self.name}.upstreams_by_id'
        if not any(
            upstream.takes_new_work
            for upstream in self.upstreams_by_id.values()
        ):
            yield findings.Finding(place, 'no upstream is active')
        owners_by_address: dict[addresses.Address, identifiers.UpstreamId] = {}
        for upstream_id, upstream in sorted(self.upstreams_by_id.items()):
            first = owners_by_address.setdefault(upstream.address, upstream_id)
            if first != upstream_id:
                yield findings.Finding(
                    f'{place}.{upstream_id}.address',
                    f'{upstream.address} is already in use by {first}',
                )
