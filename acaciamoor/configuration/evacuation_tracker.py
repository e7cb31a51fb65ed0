"""Tracks whether the data centre of a host is evacuated."""

import datetime

from acaciamoor.configuration import messages


class EvacuationTracker:
    """Newest known evacuation of one data centre, or its end.

    The state is a single value, so peers exchange it whole and the highest
    version wins. It starts as not evacuated at version 0.
    """

    def __init__(self) -> None:
        self._version = 0
        self._evacuated = False
        self._published_at = datetime.timedelta(0)
        self._has_changed = False

    def observe(
        self, version: int, evacuated: bool, now: datetime.timedelta
    ) -> None:
        """Apply what the platform holds at `version`.

        Only a change creates a version. A listing or a bookmark that confirms
        the known state therefore changes no view.
        """
        if evacuated != self._evacuated and version > self._version:
            self._set(version, evacuated, now)

    def adopt(
        self, state: messages.EvacuationState, now: datetime.timedelta
    ) -> None:
        """Apply the state of a peer, if it is newer or its age is larger."""
        published_at = now - state.age
        if state.version > self._version or (
            state.version == self._version
            and published_at < self._published_at
        ):
            self._set(state.version, state.evacuated, published_at)

    def state(
        self, now: datetime.timedelta
    ) -> messages.EvacuationState | None:
        """Return the state; None before the first evacuation."""
        if not self._version:
            return None
        return messages.EvacuationState(
            self._version, self._evacuated, now - self._published_at
        )

    def take_change(
        self, now: datetime.timedelta
    ) -> messages.EvacuationState | None:
        """Return the state if it or its age changed since the last call."""
        if not self._has_changed:
            return None
        self._has_changed = False
        return self.state(now)

    def _set(
        self, version: int, evacuated: bool, published_at: datetime.timedelta
    ) -> None:
        self._version, self._evacuated = version, evacuated
        self._published_at = published_at
        self._has_changed = True
