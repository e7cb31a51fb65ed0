"""API through which operators change services and evacuate data centres.

Every change is a conditional write to the platform's object store.
"""

from acaciamoor.operator.changes import AddUpstream
from acaciamoor.operator.changes import Change
from acaciamoor.operator.changes import ChangePolicy
from acaciamoor.operator.changes import CreateService
from acaciamoor.operator.changes import DeleteService
from acaciamoor.operator.changes import DrainUpstream
from acaciamoor.operator.changes import EvacuateDataCentre
from acaciamoor.operator.changes import RemoveUpstream
from acaciamoor.operator.changes import TakeBackDataCentre
from acaciamoor.operator.editor import ServiceEditor
from acaciamoor.operator.evacuations import EvacuationEditor
from acaciamoor.operator.outcomes import Accepted
from acaciamoor.operator.outcomes import Conflicted
from acaciamoor.operator.outcomes import Outcome
from acaciamoor.operator.outcomes import Refused
from acaciamoor.operator.outcomes import Unknown

__all__ = [
    'Accepted',
    'AddUpstream',
    'Change',
    'ChangePolicy',
    'Conflicted',
    'CreateService',
    'DeleteService',
    'DrainUpstream',
    'EvacuateDataCentre',
    'EvacuationEditor',
    'Outcome',
    'Refused',
    'RemoveUpstream',
    'ServiceEditor',
    'TakeBackDataCentre',
    'Unknown',
]
