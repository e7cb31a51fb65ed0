"""Present state of a balancer core, for its metrics."""

import collections.abc
import enum
import typing

Values = dict[str, float]


class Gauge(enum.Enum):
    """A value that goes up and down, with the label that divides it."""

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


class Readable(typing.Protocol):
    """What gauges are read from: a balancer core."""

    settings: typing.Any
    control: typing.Any
    work: typing.Any


def read_gauge(core: Readable, gauge: Gauge) -> Values:
    """Return the values of `gauge` by label; the label may be empty."""
    return _READERS_BY_GAUGE[gauge](core)


def _member(read: collections.abc.Callable) -> collections.abc.Callable:
    def reader(core: Readable) -> Values:
        members = core.control.members
        return {} if members is None else {'': float(read(members))}

    return reader


def _view_age(core: Readable) -> Values:
    age = core.control.store.digest().confirmed_age
    return {'': -1.0 if age is None else age.total_seconds()}


def _ejected(core: Readable) -> Values:
    return {
        core.control.name_of(service_id): float(count)
        for service_id, count in core.control.board.ejected().items()
    }


def _draining(core: Readable) -> Values:
    return {
        service.name: float(
            sum(
                not upstream.takes_new_work
                for upstream in service.upstreams_in(core.settings.data_centre)
            )
        )
        for service in core.control.store.services_by_id.values()
    }


_READERS_BY_GAUGE = {
    Gauge.LIVE_HOSTS: _member(lambda members: len(members.live)),
    Gauge.LEAVING_HOSTS: _member(lambda members: len(members.leaving)),
    Gauge.QUORUM: _member(lambda members: members.quorum),
    Gauge.FRESH: _member(lambda members: members.fresh),
    Gauge.VIEW_VERSION: lambda core: {'': core.control.store.version},
    Gauge.VIEW_AGE: _view_age,
    Gauge.VERSION_IN_FORCE: lambda core: {
        '': core.control.store.version_in_force()
    },
    Gauge.RECORDED_FLOWS: lambda core: {
        '': core.control.router.recorded_flows
    },
    Gauge.RECORD_BYTES: lambda core: {'': core.control.router.record_bytes},
    Gauge.RETAINED_VIEWS: lambda core: {
        '': len(core.control.router.retained_views())
    },
    Gauge.QUEUED: lambda core: {'': core.work.placers.queued},
    Gauge.BOUND: lambda core: {'': core.work.placers.bound},
    Gauge.DRAINING: _draining,
    Gauge.EJECTED: _ejected,
}
