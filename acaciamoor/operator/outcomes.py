"""Outcomes of a change that an operator requested."""

import dataclasses

from acaciamoor import findings
from acaciamoor import model
from acaciamoor import platform

_PLATFORM_PLACE = 'platform'


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The change is in effect and will never be reverted.

    Parameters
    ----------
    version : int
        Version after the change; 0 if it could not be read.
    service : Service or None
        The service as stored; None if it was deleted or is not concerned.
    notices : tuple of Finding
        What the operator should look at although the change is in effect.
    """

    version: int
    service: model.Service | None = None
    notices: tuple[findings.Finding, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The change was rejected without effect, for the listed findings."""

    findings: tuple[findings.Finding, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Conflicted:
    """The change had no effect because a concurrent change was stored first.

    Parameters
    ----------
    version : int
        Version that the concurrent change stored; 0 if it could not be read.
    written_by : str
        Who requested the concurrent change.
    """

    version: int
    written_by: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The reply of the platform was lost; the change may have taken effect."""

    message: str


Outcome = Accepted | Refused | Conflicted | Unknown


def refused(place: str, message: str) -> Refused:
    """Return a refusal with a single finding."""
    return Refused((findings.Finding(place, message),))


def from_store_error(error: platform.StoreError) -> Refused:
    """Return the refusal of a change that was not written."""
    return refused(_PLATFORM_PLACE, f'{error}; nothing was changed')


def from_conflict(error: platform.Conflict) -> Conflicted:
    """Return the outcome of a change whose conditional write failed."""
    if error.stored is None:
        return Conflicted(0)
    return Conflicted(
        error.stored.version, str(error.stored.value.get('written_by', ''))
    )
