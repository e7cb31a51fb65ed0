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
# Most by which counts are scaled to the interval of another summary. `Pace`
# keeps the intervals of a site within a ratio of 1.5; a larger one is an error
# of a sender.
_MAX_SCALE = 4.0
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


class TotalLoad(msgspec.Struct, frozen=True):
    """Load of an upstream in the summaries of all data centres.

    Counts are fractions where they come from summaries over another interval;
    see `UpstreamLoad` for their meaning.

    Parameters
    ----------
    upstream_id : str
        The upstream.
    in_progress, open_flows : int
        Levels.
    started, finished, busy_seconds, rejected, openings, unanswered : float
        Counts in `LoadPicture.interval`.
    """

    upstream_id: str
    in_progress: int = 0
    open_flows: int = 0
    started: float = 0
    finished: float = 0
    busy_seconds: float = 0.0
    rejected: float = 0
    openings: float = 0
    unanswered: float = 0


class _Totals(msgspec.Struct, frozen=True):
    """Sum of the fresh summaries, which are the same in a period."""

    loads_by_id: dict[str, TotalLoad]
    valid_from: datetime.timedelta
    valid_until: datetime.timedelta

    def is_valid(self, now: datetime.timedelta) -> bool:
        return self.valid_from <= now < self.valid_until


class _Held:
    """Summary of a data centre, and when its reports were taken."""

    __slots__ = (
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

    def is_fresh(self, now: datetime.timedelta) -> bool:
        return now - self.taken_at < MAX_AGE


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
        self._own_revision = 0
        # Computed at the first look-up after a summary.
        self._totals: _Totals | None = None

    @property
    def revision(self) -> int:
        """Number that rises with each recorded summary."""
        return self._revision

    @property
    def own_revision(self) -> int:
        """Number that rises with each summary of the own data centre."""
        return self._own_revision

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
        another host replaces one that is old or that covers fewer hosts. One
        without an interval is the sum of no reports, and shows no rates.

        Parameters
        ----------
        summary : LoadSummary
            The summary.
        received_at : datetime.timedelta
            Time to which the age in the summary refers.
        """
        if (
            datetime.timedelta(seconds=summary.age) >= MAX_AGE
            or datetime.timedelta(seconds=summary.interval) <= _ZERO
        ):
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
        self._own_revision += summary.data_centre == self._data_centre
        self._totals = None
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
    ) -> TotalLoad | None:
        """Return the sum for an upstream; None if no fresh summary names it.

        Parameters
        ----------
        upstream_id : str
            The upstream.
        now : datetime.timedelta
            Current time.
        """
        return self.loads(now).get(upstream_id)

    def loads(
        self, now: datetime.timedelta
    ) -> collections.abc.Mapping[str, TotalLoad]:
        """Return the sums for all upstreams in fresh summaries.

        Parameters
        ----------
        now : datetime.timedelta
            Current time.
        """
        totals = self._totals
        if totals is None or not totals.is_valid(now):
            totals = self._totals = self._compute_totals(now)
        return totals.loads_by_id

    def _compute_totals(self, now: datetime.timedelta) -> _Totals:
        fresh = [
            held
            for held in self._held_by_data_centre.values()
            if held.is_fresh(now)
        ]
        until = min(
            (held.taken_at + MAX_AGE for held in fresh),
            default=datetime.timedelta.max,
        )
        own = self._held_by_data_centre.get(self._data_centre)
        # Not `interval`, which is rounded to microseconds.
        interval = 0.0 if own is None else own.summary.interval
        return _Totals(
            _sum_loads([held.summary for held in fresh], interval), now, until
        )

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


def _sum_loads(
    summaries: collections.abc.Iterable[reports.LoadSummary], interval: float
) -> dict[str, TotalLoad]:
    """Return the sums by upstream.

    Parameters
    ----------
    summaries : iterable of LoadSummary
        Summaries of different data centres.
    interval : float
        Interval to which counts are scaled, in seconds; if it is 0, that of
        the first summary.
    """
    # Lists are summed, as in the aggregator: a struct for each addition takes
    # several times as long.
    sums_by_id: dict[str, list[float]] = {}
    for summary in summaries:
        interval = interval or summary.interval
        scale: float = 1
        if summary.interval != interval:
            scale = min(interval / summary.interval, _MAX_SCALE)
        for load in summary.upstreams:
            sums = sums_by_id.get(load.upstream_id)
            if sums is None:
                sums_by_id[load.upstream_id] = [
                    load.in_progress,
                    load.open_flows,
                    load.started * scale,
                    load.finished * scale,
                    load.busy_seconds * scale,
                    load.rejected * scale,
                    load.openings * scale,
                    load.unanswered * scale,
                ]
            else:
                sums[0] += load.in_progress
                sums[1] += load.open_flows
                sums[2] += load.started * scale
                sums[3] += load.finished * scale
                sums[4] += load.busy_seconds * scale
                sums[5] += load.rejected * scale
                sums[6] += load.openings * scale
                sums[7] += load.unanswered * scale
    return {
        upstream_id: TotalLoad(upstream_id, *sums)
        for upstream_id, sums in sums_by_id.items()
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
    taken_at = now - datetime.timedelta(seconds=summary.age)
    if taken_at + MAX_AGE <= held.received_at:
        # It was on the way for so long that it counts for nothing.
        return False
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
