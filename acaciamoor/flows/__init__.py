"""Flow routing: upstream selection and replicated records of flows."""

from acaciamoor.flows.messages import Decision
from acaciamoor.flows.messages import Hop
from acaciamoor.flows.messages import HopPurpose
from acaciamoor.flows.messages import Message
from acaciamoor.flows.messages import PutRecords
from acaciamoor.flows.messages import RefusalReason
from acaciamoor.flows.messages import Refuse
from acaciamoor.flows.messages import ToPeer
from acaciamoor.flows.messages import ToUpstream
from acaciamoor.flows.messages import ViewNeed
from acaciamoor.flows.messages import ViewNeeds
from acaciamoor.flows.owners import OwnerTable
from acaciamoor.flows.records import FlowRecords
from acaciamoor.flows.router import FlowRouter
from acaciamoor.flows.settings import RouterSettings

__all__ = [
    'Decision',
    'FlowRecords',
    'FlowRouter',
    'Hop',
    'HopPurpose',
    'Message',
    'OwnerTable',
    'PutRecords',
    'RefusalReason',
    'Refuse',
    'RouterSettings',
    'ToPeer',
    'ToUpstream',
    'ViewNeed',
    'ViewNeeds',
]
