"""Selects how a host calls the store to keep a replica up to date.

The relay of the site watches the store. All other hosts receive changes from
other hosts and call the store only when their replica gets too old. The
standby does so before the hosts that others listen to, and these before the
listeners, so that one call serves all of them.
"""

import datetime
import enum

import msgspec


class Role(enum.Enum):
    """Role of a host at its site."""

    # The site has too few hosts for relays, or they are not known yet.
    ALONE = 'alone'
    # Watches the store for all hosts.
    RELAY = 'relay'
    # Calls the store if the relay does not.
    STANDBY = 'standby'
    # Passes on what it receives to other hosts of its data centre.
    BRANCH = 'branch'
    LISTENER = 'listener'


class CallMode(enum.Enum):
    """How a host calls the store for one collection."""

    NONE = 'none'
    # A single call that returns all existing changes at once.
    REFRESH = 'refresh'
    # Successive long polls, which wait for changes.
    WATCH = 'watch'
    # The same with a short wait, so that a relay often has a confirmation to
    # pass on to its listeners.
    WATCH_OFTEN = 'watch often'


class AgeLimits(msgspec.Struct, frozen=True):
    """Ages above which a replica must be refreshed.

    Parameters
    ----------
    standby : datetime.timedelta
        Limit for the standby. Exceeds the usual interval between
        confirmations by the relay.
    branch : datetime.timedelta
        Limit for hosts that others listen to. Exceeds the interval between
        confirmations by the standby.
    listener : datetime.timedelta
        Limit for listeners. Leaves time for a call before a change is overdue.
    connect_grace : datetime.timedelta
        Time after the initial listing during which a host waits for data from
        its relays, which makes a call of its own unnecessary.
    search_period : datetime.timedelta
        Time after the initial listing during which a host without relays does
        not watch the store yet, since it is likely to find relays.
    """

    standby: datetime.timedelta
    branch: datetime.timedelta
    listener: datetime.timedelta
    connect_grace: datetime.timedelta
    search_period: datetime.timedelta


def select_call_mode(
    role: Role,
    age: datetime.timedelta | None,
    time_since_listing: datetime.timedelta,
    limits: AgeLimits,
) -> CallMode:
    """Return the calls that a host must make for a collection.

    Parameters
    ----------
    role : Role
        Role of the host.
    age : datetime.timedelta or None
        Time since the replica was last confirmed; None if it never was.
    time_since_listing : datetime.timedelta
        Time since the initial listing of the collection ended or failed.
    limits : AgeLimits
        Ages above which the replica must be refreshed.

    Examples
    --------
    >>> second = datetime.timedelta(seconds=1)
    >>> limits = AgeLimits(
    ...     2 * second, 2.6 * second, 3 * second, second / 2, 3 * second
    ... )
    >>> select_call_mode(Role.LISTENER, 2.5 * second, 60 * second, limits)
    <CallMode.NONE: 'none'>
    >>> select_call_mode(Role.STANDBY, 2.5 * second, 60 * second, limits)
    <CallMode.REFRESH: 'refresh'>
    """
    if role is Role.ALONE and time_since_listing >= limits.search_period:
        return CallMode.WATCH
    if role is Role.RELAY:
        return CallMode.WATCH_OFTEN
    if age is None:
        too_old = time_since_listing >= limits.connect_grace
    elif role is Role.STANDBY:
        too_old = age > limits.standby
    elif role is Role.BRANCH:
        too_old = age > limits.branch
    else:
        too_old = age > limits.listener
    return CallMode.REFRESH if too_old else CallMode.NONE
