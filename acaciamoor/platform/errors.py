"""Errors of the object store, by what is known about the outcome."""

import datetime
import typing

if typing.TYPE_CHECKING:
    from acaciamoor.platform import objects


class StoreError(Exception):
    """Base of all errors of the object store."""


class Conflict(StoreError):
    """The object was changed by another write; this one had no effect.

    Parameters
    ----------
    name : str
        Name of the object.
    stored : StoredObject or None
        Object as it is stored now; None if it could not be read.
    """

    def __init__(
        self, name: str, stored: 'objects.StoredObject | None' = None
    ) -> None:
        self.stored = stored
        shown = 'unknown' if stored is None else stored.version
        super().__init__(
            f'{name} was changed by another write; stored version: {shown}'
        )

    @property
    def version(self) -> int | None:
        """Version that is stored now; None if it could not be read."""
        return None if self.stored is None else self.stored.version


class NotFound(StoreError):
    """The object does not exist."""


class RateLimited(StoreError):
    """The platform rejected the request by a rate limit, without effect.

    Parameters
    ----------
    retry_after : datetime.timedelta
        Time after which the request may be retried.
    """

    def __init__(
        self, retry_after: datetime.timedelta = datetime.timedelta(seconds=1)
    ) -> None:
        self.retry_after = retry_after
        super().__init__(
            f'rate limit exceeded; retry after {retry_after.total_seconds()} s'
        )


class Unavailable(StoreError):
    """The platform is unavailable; the request had no effect."""


class TimedOut(Unavailable):
    """The request timed out without taking effect."""


class OutcomeUnknown(StoreError):
    """The response was lost; the write may have taken effect."""


class Rejected(StoreError):
    """The platform rejects the request, for example an oversized value."""


class VersionExpired(StoreError):
    """The version is too old for a watch to resume after it (HTTP 410)."""
