"""How long new flows may use upstreams whose entries were removed."""

import datetime

import msgspec

from acaciamoor.directory import upstreams

# Time from the choice of an upstream until the packet has reached it.
_FORWARDING_TIME = datetime.timedelta(milliseconds=300)


class DirectorySettings(msgspec.Struct, frozen=True):
    """Settings for the retention of removed entries.

    Parameters
    ----------
    retention : datetime.timedelta
        Time for which open flows still reach an upstream after its entry was
        removed. Flows on the platform live for 60 s at most.
    mass_removal_grace : datetime.timedelta
        Time for which new flows may still use an upstream after its entry was
        removed together with most entries of the service. Entries that
        expired in an outage of the store are back within about 2 s.
    change_bound : datetime.timedelta
        Time after its removal from a store that responds in which an
        upstream must stop getting new flows.
    recovery_bound : datetime.timedelta
        Time after an outage, or after a cut of the path to the store, from
        which `change_bound` holds again.
    max_list_age : datetime.timedelta
        Age of the list of upstreams above which the host has called the store
        itself.
    follows_evacuations : bool
        Whether the host learns which data centres are evacuated.
    """

    retention: datetime.timedelta = datetime.timedelta(seconds=60)
    mass_removal_grace: datetime.timedelta = datetime.timedelta(seconds=2)
    change_bound: datetime.timedelta = datetime.timedelta(seconds=3)
    recovery_bound: datetime.timedelta = datetime.timedelta(seconds=4)
    max_list_age: datetime.timedelta = datetime.timedelta(seconds=2.1)
    follows_evacuations: bool = False


class StoreContact(msgspec.Struct, frozen=True):
    """What a host knows of the store when it learns of a removal.

    Parameters
    ----------
    listed_at : datetime.timedelta or None
        Time at which the store still had all entries that the host knows;
        None if the store never confirmed them.
    failed_at : datetime.timedelta or None
        Start of the last call of this host to the store that failed; None if
        none has.
    """

    listed_at: datetime.timedelta | None
    failed_at: datetime.timedelta | None = None


class RemovedEntry(msgspec.Struct, frozen=True):
    """Entry that the store no longer has.

    Parameters
    ----------
    entry : UpstreamEntry
        The entry.
    learned_at : datetime.timedelta
        Time at which this host learned of the removal.
    grace_ends_at : datetime.timedelta
        Time until which new flows may use the upstream if most entries of its
        service were removed.
    """

    entry: upstreams.UpstreamEntry
    learned_at: datetime.timedelta
    grace_ends_at: datetime.timedelta


def find_end_of_grace(
    learned_at: datetime.timedelta,
    contact: StoreContact,
    settings: DirectorySettings,
) -> datetime.timedelta:
    """Return until when new flows may use an upstream that was removed.

    The grace is for entries that expire while the store is away. If the store
    responded all the while, the removal may be as old as the last list, and
    the bound counts from there. A list that is old beside calls that fail
    tells of an outage, or of a cut of the host's own path. These look alike,
    so that the grace ends when the bound holds again after a cut; that ended
    after the start of the last call that failed.

    Examples
    --------
    >>> second = datetime.timedelta(seconds=1)
    >>> settings = DirectorySettings()
    >>> current = StoreContact(9.5 * second)
    >>> find_end_of_grace(10 * second, current, settings) / second
    12.0
    >>> late = StoreContact(8 * second)
    >>> find_end_of_grace(10 * second, late, settings) / second
    10.7
    >>> outage = StoreContact(2 * second, 9 * second)
    >>> find_end_of_grace(10 * second, outage, settings) / second
    12.0
    """
    latest = learned_at + settings.mass_removal_grace
    listed_at, failed_at = contact.listed_at, contact.failed_at
    if failed_at is not None and (
        listed_at is None
        or (
            failed_at >= listed_at
            and learned_at - listed_at > settings.max_list_age
        )
    ):
        bound = failed_at + settings.recovery_bound
    elif listed_at is not None:
        bound = listed_at + settings.change_bound
    else:
        return learned_at
    return min(latest, bound - _FORWARDING_TIME)
