"""Intervals and bounds of following the store."""

import datetime

import msgspec

from acaciamoor import model
from acaciamoor import replica as replicas
from acaciamoor.platform import calls

# Bounds of the wait between two calls for changes. The first one collects
# changes that come close together into one answer. The second one, which
# applies while the store refuses calls, keeps hosts within the 4 s after its
# return in which they must be up to date again.
FIRST_WAIT = datetime.timedelta(milliseconds=400)
LONGEST_WAIT = datetime.timedelta(milliseconds=2400)
# Time for an answer beyond the time that a call asks to wait. A slow store
# takes 0.3 s.
CALL_LIMIT = datetime.timedelta(milliseconds=800)
# Time between messages to listeners while nothing changes.
BEAT_INTERVAL = datetime.timedelta(milliseconds=400)
# Time between two looks at which sources are needed.
REVIEW_INTERVAL = datetime.timedelta(milliseconds=200)
# First and longest mean time between reads of the host list. All hosts of a
# site may start together and find the list empty, so the time doubles from
# read to read. Later a new host listens to relays at once; the others need
# its entry only when it becomes a relay itself.
FIRST_HOSTS_INTERVAL = datetime.timedelta(seconds=1)
HOSTS_INTERVAL = datetime.timedelta(seconds=20)
# Time after which a failed read of the host list is repeated.
HOSTS_RETRY = datetime.timedelta(seconds=3)
# Share of the bound of a change after which a host does not rely on its
# relays any more; the rest is left for its own call to the store.
_AGE_SHARE = 0.65
# Share of the bound for which a relay waits for changes in one call. With the
# waits above it keeps the age at a listener below the share above.
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
    def age_limit(self) -> datetime.timedelta:
        """Age after which a copy must be confirmed by the store itself."""
        return self.change_bound * _AGE_SHARE

    @property
    def patient_calls(self) -> calls.CallSettings:
        """Limits for calls of hosts that watch for themselves alone."""
        return calls.CallSettings(
            CALL_LIMIT, self.recovery_bound * _PATIENCE_SHARE
        )

    @property
    def frequent_calls(self) -> calls.CallSettings:
        """Limits for calls of relays."""
        return calls.CallSettings(CALL_LIMIT, self.change_bound * _WAIT_SHARE)
