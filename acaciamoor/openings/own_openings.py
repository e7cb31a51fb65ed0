"""Flows that this host opened since the last summary."""

import collections
import datetime

from acaciamoor import model


class OwnOpenings:
    """Counts flows that this host opens, until a summary contains them.

    Attributes
    ----------
    counts_by_id : Counter
        Flows opened since the last summary, by upstream.
    """

    __slots__ = ('_opened', 'counts_by_id')

    def __init__(self) -> None:
        self._opened: collections.deque[
            tuple[datetime.timedelta, model.UpstreamId]
        ] = collections.deque()
        self.counts_by_id: collections.Counter[model.UpstreamId] = (
            collections.Counter()
        )

    def record(
        self, upstream_id: model.UpstreamId, now: datetime.timedelta
    ) -> None:
        """Count a flow that is opened now."""
        self._opened.append((now, upstream_id))
        self.counts_by_id[upstream_id] += 1

    def discard(self, before: datetime.timedelta) -> None:
        """Remove the flows that were opened before a time."""
        opened = self._opened
        while opened and opened[0][0] < before:
            _, upstream_id = opened.popleft()
            self.counts_by_id[upstream_id] -= 1
            if self.counts_by_id[upstream_id] <= 0:
                del self.counts_by_id[upstream_id]
