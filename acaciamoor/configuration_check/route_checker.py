"""Checks of the routes and services of the forwarders."""

import collections.abc
import datetime
import ipaddress
import typing

from acaciamoor import directory
from acaciamoor import findings
from acaciamoor import tokens
from acaciamoor.configuration_check import checker
from acaciamoor.configuration_check import differences
from acaciamoor.configuration_check import report
from acaciamoor.configuration_check import routes

Found = collections.abc.Iterator[findings.Finding]


@checker.check.register
def check_routes(
    configuration: routes.RouteConfiguration,
    in_force: routes.RouteConfiguration | None = None,
) -> report.Report:
    """Check routes and services, and compare them with those in force."""
    table = configuration.to_table()
    errors = list(configuration.errors)
    found: tuple[differences.Difference, ...] = ()
    if in_force is not None:
        errors.extend(
            report.damage_in_force(*in_force.errors, *in_force.hidden)
        )
    # An invalid route would appear to be deleted.
    if in_force is not None and not (configuration.errors or in_force.errors):
        table_in_force = in_force.to_table()
        found = tuple(
            differences.compare_values(
                '', _to_value(table_in_force), _to_value(table)
            )
        )
        if found:
            errors.extend(_version_in_force(table_in_force, table))
    never_matched = [*configuration.hidden, *_hidden_routes(configuration)]
    contradictions = list(configuration.contradictions)
    for route in table.routes_by_address.values():
        contradictions.extend(_contradicting_times(route))
    if configuration.services is not None:
        never_matched.extend(_hidden_services(configuration.services))
        never_matched.extend(_without_partner(table))
    for name, limits in table.limits_by_service.items():
        contradictions.extend(_contradicting_limits(name, limits))
    return report.Report(
        tuple(sorted(errors)),
        tuple(sorted(never_matched)),
        tuple(sorted(contradictions)),
        found,
    )


def _version_in_force(
    in_force: directory.RouteTable, wanted: directory.RouteTable
) -> Found:
    if wanted.version <= in_force.version:
        yield findings.Finding(
            'version',
            f'{wanted.version} is not above {in_force.version}, which is in '
            'force, so that hosts ignore the changes',
        )


def _hidden_routes(configuration: routes.RouteConfiguration) -> Found:
    last_by_address = configuration.to_table().routes_by_address
    for route in configuration.routes:
        last = last_by_address[route.address]
        if route is not last:
            yield findings.Finding(
                _route_place(route.address),
                f'route {route.name!r} is hidden by a later route of the '
                f'same address and port, {last.name!r}',
            )


def _hidden_services(
    services: tuple[tuple[str, directory.ServiceLimits], ...],
) -> Found:
    names = [name for name, _ in services]
    for index, name in enumerate(names):
        if name in names[index + 1 :]:
            yield findings.Finding(
                _service_place(name),
                'is hidden by a later service of the same name',
            )


def _without_partner(table: directory.RouteTable) -> Found:
    routed = set()
    for route in table.routes_by_address.values():
        for name in sorted(route.weights_by_service):
            routed.add(name)
            if name not in table.limits_by_service:
                yield findings.Finding(
                    _route_place(route.address),
                    f'sends flows to {name!r}, which is not a listed service',
                )
    for name in sorted(table.limits_by_service.keys() - routed):
        yield findings.Finding(
            _service_place(name), 'no route sends flows to it'
        )


def _contradicting_times(route: directory.Route) -> Found:
    place = _route_place(route.address)
    if route.timeout <= datetime.timedelta(0):
        yield findings.Finding(
            f'{place}.timeout',
            f'{_seconds(route.timeout)} s leaves no time for a response',
        )
    elif route.response_goal > route.timeout:
        yield findings.Finding(
            f'{place}.response_goal',
            f'{_seconds(route.response_goal)} s is above the timeout of '
            f'{_seconds(route.timeout)} s, after which a response is useless',
        )


def _contradicting_limits(name: str, limits: directory.ServiceLimits) -> Found:
    place = _service_place(name)
    if limits.warm_up_rate and not limits.warm_up:
        yield findings.Finding(
            f'{place}.warm_up_rate',
            f'{limits.warm_up_rate:g} requests a second have no effect, as '
            'upstreams have no time of warm-up',
        )


def _to_value(table: directory.RouteTable) -> typing.Any:
    return {
        'version': table.version,
        'routes': {
            _format(address): _route_value(route)
            for address, route in table.routes_by_address.items()
        },
        'services': {
            name: {
                'max_flows': limits.max_flows,
                'warm_up': _seconds(limits.warm_up),
                'warm_up_rate': limits.warm_up_rate,
            }
            for name, limits in table.limits_by_service.items()
        },
    }


def _route_value(route: directory.Route) -> dict[str, typing.Any]:
    return {
        'name': route.name,
        'weights_by_service': dict(route.weights_by_service),
        'kind': route.kind.value,
        'timeout': _seconds(route.timeout),
        'response_goal': _seconds(route.response_goal),
        'priority': route.priority,
    }


def _seconds(duration: datetime.timedelta) -> float:
    return duration.total_seconds()


def _route_place(address: tokens.ServiceAddress) -> str:
    return f'routes.{_format(address)}'


def _service_place(name: str) -> str:
    return f'services.{name}'


def _format(address: tokens.ServiceAddress) -> str:
    ip, port = address
    return f'{ipaddress.IPv4Address(ip)}:{port}'
