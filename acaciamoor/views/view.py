"""View of the upstreams of a service in one data centre."""

import dataclasses

from acaciamoor import model


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class ViewVersion:
    """Version of a view: configuration, then health, then evacuation.

    Parameters
    ----------
    configuration : int
        Version of the service in the platform.
    health : int
        Version of the health state of its upstreams in this data centre.
    evacuation : int
        Version of the last evacuation of this data centre, or of its end; 0
        before the first one.
    """

    configuration: int
    health: int = 0
    evacuation: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceView:
    """Upstreams of a service in one data centre at one version.

    Parameters
    ----------
    service_id : ServiceId
        The service.
    version : ViewVersion
        Versions of what the view is built from.
    upstreams : tuple of Upstream
        All existing upstreams, including draining ones, sorted by identifier.
    unhealthy : frozenset of UpstreamId
        Upstreams that receive no new flows but keep their open flows.
    lost : frozenset of UpstreamId
        Dead upstreams, whose open flows are refused.
    evacuated : bool
        Whether the data centre is evacuated: no upstream gets new flows, and
        open flows stay.
    """

    service_id: model.ServiceId
    version: ViewVersion
    upstreams: tuple[model.Upstream, ...]
    unhealthy: frozenset[model.UpstreamId] = frozenset()
    lost: frozenset[model.UpstreamId] = frozenset()
    evacuated: bool = False

    @classmethod
    def of(
        cls,
        service: model.Service,
        data_centre: model.DataCentre,
        health: int = 0,
        unhealthy: frozenset[model.UpstreamId] = frozenset(),
        lost: frozenset[model.UpstreamId] = frozenset(),
        evacuation: int = 0,
        evacuated: bool = False,
    ) -> 'ServiceView':
        """Return the view of `service` for the hosts of `data_centre`."""
        return cls(
            service.service_id,
            ViewVersion(service.version, health, evacuation),
            service.upstreams_in(data_centre),
            unhealthy,
            lost,
            evacuated,
        )

    @property
    def candidates(self) -> tuple[model.Upstream, ...]:
        """Upstreams that are eligible for new flows."""
        if self.evacuated:
            return ()
        excluded = self.unhealthy | self.lost
        return tuple(
            upstream
            for upstream in self.upstreams
            if upstream.takes_new_work
            and upstream.weight > 0.0
            and upstream.upstream_id not in excluded
        )
