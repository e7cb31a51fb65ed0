"""Views of a service that packets may still depend on."""

import bisect
import dataclasses
import datetime
import itertools

from acaciamoor.views import view as service_views

# A fresh balancer has heard of a view before any balancer uses it.
ACTIVATION_DELAY = datetime.timedelta(seconds=2.5)
# Shorter than the activation delay, because the network delay is not part of
# an age; the difference covers it.
FRESHNESS_LIMIT = datetime.timedelta(seconds=2.25)
ACTIVATION_INTERVAL = datetime.timedelta(seconds=4)
# Four keepalive intervals: a flow that is still open sends a packet in it.
RETENTION = datetime.timedelta(seconds=60)
VIEW_LIMIT = 16


@dataclasses.dataclass(frozen=True, slots=True)
class RetainedView:
    """A view and its times on the local monotonic clock.

    Parameters
    ----------
    view : ServiceView
        The view.
    published : datetime.timedelta
        When the view was published.
    activates : datetime.timedelta
        When it takes effect, or when a newer view takes effect instead.
    merged : bool
        Whether a newer view takes effect instead.
    """

    view: service_views.ServiceView
    published: datetime.timedelta
    activates: datetime.timedelta
    merged: bool = False


class ViewHistory:
    """Pending, active and retained views of one service.

    All times follow from the publication of the views, so hosts that hear of
    them at different times agree on when each of them takes effect.

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
    >>> history.active(RETENTION) == first
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
    def newest(self) -> service_views.ServiceView:
        """The newest view, whether it is in effect or not."""
        return self._entries[-1].view

    def __len__(self) -> int:
        return len(self._entries)

    def add(
        self,
        view: service_views.ServiceView,
        age: datetime.timedelta,
        now: datetime.timedelta,
    ) -> bool:
        """Take in a view; return whether anything changed.

        A view older than the newest one is retained, since other hosts may
        have used it, but never takes effect again. A view that is heard a
        second time keeps the larger of its two ages.

        Parameters
        ----------
        view : ServiceView
            The view.
        age : datetime.timedelta
            Time since it was published.
        now : datetime.timedelta
            Monotonic time.
        """
        if self._dropped is not None and view.version <= self._dropped:
            return False
        fixed = self._in_effect(now) + 1
        entry = RetainedView(view, now - age, now - age + ACTIVATION_DELAY)
        for index, known in enumerate(self._entries):
            if known.view.version == view.version:
                if index < fixed or known.published <= entry.published:
                    return False
                del self._entries[index]
                break
        position = bisect.bisect_left(
            self._entries, view.version, key=lambda item: item.view.version
        )
        self._entries.insert(position, entry)
        if position < fixed:
            self._merge_into_next(position)
        else:
            self._schedule(fixed)
        return True

    def active(self, now: datetime.timedelta) -> service_views.ServiceView:
        """Return the newest view that is in effect.

        The first view of a service is in effect at once: there is no other
        view that hosts could use in its place.
        """
        return self._entries[max(self._in_effect(now), 0)].view

    def base(self, now: datetime.timedelta) -> service_views.ServiceView:
        """Return the view that flows without a record were opened by.

        It is the oldest view within its retention. An older view that is
        still retained serves only the flows that have a record: all others
        were idle during the whole retention or were opened since.
        """
        for index, entry in enumerate(self._entries):
            if not self.is_past_retention(index, now):
                return entry.view
        return self.newest

    def is_past_retention(self, index: int, now: datetime.timedelta) -> bool:
        """Return whether the view at `index` was superseded long ago."""
        following = index + 1
        if following >= len(self._entries):
            return False
        return self._entries[following].activates + RETENTION <= now

    def retention_end(self, index: int) -> datetime.timedelta:
        """Return when the view at `index` is past its retention.

        Raises
        ------
        IndexError
            If the view is the newest one.
        """
        return self._entries[index + 1].activates + RETENTION

    def drop_oldest(self) -> service_views.ServiceView:
        """Forget the oldest view.

        Raises
        ------
        ValueError
            If it is the only one.
        """
        if len(self._entries) < 2:
            raise ValueError('the only view of a service cannot be dropped')
        dropped = self._entries.pop(0).view
        self._dropped = dropped.version
        return dropped

    def drop_merged(self) -> bool:
        """Forget the oldest view that no host uses; False without one."""
        for index, entry in enumerate(self._entries[:-1]):
            if entry.merged:
                del self._entries[index]
                return True
        return False

    def _in_effect(self, now: datetime.timedelta) -> int:
        """Return the index of the newest view in effect, or -1."""
        for index in range(len(self._entries) - 1, -1, -1):
            entry = self._entries[index]
            if entry.activates <= now and not entry.merged:
                return index
        return -1

    def _merge_into_next(self, index: int) -> None:
        self._entries[index] = dataclasses.replace(
            self._entries[index],
            activates=self._entries[index + 1].activates,
            merged=True,
        )

    def _schedule(self, start: int) -> None:
        """Compute when each view from `start` on takes effect.

        Views that become due within one interval are merged: only the newest
        of them takes effect.
        """
        earliest = datetime.timedelta.min
        if start > 0:
            previous = self._entries[start - 1]
            earliest = previous.activates + ACTIVATION_INTERVAL
        dues = list(
            itertools.accumulate(
                (
                    entry.published + ACTIVATION_DELAY
                    for entry in self._entries[start:]
                ),
                max,
            )
        )
        scheduled = []
        while len(scheduled) < len(dues):
            first = len(scheduled)
            activates = max(dues[first], earliest)
            last = bisect.bisect_right(dues, activates) - 1
            scheduled.extend(
                dataclasses.replace(
                    self._entries[start + index],
                    activates=activates,
                    merged=index < last,
                )
                for index in range(first, last + 1)
            )
            earliest = activates + ACTIVATION_INTERVAL
        self._entries[start:] = scheduled
