"""Which calls to the store a host makes for its copy of a collection.

The first relay of a data centre watches the store. All other hosts are told
by relays and call the store only when their copy grows old. The second relay
does so earlier than the listeners, so that one call serves all of them.
"""

import datetime
import enum

import msgspec


class Role(enum.Enum):
    """Place of a host among the hosts of its data centre."""

    # Too few hosts for relays, or the others are not known yet.
    ALONE = 'alone'
    RELAY = 'relay'
    # Second relay, or a host that others listen to all the same.
    STANDBY = 'standby'
    LISTENER = 'listener'


class Calls(enum.Enum):
    """Calls to the store for one collection."""

    NONE = 'none'
    # One call that returns at once with all changes.
    REFRESH = 'refresh'
    # Calls that wait for changes, one after the other.
    WATCH = 'watch'
    # The same, which wait for a short time only, so that relays can tell their
    # listeners often that nothing has changed.
    WATCH_OFTEN = 'watch often'


class AgeLimits(msgspec.Struct, frozen=True):
    """Ages at which a copy must be refreshed.

    Parameters
    ----------
    standby : datetime.timedelta
        For the second relay. Longer than the first relay leaves a copy
        unconfirmed.
    listener : datetime.timedelta
        For hosts that only listen. Longer than the second relay leaves a copy
        unconfirmed, and short enough for a call within the bound of a change.
    first_contact : datetime.timedelta
        Time for which a host that has just listed the collection waits for
        its relays, which tell it more than a call of its own.
    """

    standby: datetime.timedelta
    listener: datetime.timedelta
    first_contact: datetime.timedelta


def needed_calls(
    role: Role,
    age: datetime.timedelta | None,
    listed_for: datetime.timedelta,
    limits: AgeLimits,
) -> Calls:
    """Return the calls that a host needs for a collection.

    Parameters
    ----------
    role : Role
        Place of the host.
    age : datetime.timedelta or None
        Time since the store confirmed the copy; None if it never did.
    listed_for : datetime.timedelta
        Time since the host has listed the collection, or has failed to.
    limits : AgeLimits
        Ages at which the copy must be refreshed.

    Examples
    --------
    >>> second = datetime.timedelta(seconds=1)
    >>> limits = AgeLimits(2 * second, 3 * second, second / 2)
    >>> needed_calls(Role.LISTENER, 2.5 * second, 60 * second, limits)
    <Calls.NONE: 'none'>
    >>> needed_calls(Role.STANDBY, 2.5 * second, 60 * second, limits)
    <Calls.REFRESH: 'refresh'>
    """
    if role is Role.ALONE:
        return Calls.WATCH
    if role is Role.RELAY:
        return Calls.WATCH_OFTEN
    if age is None:
        late = listed_for >= limits.first_contact
    elif role is Role.STANDBY:
        late = age > limits.standby
    else:
        late = age > limits.listener
    return Calls.REFRESH if late else Calls.NONE
