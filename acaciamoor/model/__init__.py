"""Domain model: services, upstreams, policies and membership."""

from acaciamoor.model.address import Address
from acaciamoor.model.identifiers import DataCentre
from acaciamoor.model.identifiers import HostId
from acaciamoor.model.identifiers import ServiceId
from acaciamoor.model.identifiers import UpstreamId
from acaciamoor.model.members import MembershipView
from acaciamoor.model.policy import Policy
from acaciamoor.model.service import Service
from acaciamoor.model.upstream import Upstream
from acaciamoor.model.upstream import UpstreamState

__all__ = [
    'Address',
    'DataCentre',
    'HostId',
    'MembershipView',
    'Policy',
    'Service',
    'ServiceId',
    'Upstream',
    'UpstreamId',
    'UpstreamState',
]
