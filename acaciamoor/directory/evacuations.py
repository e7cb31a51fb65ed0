"""Data centres whose upstreams get no new flows, by order of the operator."""

import datetime

from acaciamoor import model


class Evacuations:
    """Data centres that are evacuated.

    Examples
    --------
    >>> second = datetime.timedelta(seconds=1)
    >>> evacuations = Evacuations()
    >>> evacuations.begin('kgn-a')
    True
    >>> evacuations.end('kgn-a', 5 * second)
    True
    >>> evacuations.contains('kgn-a', 4 * second)
    True
    >>> evacuations.contains('kgn-a', 5 * second)
    False
    """

    def __init__(self) -> None:
        # None while the operator's entry is in the store.
        self._ends_at_by_data_centre: dict[
            model.DataCentre, datetime.timedelta | None
        ] = {}

    def begin(self, data_centre: model.DataCentre) -> bool:
        """Evacuate a data centre; False if it was evacuated."""
        if self._ends_at_by_data_centre.get(data_centre, 0) is None:
            return False
        self._ends_at_by_data_centre[data_centre] = None
        return True

    def end(
        self, data_centre: model.DataCentre, ends_at: datetime.timedelta
    ) -> bool:
        """Take a data centre back at `ends_at`; False if it needs not to."""
        if self._ends_at_by_data_centre.get(data_centre, ends_at) is not None:
            return False
        self._ends_at_by_data_centre[data_centre] = ends_at
        return True

    def expire(self, now: datetime.timedelta) -> None:
        """Forget the evacuations that have ended."""
        for data_centre, ends_at in list(self._ends_at_by_data_centre.items()):
            if ends_at is not None and ends_at <= now:
                del self._ends_at_by_data_centre[data_centre]

    def contains(
        self, data_centre: model.DataCentre, now: datetime.timedelta
    ) -> bool:
        """Return whether a data centre is evacuated."""
        ends_at = self._ends_at_by_data_centre.get(data_centre, now)
        return ends_at is None or now < ends_at

    def next_end(self, now: datetime.timedelta) -> datetime.timedelta | None:
        """Return when the next evacuation ends; None if none is to end."""
        return min(
            (
                ends_at
                for ends_at in self._ends_at_by_data_centre.values()
                if ends_at is not None and ends_at > now
            ),
            default=None,
        )

    def list_all(
        self, now: datetime.timedelta
    ) -> tuple[model.DataCentre, ...]:
        """Return the data centres that are evacuated, sorted by name."""
        return tuple(
            sorted(
                data_centre
                for data_centre in self._ends_at_by_data_centre
                if self.contains(data_centre, now)
            )
        )
