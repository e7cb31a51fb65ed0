"""Which hosts of the data centre are alive, and who may lead."""

from acaciamoor.configuration.effects import Send
from acaciamoor.membership.messages import Evidence
from acaciamoor.membership.messages import Health
from acaciamoor.membership.messages import IndirectProbe
from acaciamoor.membership.messages import MemberUpdate
from acaciamoor.membership.messages import Message
from acaciamoor.membership.messages import Phase
from acaciamoor.membership.messages import Probe
from acaciamoor.membership.messages import ProbeAck
from acaciamoor.membership.peer import ConfigurationPeer
from acaciamoor.membership.table import HostList
from acaciamoor.membership.table import LEASE
from acaciamoor.membership.table import MembershipTable
from acaciamoor.membership.table import TICK

__all__ = [
    'LEASE',
    'TICK',
    'ConfigurationPeer',
    'Evidence',
    'Health',
    'HostList',
    'IndirectProbe',
    'MemberUpdate',
    'MembershipTable',
    'Message',
    'Phase',
    'Probe',
    'ProbeAck',
    'Send',
]
