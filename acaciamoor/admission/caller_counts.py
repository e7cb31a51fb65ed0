"""Recent openings of callers, in bounded memory."""

import datetime


class CallerCounts:
    """Counts the openings of the callers that open the most flows.

    The algorithm is that of Misra and Gries: a caller with more than one of
    `limit` openings in the window is always among those counted, and no count
    is too high.

    Parameters
    ----------
    window : datetime.timedelta
        Time for which openings count; they are forgotten after twice that
        time at the latest.
    limit : int
        Maximum number of callers that are counted at a time.

    Examples
    --------
    >>> counts = CallerCounts(datetime.timedelta(seconds=1), limit=2)
    >>> [counts.add(7, datetime.timedelta(0)) for _ in range(3)]
    [1, 2, 3]
    >>> counts.add(8, datetime.timedelta(0))
    1
    >>> counts.mean_of_others(3)
    1.0
    """

    def __init__(self, window: datetime.timedelta, limit: int) -> None:
        self._window = window
        self._limit = limit
        self._ends_at = datetime.timedelta(0)
        self._counts_by_caller: dict[int, int] = {}
        self._previous_by_caller: dict[int, int] = {}
        self._total = 0
        self._previous_total = 0

    def __len__(self) -> int:
        return len(self._counts_by_caller) + len(self._previous_by_caller)

    def mean_of_others(self, openings: int) -> float:
        """Return the mean of all callers but one that has `openings`."""
        callers = self._counts_by_caller.keys() | self._previous_by_caller
        total = self._total + self._previous_total
        return (total - openings) / max(1, len(callers) - 1)

    def add(self, caller: int, now: datetime.timedelta) -> int:
        """Count an opening; return the recent openings of its caller."""
        if now >= self._ends_at:
            self._begin_window(now)
        self._total += 1
        counts = self._counts_by_caller
        if caller in counts or len(counts) < self._limit:
            counts[caller] = counts.get(caller, 0) + 1
        else:
            # Each removal of one pays for an addition, so that the mean cost
            # of an opening stays constant.
            self._counts_by_caller = {
                key: count - 1 for key, count in counts.items() if count > 1
            }
        return self._counts_by_caller.get(
            caller, 0
        ) + self._previous_by_caller.get(caller, 0)

    def _begin_window(self, now: datetime.timedelta) -> None:
        recent = now < self._ends_at + self._window
        self._previous_by_caller = self._counts_by_caller if recent else {}
        self._previous_total = self._total if recent else 0
        self._counts_by_caller = {}
        self._total = 0
        self._ends_at = now + self._window
