"""Group membership: failure detection, quorum and leases."""

from acaciamoor.configuration.effects import Send
from acaciamoor.membership.local_configuration import LocalConfiguration
from acaciamoor.membership.messages import Health
from acaciamoor.membership.messages import IndirectProbe
from acaciamoor.membership.messages import MemberUpdate
from acaciamoor.membership.messages import Message
from acaciamoor.membership.messages import Phase
from acaciamoor.membership.messages import Probe
from acaciamoor.membership.messages import ProbeAck
from acaciamoor.membership.messages import RoundTripAges
from acaciamoor.membership.table import HostList
from acaciamoor.membership.table import LEASE_DURATION
from acaciamoor.membership.table import MembershipTable
from acaciamoor.membership.table import TICK_PERIOD

__all__ = [
    'LEASE_DURATION',
    'TICK_PERIOD',
    'Health',
    'HostList',
    'IndirectProbe',
    'LocalConfiguration',
    'MemberUpdate',
    'MembershipTable',
    'Message',
    'Phase',
    'Probe',
    'ProbeAck',
    'RoundTripAges',
    'Send',
]
