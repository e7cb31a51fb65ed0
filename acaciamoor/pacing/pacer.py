"""Decision whether a flow may be opened at an upstream in warm-up.

Load pattern: all hosts of a site send new flows to the same upstreams, which
have just started and bear few requests a second.
"""

import bisect
import collections
import datetime
import math

import msgspec

from acaciamoor import directory
from acaciamoor import model
from acaciamoor.pacing import shares

_ZERO = datetime.timedelta(0)
# Time in which the openings of a host are counted: the second of the bound,
# and 2% for decisions that are carried out one after the other.
_WINDOW = datetime.timedelta(milliseconds=1020)
# Keeps products such as 0.1 * 30 from falling below the whole number.
_ROUNDING = 1e-9
# Larger bounds than this one limit no host; it keeps numbers finite.
_MAX_BOUND = 1 << 20


class PacingSettings(msgspec.Struct, frozen=True):
    """Settings for the pace at upstreams in warm-up.

    Parameters
    ----------
    over : float
        Openings that an upstream may get in a second, in multiples of its
        rate.
    slack : float
        Openings in a second beyond that.
    settle_period : datetime.timedelta
        Time for which a host uses no larger share than its earlier lists of
        hosts gave it. News of a host passes up to five other hosts, each of
        which passes it on within 0.4 s, and is read within 0.2 s; the second
        of the bound follows.
    """

    over: float
    slack: float
    settle_period: datetime.timedelta = datetime.timedelta(seconds=4)


class _HostList:
    """A list of hosts that is or was in force, with the shares by it."""

    def __init__(
        self, hosts: dict[model.DataCentre, frozenset[model.HostId]]
    ) -> None:
        self.hosts = hosts
        self.replaced_at: datetime.timedelta | None = None
        self._shares_by_key: dict[tuple[model.UpstreamId, int], int] = {}

    def find_share(
        self,
        upstream_id: model.UpstreamId,
        total: int,
        own_host: model.HostId,
    ) -> int:
        key = upstream_id, total
        share = self._shares_by_key.get(key)
        if share is None:
            own_data_centre = next(
                (
                    data_centre
                    for data_centre, hosts in self.hosts.items()
                    if own_host in hosts
                ),
                None,
            )
            share = 0
            if own_data_centre is not None:
                share = shares.find_share(
                    upstream_id, total, own_host, own_data_centre, self.hosts
                )
            self._shares_by_key[key] = share
        return share

    def forget(self, upstream_id: model.UpstreamId) -> None:
        for key in [
            item for item in self._shares_by_key if item[0] == upstream_id
        ]:
            del self._shares_by_key[key]


class WarmUpPacer:
    """Limits the openings of this host at upstreams in warm-up.

    The openings that the bound allows in a second are divided among the known
    hosts, in whole numbers. Each host keeps to its share in any second by its
    own monotonic clock, so the sum holds whichever moments hosts choose.

    Parameters
    ----------
    settings : PacingSettings or None
        Settings of the pace; None if no bound is set.
    own_host : HostId
        Identifier of this host.

    Examples
    --------
    >>> second = datetime.timedelta(seconds=1)
    >>> pacer = WarmUpPacer(PacingSettings(over=1.0, slack=0.0), 'h-1')
    >>> pacer.update_hosts({'kgn-a': ['h-1']}, 0 * second)
    True
    >>> pacer.set_warm_up('i-1', 60 * second, 0 * second)
    >>> limits = directory.ServiceLimits(0, 60 * second, 1.0)
    >>> pacer.may_open('i-1', limits, 5 * second)
    True
    >>> pacer.record_opening('i-1', 5 * second)
    >>> pacer.may_open('i-1', limits, 5.5 * second)
    False
    """

    def __init__(
        self, settings: PacingSettings | None, own_host: model.HostId
    ) -> None:
        self._settings = settings
        self._own_host = own_host
        self._lists: list[_HostList] = []
        self._settling_since = _ZERO
        self._warm_at_by_id: dict[model.UpstreamId, datetime.timedelta] = {}
        # Times of the openings in the window, in ascending order.
        self._times_by_id: dict[
            model.UpstreamId, collections.deque[datetime.timedelta]
        ] = {}

    def update_hosts(
        self,
        hosts_by_data_centre: shares.HostsByDataCentre,
        now: datetime.timedelta,
    ) -> bool:
        """Replace the list of hosts that share the openings.

        Returns False if it is the same, or if no bound is set.

        Parameters
        ----------
        hosts_by_data_centre : Mapping
            Known hosts of the site, with this one. All hosts of its own data
            centre must be known, and one of each other data centre.
        now : datetime.timedelta
            Current time.
        """
        if self._settings is None:
            return False
        hosts = {
            data_centre: frozenset(names)
            for data_centre, names in hosts_by_data_centre.items()
            if names
        }
        if not self._lists:
            self._settling_since = now
        elif self._lists[-1].hosts == hosts:
            return False
        else:
            self._lists[-1].replaced_at = now
        self._lists.append(_HostList(hosts))
        self._discard_old_lists(now)
        return True

    def settle_again(self, now: datetime.timedelta) -> None:
        """Open nothing for a time; hosts may have joined in a pause."""
        self._settling_since = now

    def set_warm_up(
        self,
        upstream_id: model.UpstreamId,
        warm_up: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Record that an upstream warms up for another `warm_up`.

        A shorter time than was announced before does not count: another
        version of the entry may hold the time of an earlier process.
        """
        if self._settings is None or warm_up <= _ZERO:
            return
        self._warm_at_by_id[upstream_id] = max(
            now + warm_up, self._warm_at_by_id.get(upstream_id, now)
        )

    def is_limited(
        self,
        upstream_id: model.UpstreamId,
        limits: directory.ServiceLimits | None,
        now: datetime.timedelta,
    ) -> bool:
        """Return whether the pace limits the flows at an upstream now."""
        if self._settings is None or limits is None or not limits.warm_up_rate:
            return False
        warm_at = self._warm_at_by_id.get(upstream_id)
        return warm_at is not None and now < warm_at

    def may_open(
        self,
        upstream_id: model.UpstreamId,
        limits: directory.ServiceLimits | None,
        now: datetime.timedelta,
    ) -> bool:
        """Return whether this host may open a flow at an upstream now."""
        if not self.is_limited(upstream_id, limits, now):
            return True
        share = self._find_share(upstream_id, limits, now)
        return len(self._get_times(upstream_id, now)) < share

    def count_openings(
        self,
        upstream_id: model.UpstreamId,
        limits: directory.ServiceLimits,
        now: datetime.timedelta,
        until: datetime.timedelta,
    ) -> int:
        """Return how many flows this host may open before `until`."""
        if not self.is_limited(upstream_id, limits, now):
            return _MAX_BOUND
        share = self._find_share(upstream_id, limits, now)
        if not share:
            return 0
        times = list(self._get_times(upstream_id, now))[-share:]
        free_at = [time + _WINDOW for time in times]
        free_at += [now] * (share - len(times))
        return sum(
            1 + (until - instant) // _WINDOW
            for instant in free_at
            if instant < until
        )

    def record_opening(
        self, upstream_id: model.UpstreamId, now: datetime.timedelta
    ) -> None:
        """Count an opening packet that is sent to an upstream.

        Those to warm upstreams count as well: the next version of an entry
        may say that the upstream is in warm-up.
        """
        if self._settings is None:
            return
        if upstream_id not in self._times_by_id:
            self._times_by_id[upstream_id] = collections.deque()
        times = self._get_times(upstream_id, now)
        times.append(max(now, times[-1]) if times else now)

    def record_sent(
        self, upstream_id: model.UpstreamId, now: datetime.timedelta
    ) -> None:
        """Date the last openings by the time at which they were sent.

        The process may be stopped between a decision and the packet.
        """
        times = self._times_by_id.get(upstream_id)
        if not times:
            return
        decided_at = times[-1]
        for index in range(bisect.bisect_left(times, decided_at), len(times)):
            times[index] = max(now, decided_at)

    def forget(self, upstream_id: model.UpstreamId) -> None:
        """Remove what is known of an upstream that no longer exists."""
        self._warm_at_by_id.pop(upstream_id, None)
        self._times_by_id.pop(upstream_id, None)
        for item in self._lists:
            item.forget(upstream_id)

    def _find_share(
        self,
        upstream_id: model.UpstreamId,
        limits: directory.ServiceLimits,
        now: datetime.timedelta,
    ) -> int:
        settings = self._settings
        if (
            not self._lists
            or now - self._settling_since < settings.settle_period
        ):
            return 0
        self._discard_old_lists(now)
        total = math.floor(
            min(
                limits.warm_up_rate * settings.over
                + settings.slack
                + _ROUNDING,
                _MAX_BOUND,
            )
        )
        return min(
            item.find_share(upstream_id, total, self._own_host)
            for item in self._lists
        )

    def _discard_old_lists(self, now: datetime.timedelta) -> None:
        limit = now - self._settings.settle_period
        while (
            replaced_at := self._lists[0].replaced_at
        ) is not None and replaced_at <= limit:
            del self._lists[0]

    def _get_times(
        self, upstream_id: model.UpstreamId, now: datetime.timedelta
    ) -> collections.deque[datetime.timedelta]:
        times = self._times_by_id.get(upstream_id)
        if times is None:
            return collections.deque()
        while times and times[0] <= now - _WINDOW:
            times.popleft()
        return times
