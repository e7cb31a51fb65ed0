"""Problems with settings, files and objects, all reported together."""

from acaciamoor.findings.findings import Finding
from acaciamoor.findings.findings import FindingError
from acaciamoor.findings.findings import FindingsError

__all__ = ['Finding', 'FindingError', 'FindingsError']
