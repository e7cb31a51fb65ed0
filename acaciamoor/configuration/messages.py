"""Messages that replicate the configuration between balancers."""

import dataclasses
import datetime

from acaciamoor import model


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationState:
    """Whether the data centre of the sender is evacuated.

    Parameters
    ----------
    version : int
        Version of the evacuation or of its end. Unsigned 64-bit.
    evacuated : bool
        Whether the data centre is evacuated from this version on.
    age : datetime.timedelta
        Time since a relay received the version, as known to the sender.
    """

    version: int
    evacuated: bool
    age: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationDigest:
    """Digest of constant size of a host's configuration.

    Parameters
    ----------
    version : int
        Collection version up to which the host has every change; 0 before the
        first change. Unsigned 64-bit.
    fingerprint : int
        Unsigned 64-bit hash of all services and their versions up to
        `version`.
    confirmed_age : datetime.timedelta or None
        Time since a relay is known to have confirmed that `version` is the
        newest version; None if that is unknown or too long ago.
    published_age : datetime.timedelta or None
        Time since the first relay received `version`; None if too long ago.
    target : int
        Collection version that the status object is to report next.
    target_in_force : bool
        Whether `target` is in force on the host.
    evacuation : EvacuationState or None
        Last evacuation of the data centre, or its end; None if the host
        knows of none, or runs a version of the program without evacuations.
    """

    version: int
    fingerprint: int = 0
    confirmed_age: datetime.timedelta | None = None
    published_age: datetime.timedelta | None = None
    target: int = 0
    target_in_force: bool = False
    evacuation: EvacuationState | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceVersion:
    """A service, or its deletion, at one version.

    Parameters
    ----------
    service_id : ServiceId
        The service.
    version : int
        Collection version of the change.
    service : Service or None
        The service as stored at `version`; None if it was deleted.
    age : datetime.timedelta
        Time since a relay received the change, as known to the sender.
    """

    service_id: model.ServiceId
    version: int
    service: model.Service | None
    age: datetime.timedelta = datetime.timedelta(0)


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotRequest:
    """Requests the next chunk of changes.

    Parameters
    ----------
    since : int
        Last version that the requester has; the response starts after it.
    full : bool
        Whether to send the complete collection, so that the requester can
        remove services that are not part of it.
    """

    since: int
    full: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Delta:
    """All changes with ``since < version <= upto``, in order of version.

    Parameters
    ----------
    since, upto : int
        Range of versions that `items` covers completely.
    items : tuple of ServiceVersion
        Latest change of each service in the range, including deletions.
    """

    since: int
    upto: int
    items: tuple[ServiceVersion, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """One chunk of a complete collection, in order of version.

    Parameters
    ----------
    version : int
        Collection version of the whole snapshot.
    since, upto : int
        Range of versions that this chunk covers; the last chunk has
        ``upto == version``.
    items : tuple of ServiceVersion
        The services in the range.
    """

    version: int
    since: int
    upto: int
    items: tuple[ServiceVersion, ...]


Message = SnapshotRequest | Delta | Snapshot
