"""Objects of the platform's store that a host follows."""

import typing

from acaciamoor import directory
from acaciamoor import platform
from acaciamoor import replica


class Catalogue(typing.Protocol):
    """Kinds, names and values of the objects that a host follows."""

    routes_kind: str
    routes_name: str
    upstreams_kind: str
    hosts_kind: str

    def routes(
        self, stored: platform.StoredObject
    ) -> directory.RouteTable | None:
        """Return the routes in a value; None if it cannot be understood."""

    def upstream(
        self, stored: platform.StoredObject
    ) -> directory.ListedUpstream | None:
        """Return the entry in a value; None if it names no upstream."""

    def host(self, stored: platform.StoredObject) -> replica.Peer | None:
        """Return the host in a value; None if it cannot be understood."""

    def host_value(self, peer: replica.Peer) -> platform.objects.Value:
        """Return the value under which a host lists itself."""
