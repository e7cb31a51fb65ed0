"""Intervals and bounds of following the store."""

import datetime

import msgspec

from acaciamoor import model
from acaciamoor import replica as replicas
from acaciamoor.platform import polling

# Bounds of the wait between two calls for changes. The first one collects
# changes that come close together into one answer. The second one, which
# applies while the store refuses calls, keeps hosts within the 4 s after its
# return in which they must be up to date again.
FIRST_WAIT = datetime.timedelta(milliseconds=400)
LONGEST_WAIT = datetime.timedelta(milliseconds=2400)
# Time for an answer beyond the time that a call asks to wait. A slow store
# takes 0.3 s.
CALL_LIMIT = datetime.timedelta(milliseconds=800)
# Time that a call waits which only asks for the changes until now.
SHORTEST_WAIT = datetime.timedelta(milliseconds=1)
# Time between messages to listeners while nothing changes.
BEAT_INTERVAL = datetime.timedelta(milliseconds=400)
# Time between two looks at which sources are needed.
REVIEW_INTERVAL = datetime.timedelta(milliseconds=200)
# First and longest mean time between reads of the host list. All hosts of a
# site may start together within 0.3 s and find the list empty; without it each
# of them watches the store itself. The time doubles from read to read.
FIRST_HOSTS_INTERVAL = datetime.timedelta(milliseconds=400)
HOSTS_INTERVAL = datetime.timedelta(seconds=20)
# Mean time after which a host that has found relays reads the list again. A
# new host listens to relays at once; the others need its entry only when it
# becomes a relay itself.
NEXT_HOSTS_INTERVAL = datetime.timedelta(seconds=5)
# Time for which a host that has listed a collection waits for its relays. A
# connection to them takes some milliseconds.
FIRST_CONTACT = datetime.timedelta(milliseconds=400)
# Time after which a failed read of the host list is repeated.
HOSTS_RETRY = datetime.timedelta(seconds=3)
# Shares of the bound of a change after which the second relay and the
# listeners do not rely on relays any more. The rest is left for a call to the
# store. Between the two there is time for a look, a call and a message of the
# second relay.
_STANDBY_SHARE = 0.55
_LISTENER_SHARE = 0.65
# Share of the bound for which a relay waits for changes in one call. With the
# waits above it keeps the age at the second relay below its share.
_WAIT_SHARE = 0.27
# Share of the time of recovery for which a call waits for changes. A store
# that was silent does not answer calls of before; they must have ended, and
# their successors been answered, within that time.
_PATIENCE_SHARE = 0.6


class FollowingSettings(msgspec.Struct, frozen=True):
    """How collections are followed.

    Parameters
    ----------
    own : Peer
        This host, with the address where other hosts connect.
    seeds : tuple of Address
        Hosts to ask while the host list cannot be read.
    change_bound : datetime.timedelta
        Time within which a change must be in force.
    recovery_bound : datetime.timedelta
        Time after the return of the store, or of the path to it, from which
        on a host must be up to date.
    """

    own: replicas.Peer
    seeds: tuple[model.Address, ...]
    change_bound: datetime.timedelta
    recovery_bound: datetime.timedelta

    @property
    def age_limits(self) -> replicas.AgeLimits:
        """Ages after which a copy must be confirmed by the store itself."""
        return replicas.AgeLimits(
            standby=self.change_bound * _STANDBY_SHARE,
            listener=self.change_bound * _LISTENER_SHARE,
            first_contact=FIRST_CONTACT,
        )

    @property
    def patient_calls(self) -> polling.LongPollSettings:
        """Limits for calls of hosts that watch for themselves alone."""
        return polling.LongPollSettings(
            CALL_LIMIT, self.recovery_bound * _PATIENCE_SHARE
        )

    @property
    def prompt_calls(self) -> polling.LongPollSettings:
        """Limits for calls that ask for the changes until now."""
        return polling.LongPollSettings(CALL_LIMIT, SHORTEST_WAIT)

    @property
    def frequent_calls(self) -> polling.LongPollSettings:
        """Limits for calls of relays."""
        return polling.LongPollSettings(
            CALL_LIMIT, self.change_bound * _WAIT_SHARE
        )
