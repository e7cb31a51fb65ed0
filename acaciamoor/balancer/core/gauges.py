"""Gauges that are read from the state of a balancer core."""

import collections.abc
import enum
import typing

Values = dict[str, float]


class Gauge(enum.Enum):
    """A gauge metric: name, name of its label, and description."""

    LIVE_HOSTS = ('live_hosts', '', 'Hosts that may own flows and lead.')
    LEAVING_HOSTS = ('leaving_hosts', '', 'Hosts that only forward.')
    QUORUM = ('quorum', '', '1 with a quorum of the listed hosts, else 0.')
    FRESH = ('fresh', '', '1 if this host may route by default, else 0.')
    VIEW_VERSION = ('view_version', '', 'Collection version that is known.')
    VIEW_AGE = (
        'view_age_seconds',
        '',
        'Time since a relay confirmed the version; -1 if long ago.',
    )
    VERSION_IN_FORCE = (
        'version_in_force',
        '',
        'Collection version that is in force.',
    )
    EVACUATED = ('evacuated', '', '1 while the data centre is evacuated.')
    RECORDED_FLOWS = ('recorded_flows', '', 'Flows with a record here.')
    RECORD_BYTES = ('record_bytes', '', 'Memory of the records.')
    RETAINED_VIEWS = ('retained_views', '', 'Views that packets may need.')
    QUEUED = ('queued_requests', '', 'Requests that wait for a slot here.')
    BOUND = ('bound_requests', '', 'Requests that an upstream may run.')
    DRAINING = (
        'draining_upstreams',
        'service',
        'Upstreams of the data centre that are draining.',
    )
    EJECTED = ('ejected_upstreams', 'service', 'Upstreams without new flows.')

    def __init__(self, title: str, label: str, description: str) -> None:
        self.title = title
        self.label = label
        self.description = description


class CoreState(typing.Protocol):
    """Parts of a balancer core that gauges are read from."""

    settings: typing.Any
    control_plane: typing.Any
    request_path: typing.Any


def read_gauge(core: CoreState, gauge: Gauge) -> Values:
    """Return the values of `gauge` by label value, empty without a label."""
    return _READERS_BY_GAUGE[gauge](core)


def _members_reader(
    read: collections.abc.Callable,
) -> collections.abc.Callable:
    def reader(core: CoreState) -> Values:
        members = core.control_plane.members
        return {} if members is None else {'': float(read(members))}

    return reader


def _view_age(core: CoreState) -> Values:
    age = core.control_plane.store.digest().confirmed_age
    return {'': -1.0 if age is None else age.total_seconds()}


def _ejected(core: CoreState) -> Values:
    return {
        core.control_plane.name_of(service_id): float(count)
        for service_id, count in (
            core.control_plane.health_table.ejected_counts().items()
        )
    }


def _draining(core: CoreState) -> Values:
    return {
        service.name: float(
            sum(
                not upstream.takes_new_work
                for upstream in service.upstreams_in(core.settings.data_centre)
            )
        )
        for service in core.control_plane.store.services_by_id.values()
    }


_READERS_BY_GAUGE = {
    Gauge.LIVE_HOSTS: _members_reader(lambda members: len(members.live)),
    Gauge.LEAVING_HOSTS: _members_reader(lambda members: len(members.leaving)),
    Gauge.QUORUM: _members_reader(lambda members: members.quorum),
    Gauge.FRESH: _members_reader(lambda members: members.fresh),
    Gauge.VIEW_VERSION: lambda core: {'': core.control_plane.store.version},
    Gauge.VIEW_AGE: _view_age,
    Gauge.VERSION_IN_FORCE: lambda core: {
        '': core.control_plane.store.version_in_force()
    },
    Gauge.EVACUATED: lambda core: {'': float(core.control_plane.evacuated)},
    Gauge.RECORDED_FLOWS: lambda core: {
        '': core.control_plane.router.recorded_flows
    },
    Gauge.RECORD_BYTES: lambda core: {
        '': core.control_plane.router.record_bytes
    },
    Gauge.RETAINED_VIEWS: lambda core: {
        '': len(core.control_plane.router.retained_views())
    },
    Gauge.QUEUED: lambda core: {'': core.request_path.placers.queued},
    Gauge.BOUND: lambda core: {'': core.request_path.placers.bound},
    Gauge.DRAINING: _draining,
    Gauge.EJECTED: _ejected,
}
