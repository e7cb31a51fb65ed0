"""Background tasks whose failures are logged and do not end the process."""

from acaciamoor.supervision.tasks import spawn
from acaciamoor.supervision.tasks import supervise

__all__ = ['spawn', 'supervise']
