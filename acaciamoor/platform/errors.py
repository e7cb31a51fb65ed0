"""Errors of the object store, by what the caller may conclude."""

import datetime
import typing

if typing.TYPE_CHECKING:
    from acaciamoor.platform import objects


class StoreError(Exception):
    """Base of all errors of the object store."""


class Conflict(StoreError):
    """Another write came first; this one had no effect.

    Parameters
    ----------
    name : str
        Object that was written.
    winner : StoredObject or None
        Object as stored by the write that won; None if it could not be read.
    """

    def __init__(
        self, name: str, winner: 'objects.StoredObject | None' = None
    ) -> None:
        self.winner = winner
        shown = 'an unknown version' if winner is None else winner.version
        super().__init__(f'{name} was changed by another write: {shown}')

    @property
    def version(self) -> int | None:
        """Version of the object after the write that won."""
        return None if self.winner is None else self.winner.version


class NotFound(StoreError):
    """The object does not exist."""


class RateLimited(StoreError):
    """The platform refused the call before it ran it.

    Parameters
    ----------
    retry_after : datetime.timedelta
        Time after which the call may be repeated.
    """

    def __init__(
        self, retry_after: datetime.timedelta = datetime.timedelta(seconds=1)
    ) -> None:
        self.retry_after = retry_after
        super().__init__(
            f'rate limit reached; retry after {retry_after.total_seconds()} s'
        )


class Unavailable(StoreError):
    """The platform cannot be reached; the call certainly had no effect."""


class TimedOut(Unavailable):
    """A call without effect got no answer in time."""


class OutcomeUnknown(StoreError):
    """The reply was lost; the write may have taken effect."""


class Rejected(StoreError):
    """The platform does not accept the value, for example its size."""


class VersionExpired(StoreError):
    """A watch cannot resume after a version that old (HTTP 410)."""
