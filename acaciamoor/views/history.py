"""History of the views of a service that packets may still depend on."""

import bisect
import dataclasses
import datetime
import itertools

from acaciamoor.views import view as service_views

# Every fresh balancer receives a view before any balancer activates it.
ACTIVATION_DELAY = datetime.timedelta(seconds=2.5)
# Shorter than the activation delay by a margin for the network delay, which is
# not included in the age of a view.
FRESHNESS_LIMIT = datetime.timedelta(seconds=2.25)
# Minimum time between the activations of two views.
ACTIVATION_INTERVAL = datetime.timedelta(seconds=4)
# Time for which a superseded view is kept. Every open flow sends a packet
# within it, since it is four keepalive intervals.
RETENTION = datetime.timedelta(seconds=60)
# Number of views above which records are pinned on all hosts, so that the
# oldest views can be dropped although flows are still open.
VIEW_LIMIT = 16


@dataclasses.dataclass(frozen=True, slots=True)
class RetainedView:
    """A view with its times on the local monotonic clock.

    Parameters
    ----------
    view : ServiceView
        The view.
    published_at : datetime.timedelta
        When the view was published.
    activates_at : datetime.timedelta
        When the view, or the newer view that replaces it, becomes active.
    coalesced : bool
        Whether a newer view becomes active in place of this one.
    """

    view: service_views.ServiceView
    published_at: datetime.timedelta
    activates_at: datetime.timedelta
    coalesced: bool = False


class ViewHistory:
    """Pending, active and retained views of one service.

    All times derive from the publication of the views, so that hosts which
    receive a view at different times agree on when it becomes active.

    Examples
    --------
    >>> import datetime
    >>> from acaciamoor.model.tests import builders
    >>> history = ViewHistory()
    >>> first = service_views.ServiceView.of(
    ...     builders.service(), builders.DATA_CENTRE
    ... )
    >>> history.add(first, age=datetime.timedelta(0), now=RETENTION)
    True
    >>> history.active_view(RETENTION) == first
    True
    """

    def __init__(self) -> None:
        self._entries: list[RetainedView] = []
        self._dropped: service_views.ViewVersion | None = None

    @property
    def entries(self) -> tuple[RetainedView, ...]:
        """All views that packets may depend on, oldest version first."""
        return tuple(self._entries)

    @property
    def newest_view(self) -> service_views.ServiceView:
        """The newest view, whether active or still pending."""
        return self._entries[-1].view

    def __len__(self) -> int:
        return len(self._entries)

    def add(
        self,
        view: service_views.ServiceView,
        age: datetime.timedelta,
        now: datetime.timedelta,
    ) -> bool:
        """Add a view; return whether anything changed.

        A view older than the active one is retained, since other hosts may
        have used it, but never becomes active. A pending view that is received
        again keeps the larger of its two ages.

        Parameters
        ----------
        view : ServiceView
            The view.
        age : datetime.timedelta
            Time since the view was published.
        now : datetime.timedelta
            Monotonic time.
        """
        if self._dropped is not None and view.version <= self._dropped:
            return False
        first_pending = self._active_index(now) + 1
        entry = RetainedView(view, now - age, now - age + ACTIVATION_DELAY)
        for index, known in enumerate(self._entries):
            if known.view.version == view.version:
                if (
                    index < first_pending
                    or known.published_at <= entry.published_at
                ):
                    return False
                del self._entries[index]
                break
        position = bisect.bisect_left(
            self._entries, view.version, key=lambda item: item.view.version
        )
        self._entries.insert(position, entry)
        if position < first_pending:
            self._coalesce_with_next(position)
        else:
            self._schedule_activations(first_pending)
        return True

    def active_view(
        self, now: datetime.timedelta
    ) -> service_views.ServiceView:
        """Return the view that is active at `now`.

        The first view of a service is active at once, because hosts have no
        other view to use in its place.
        """
        return self._entries[max(self._active_index(now), 0)].view

    def base_view(self, now: datetime.timedelta) -> service_views.ServiceView:
        """Return the view under which flows without a record were opened.

        This is the oldest view within its retention. Older views that are
        still kept serve only flows that have a record: all other flows have
        been idle for the whole retention or were opened since.
        """
        for index, entry in enumerate(self._entries):
            if not self.is_past_retention(index, now):
                return entry.view
        return self.newest_view

    def is_past_retention(self, index: int, now: datetime.timedelta) -> bool:
        """Return whether the retention of the view at `index` has ended.

        The newest view has no end of retention.
        """
        following = index + 1
        if following >= len(self._entries):
            return False
        return self._entries[following].activates_at + RETENTION <= now

    def retention_end(self, index: int) -> datetime.timedelta:
        """Return the end of the retention of the view at `index`.

        Raises
        ------
        IndexError
            If the view is the newest one.
        """
        return self._entries[index + 1].activates_at + RETENTION

    def drop_oldest(self) -> service_views.ServiceView:
        """Drop and return the oldest view.

        Raises
        ------
        ValueError
            If it is the only view.
        """
        if len(self._entries) < 2:
            raise ValueError('the only view of a service cannot be dropped')
        dropped = self._entries.pop(0).view
        self._dropped = dropped.version
        return dropped

    def drop_coalesced(self) -> bool:
        """Drop the oldest coalesced view, which no host uses.

        Returns
        -------
        bool
            Whether there was a coalesced view.
        """
        for index, entry in enumerate(self._entries[:-1]):
            if entry.coalesced:
                del self._entries[index]
                return True
        return False

    def _active_index(self, now: datetime.timedelta) -> int:
        """Return the index of the active view, or -1."""
        for index in range(len(self._entries) - 1, -1, -1):
            entry = self._entries[index]
            if entry.activates_at <= now and not entry.coalesced:
                return index
        return -1

    def _coalesce_with_next(self, index: int) -> None:
        self._entries[index] = dataclasses.replace(
            self._entries[index],
            activates_at=self._entries[index + 1].activates_at,
            coalesced=True,
        )

    def _schedule_activations(self, start: int) -> None:
        """Compute the activation times of the views from `start` on.

        Views that become due within one activation interval are coalesced:
        only the newest of them becomes active.
        """
        earliest = datetime.timedelta.min
        if start > 0:
            previous = self._entries[start - 1]
            earliest = previous.activates_at + ACTIVATION_INTERVAL
        due_times = list(
            itertools.accumulate(
                (
                    entry.published_at + ACTIVATION_DELAY
                    for entry in self._entries[start:]
                ),
                max,
            )
        )
        scheduled = []
        while len(scheduled) < len(due_times):
            first = len(scheduled)
            activates_at = max(due_times[first], earliest)
            last = bisect.bisect_right(due_times, activates_at) - 1
            scheduled.extend(
                dataclasses.replace(
                    self._entries[start + index],
                    activates_at=activates_at,
                    coalesced=index < last,
                )
                for index in range(first, last + 1)
            )
            earliest = activates_at + ACTIVATION_INTERVAL
        self._entries[start:] = scheduled
