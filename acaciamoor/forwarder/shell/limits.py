"""Intervals and timeouts for keeping up with the store."""

import datetime

import msgspec

from acaciamoor import model
from acaciamoor import replica as replicas
from acaciamoor.forwarder import store_schema as schemas
from acaciamoor.platform import polling

# Initial and maximum backoff between two calls for changes. The initial one
# batches changes that occur close together into one answer. The maximum,
# which is reached while the store refuses calls, lets hosts catch up within
# the required 4 s after the store returns.
INITIAL_BACKOFF = datetime.timedelta(milliseconds=400)
MAX_BACKOFF = datetime.timedelta(milliseconds=2400)
# Timeout of a call beyond the wait that it asks for. A slow store answers
# after 0.3 s.
CALL_TIMEOUT = datetime.timedelta(milliseconds=800)
# Wait of a call that fetches only the changes that already exist.
REFRESH_WAIT = datetime.timedelta(milliseconds=1)
# Longest interval between heartbeats to listeners. Confirmations are passed on
# at once.
HEARTBEAT_INTERVAL = datetime.timedelta(milliseconds=400)
# Interval at which a host decides which sources it needs.
SOURCE_CHECK_INTERVAL = datetime.timedelta(milliseconds=200)
# Initial and maximum mean interval between reads of the host list; it doubles
# with each read. All hosts of a site may start within 0.3 s of each other and
# find the list empty.
INITIAL_HOST_LIST_INTERVAL = datetime.timedelta(milliseconds=400)
MAX_HOST_LIST_INTERVAL = datetime.timedelta(seconds=20)
# Minimum mean interval for a host that has found relays. Hosts tell each other
# of new hosts; the list joins groups of hosts that do not know each other.
HOST_LIST_INTERVAL_WITH_RELAYS = datetime.timedelta(seconds=5)
# Time after its start at which a host first reads the host list. A seed sends
# the hosts that it knows within a few milliseconds.
FIRST_HOST_LIST_DELAY = datetime.timedelta(milliseconds=300)
# Time that a starting host waits for data from its seeds before it lists the
# collections itself. A connection and a snapshot take a few milliseconds.
SEED_GRACE = datetime.timedelta(milliseconds=25)
# Time for which a host asks a single relay for whole collections.
SINGLE_SOURCE_PERIOD = datetime.timedelta(milliseconds=400)
# Time after which a host without data goes on to the next seed.
SEED_TURN = datetime.timedelta(seconds=1)
# Time after its start for which a host stays connected to a seed, so that
# hosts that start together learn of each other.
SEED_LINK_PERIOD = datetime.timedelta(seconds=3)
# Time that a host waits for data at the first start of a site, in addition to
# the delay of its registration. The seeds list the collections, or else hosts
# with wider links.
FIRST_START_GRACE = datetime.timedelta(seconds=2)
# Maximum jitter of the first read of the host list at the first start.
FIRST_READ_JITTER = datetime.timedelta(milliseconds=300)
# Time that a host waits for data from its relays after the initial listing.
# Connecting to a relay takes a few milliseconds.
RELAY_CONNECT_GRACE = datetime.timedelta(milliseconds=400)
# Delay before a failed read of the host list is retried.
HOST_LIST_RETRY_DELAY = datetime.timedelta(seconds=3)
# Age of a replica, as a share of the change bound, above which the standby,
# the hosts that others listen to, and the listeners stop relying on relays.
# The rest of the bound leaves time for a call to the store. The gaps between
# the shares leave time for a host to notice, call the store and send its
# update.
_STANDBY_AGE_SHARE = 0.55
_BRANCH_AGE_SHARE = 0.62
_LISTENER_AGE_SHARE = 0.7
# Time between these ages where hosts follow a third collection, if it is less
# than between the shares. It leaves time to notice and to call; a store that
# takes longer costs further calls, but each relay may wait for longer.
_AGE_STEP = datetime.timedelta(milliseconds=250)
# Share of the change bound that a relay waits for changes in one call.
# Together with the backoff it keeps the age at the standby below its share.
_RELAY_WAIT_SHARE = 0.27
# Time by which the wait of a relay with three collections stays below what
# the age at the standby allows.
_RELAY_WAIT_MARGIN = datetime.timedelta(milliseconds=50)
# Share of the recovery bound that a call of a host without relays waits for
# changes. A store that stopped responding never answers earlier calls; these
# must time out, and the next ones be answered, within the recovery bound.
_WATCH_WAIT_SHARE = 0.6


class SyncSettings(msgspec.Struct, frozen=True):
    """Settings for keeping collections in sync with the store.

    Parameters
    ----------
    own : Peer
        This host, with the address at which it accepts other hosts.
    seeds : tuple of Address
        Addresses of hosts to contact while the host list cannot be read.
    change_bound : datetime.timedelta
        Time within which a change must take effect.
    recovery_bound : datetime.timedelta
        Time within which a host must be up to date after the store, or the
        path to it, has recovered.
    first_start : bool
        Whether all hosts of the site start now for the first time.
    follows_evacuations : bool
        Whether the operator may evacuate data centres.
    """

    own: replicas.Peer
    seeds: tuple[model.Address, ...]
    change_bound: datetime.timedelta
    recovery_bound: datetime.timedelta
    first_start: bool = False
    follows_evacuations: bool = False

    def get_kinds(self, schema: schemas.StoreSchema) -> tuple[str, ...]:
        """Return the kinds of the collections that the host follows."""
        kinds = (schema.routes_kind, schema.upstreams_kind)
        if self.follows_evacuations:
            kinds += (schema.evacuations_kind,)
        return kinds

    def get_age_limits(
        self, search_period: datetime.timedelta
    ) -> replicas.AgeLimits:
        """Return the ages above which the store must confirm a replica."""
        return replicas.AgeLimits(
            standby=self._get_age_limit(_STANDBY_AGE_SHARE, 2),
            branch=self._get_age_limit(_BRANCH_AGE_SHARE, 1),
            listener=self.max_list_age,
            connect_grace=RELAY_CONNECT_GRACE,
            search_period=search_period,
        )

    def _get_age_limit(self, share: float, steps: int) -> datetime.timedelta:
        age = self.change_bound * share
        if self.follows_evacuations:
            age = max(age, self.max_list_age - steps * _AGE_STEP)
        return age

    @property
    def max_list_age(self) -> datetime.timedelta:
        """Age of a replica above which each host calls the store itself."""
        return self.change_bound * _LISTENER_AGE_SHARE

    @property
    def watch_calls(self) -> polling.LongPollSettings:
        """Limits for long polls of hosts that use no relays."""
        return polling.LongPollSettings(
            CALL_TIMEOUT, self.recovery_bound * _WATCH_WAIT_SHARE
        )

    @property
    def refresh_calls(self) -> polling.LongPollSettings:
        """Limits for calls that return the existing changes at once."""
        return polling.LongPollSettings(CALL_TIMEOUT, REFRESH_WAIT)

    @property
    def relay_calls(self) -> polling.LongPollSettings:
        """Limits for the short polls of relays."""
        wait = self.change_bound * _RELAY_WAIT_SHARE
        if self.follows_evacuations:
            # The third collection would add half as many calls again. The
            # longest wait after which the standby needs no call of its own
            # makes up for that.
            longest = (
                self._get_age_limit(_STANDBY_AGE_SHARE, 2)
                - INITIAL_BACKOFF
                - HEARTBEAT_INTERVAL
                - _RELAY_WAIT_MARGIN
            )
            wait = max(wait, longest)
        return polling.LongPollSettings(CALL_TIMEOUT, wait)
