"""What became of a change."""

import dataclasses

from acaciamoor import findings
from acaciamoor import model
from acaciamoor import platform

PLATFORM_PLACE = 'platform'


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The change is stored and will never be reverted.

    Parameters
    ----------
    version : int
        Version that the platform gave to the change.
    service : Service or None
        The service as stored; None if it was deleted.
    """

    version: int
    service: model.Service | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The change had no effect, for the reasons in the findings."""

    findings: tuple[findings.Finding, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Conflicted:
    """Another change came first; this one had no effect.

    Parameters
    ----------
    version : int
        Version of the change that won; 0 if it could not be read.
    written_by : str
        Who made that change.
    """

    version: int
    written_by: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The reply was lost: the change may have taken effect."""

    message: str


Outcome = Accepted | Refused | Conflicted | Unknown


def refused(place: str, message: str) -> Refused:
    """Return the refusal for one finding."""
    return Refused((findings.Finding(place, message),))


def not_reached(error: platform.StoreError) -> Refused:
    """Return the refusal of a change that could not be written."""
    return refused(PLATFORM_PLACE, f'{error}; nothing was changed')


def beaten(error: platform.Conflict) -> Conflicted:
    """Return the outcome of a change that lost a race."""
    if error.stored is None:
        return Conflicted(0)
    return Conflicted(
        error.stored.version, str(error.stored.value.get('written_by', ''))
    )
