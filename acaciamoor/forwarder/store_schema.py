"""Layout of the objects that a host reads from the platform's store."""

import typing

from acaciamoor import directory
from acaciamoor import model
from acaciamoor import platform
from acaciamoor import replica


class StoreSchema(typing.Protocol):
    """Names the objects that a host reads and converts their values."""

    routes_kind: str
    routes_name: str
    upstreams_kind: str
    evacuations_kind: str
    hosts_kind: str

    def decode_routes(
        self, stored: platform.StoredObject
    ) -> directory.RouteTable | None:
        """Return the routes in an object; None if it is malformed."""

    def decode_upstream(
        self, stored: platform.StoredObject
    ) -> directory.UpstreamEntry | None:
        """Return the upstream in an object; None if it is malformed."""

    def decode_evacuation(
        self, stored: platform.StoredObject
    ) -> model.DataCentre | None:
        """Return the data centre to evacuate; None if it is malformed."""

    def decode_host(
        self, stored: platform.StoredObject
    ) -> replica.Peer | None:
        """Return the host in an object; None if it is malformed."""

    def encode_host(self, peer: replica.Peer) -> platform.objects.Value:
        """Return the value with which a host registers itself."""
