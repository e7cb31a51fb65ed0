"""What a host knows of the load that passes all hosts."""

import collections.abc
import datetime

import msgspec

from acaciamoor.load_reports import report as reports

# Evidence older than this counts for nothing; see docs/parts.md, part 3.
MAX_AGE = datetime.timedelta(milliseconds=1500)
# Silence of a sender after which the sum of another host replaces one of more
# hosts. Sums arrive every 600 ms at the latest; see `Pace`.
REPLACEMENT_SILENCE = datetime.timedelta(seconds=1)
# Data centres of which summaries are kept, many times those of a site.
MAX_DATA_CENTRES = 64
# Earlier incarnations that are remembered of the senders of a data centre.
# Messages of processes that ended arrive at most seconds late.
_MAX_RETIRED = 8
_ZERO = datetime.timedelta(0)


class DemandRate(msgspec.Struct, frozen=True):
    """New flows a second for a service over routes of one priority.

    Parameters
    ----------
    openings_per_s, refused_per_s : float
        New flows a second, and those of them that hosts refused.
    """

    openings_per_s: float = 0.0
    refused_per_s: float = 0.0


class _Held:
    """Summary of a data centre, and when its reports were taken."""

    __slots__ = (
        'loads_by_id',
        'received_at',
        'retired',
        'summary',
        'taken_at',
    )

    def __init__(
        self,
        summary: reports.LoadSummary,
        received_at: datetime.timedelta,
        retired: tuple[int, ...],
    ) -> None:
        self.summary = summary
        self.received_at = received_at
        self.taken_at = received_at - datetime.timedelta(seconds=summary.age)
        self.retired = retired
        # Built at the first look-up; most hosts look up few upstreams.
        self.loads_by_id: dict[str, reports.UpstreamLoad] | None = None

    def is_fresh(self, now: datetime.timedelta) -> bool:
        return now - self.taken_at < MAX_AGE

    def find(self, upstream_id: str) -> reports.UpstreamLoad | None:
        if self.loads_by_id is None:
            self.loads_by_id = {
                load.upstream_id: load for load in self.summary.upstreams
            }
        return self.loads_by_id.get(upstream_id)


class LoadPicture:
    """Newest summary of each data centre.

    Parameters
    ----------
    data_centre : str
        Data centre of this host.

    Examples
    --------
    >>> second = datetime.timedelta(seconds=1)
    >>> picture = LoadPicture('kgn-a')
    >>> picture.record(
    ...     reports.LoadSummary(
    ...         'kgn-a', 'h-1', 7, 1, 75, 0.1, 0.2,
    ...         [reports.UpstreamLoad('desk-1', in_progress=3)],
    ...     ),
    ...     10 * second,
    ... )
    True
    >>> picture.load_of('desk-1', 11 * second).in_progress
    3
    >>> picture.is_fresh(12 * second)
    False
    """

    def __init__(self, data_centre: str) -> None:
        self._data_centre = data_centre
        self._held_by_data_centre: dict[str, _Held] = {}
        self._revision = 0

    @property
    def revision(self) -> int:
        """Number that rises with each recorded summary."""
        return self._revision

    @property
    def interval(self) -> datetime.timedelta:
        """Interval of the newest own summary; zero if there was none."""
        held = self._held_by_data_centre.get(self._data_centre)
        if held is None:
            return _ZERO
        return datetime.timedelta(seconds=held.summary.interval)

    def record(
        self, summary: reports.LoadSummary, received_at: datetime.timedelta
    ) -> bool:
        """Record a summary; return whether it replaced the one before.

        Summaries of a process replace those of lower serials. The sum of
        another host replaces one that is old or that covers fewer hosts.

        Parameters
        ----------
        summary : LoadSummary
            The summary.
        received_at : datetime.timedelta
            Time to which the age in the summary refers.
        """
        if datetime.timedelta(seconds=summary.age) >= MAX_AGE:
            return False
        held = self._held_by_data_centre.get(summary.data_centre)
        retired: tuple[int, ...] = ()
        if held is not None:
            if not _replaces(summary, held, received_at):
                return False
            retired = held.retired
            if held.summary.incarnation != summary.incarnation:
                retired = _retire(held, summary)
        elif len(self._held_by_data_centre) >= MAX_DATA_CENTRES:
            self._forget_old(received_at)
            if len(self._held_by_data_centre) >= MAX_DATA_CENTRES:
                return False
        self._held_by_data_centre[summary.data_centre] = _Held(
            summary, received_at, retired
        )
        self._revision += 1
        return True

    def is_fresh(self, now: datetime.timedelta) -> bool:
        """Return whether the summary of the own data centre counts."""
        held = self._held_by_data_centre.get(self._data_centre)
        return held is not None and held.is_fresh(now)

    def age(self, now: datetime.timedelta) -> datetime.timedelta | None:
        """Return the age of the newest own summary; None without one."""
        held = self._held_by_data_centre.get(self._data_centre)
        return None if held is None else now - held.taken_at

    def load_of(
        self, upstream_id: str, now: datetime.timedelta
    ) -> reports.UpstreamLoad | None:
        """Return the sum for an upstream; None if no fresh summary names it.

        Parameters
        ----------
        upstream_id : str
            The upstream.
        now : datetime.timedelta
            Current time.
        """
        total: reports.UpstreamLoad | None = None
        for held in self._held_by_data_centre.values():
            if held.is_fresh(now):
                load = held.find(upstream_id)
                if load is not None:
                    total = load if total is None else total.plus(load)
        return total

    def demand_of(
        self, service: str, now: datetime.timedelta
    ) -> collections.abc.Mapping[int, DemandRate]:
        """Return the demand for a service in fresh summaries, by priority."""
        rates_by_priority: dict[int, DemandRate] = {}
        for held in self._held_by_data_centre.values():
            seconds = held.summary.interval
            if not held.is_fresh(now) or seconds <= 0:
                continue
            for demand in held.summary.demands:
                if demand.service == service:
                    rate = rates_by_priority.get(demand.priority, DemandRate())
                    rates_by_priority[demand.priority] = DemandRate(
                        rate.openings_per_s + demand.openings / seconds,
                        rate.refused_per_s + demand.refused / seconds,
                    )
        return rates_by_priority

    def hosts(self, now: datetime.timedelta) -> int:
        """Return the number of hosts in the fresh summaries."""
        return sum(
            held.summary.hosts
            for held in self._held_by_data_centre.values()
            if held.is_fresh(now)
        )

    def summaries(
        self, now: datetime.timedelta
    ) -> collections.abc.Mapping[str, reports.LoadSummary]:
        """Return the fresh summaries by data centre, with ages as of now."""
        second = datetime.timedelta(seconds=1)
        return {
            data_centre: msgspec.structs.replace(
                held.summary, age=max(0.0, (now - held.taken_at) / second)
            )
            for data_centre, held in self._held_by_data_centre.items()
            if held.is_fresh(now)
        }

    def _forget_old(self, now: datetime.timedelta) -> None:
        self._held_by_data_centre = {
            data_centre: held
            for data_centre, held in self._held_by_data_centre.items()
            if held.is_fresh(now)
        }


def _replaces(
    summary: reports.LoadSummary, held: _Held, now: datetime.timedelta
) -> bool:
    before = held.summary
    if summary.incarnation in held.retired:
        return False
    if summary.sender == before.sender:
        return (
            summary.incarnation != before.incarnation
            or summary.serial > before.serial
        )
    return (
        summary.hosts > before.hosts
        or now - held.received_at >= REPLACEMENT_SILENCE
        or not held.is_fresh(now)
    )


def _retire(held: _Held, summary: reports.LoadSummary) -> tuple[int, ...]:
    """Return the incarnations whose later messages are out of date."""
    if summary.sender != held.summary.sender:
        # The other process may be alive, and its sum the larger one again.
        return held.retired
    return (*held.retired, held.summary.incarnation)[-_MAX_RETIRED:]
