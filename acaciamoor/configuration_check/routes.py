"""Routes and services of a configuration of the forwarders."""

import msgspec

from acaciamoor import directory
from acaciamoor import findings


class RouteConfiguration(msgspec.Struct, frozen=True):
    """Routes and limits of services in a file, and what is wrong with it.

    An adapter reads the file, as its layout is that of the platform.

    Parameters
    ----------
    version : int
        Version given by the operator.
    routes : tuple of Route
        Valid routes in the order of the file, also those that others hide.
    services : tuple of (str, ServiceLimits) or None
        Names and limits of the valid services in the order of the file; None
        if the file lists no services.
    errors : tuple of Finding
        Damage to the file, and what hosts ignore or take for something else.
    hidden : tuple of Finding
        Fields that another field replaces.
    contradictions : tuple of Finding
        Values that the file states and that have no effect.
    """

    version: int = 0
    routes: tuple[directory.Route, ...] = ()
    services: tuple[tuple[str, directory.ServiceLimits], ...] | None = None
    errors: tuple[findings.Finding, ...] = ()
    hidden: tuple[findings.Finding, ...] = ()
    contradictions: tuple[findings.Finding, ...] = ()

    def to_table(self) -> directory.RouteTable:
        """Return the table that hosts act on."""
        return directory.RouteTable(
            self.version,
            {route.address: route for route in self.routes},
            dict(self.services or ()),
        )
