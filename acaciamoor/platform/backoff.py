"""Waiting times between attempts."""

import asyncio
import collections.abc
import datetime
import functools
import random

from acaciamoor.platform import errors

Sleep = collections.abc.Callable[
    [datetime.timedelta], collections.abc.Awaitable[None]
]


async def sleep(duration: datetime.timedelta) -> None:
    """Wait for `duration` on the event loop."""
    await asyncio.sleep(duration.total_seconds())


class Backoff:
    """Exponential waiting times with full jitter.

    Full jitter spreads the callers that an outage has synchronized.

    Parameters
    ----------
    random_source : random.Random
        Source of the jitter.
    first : datetime.timedelta
        Upper bound of the first wait.
    limit : datetime.timedelta
        Upper bound of every wait.

    Examples
    --------
    >>> backoff = Backoff(random.Random(1))
    >>> waits = [backoff.next_wait() for _ in range(20)]
    >>> max(waits) <= datetime.timedelta(seconds=5)
    True
    """

    def __init__(
        self,
        random_source: random.Random,
        first: datetime.timedelta = datetime.timedelta(milliseconds=100),
        limit: datetime.timedelta = datetime.timedelta(seconds=5),
    ) -> None:
        self._random = random_source
        self._first = first
        self._limit = limit
        self._bound = first

    def next_wait(self) -> datetime.timedelta:
        """Return the next waiting time."""
        bound = self._bound
        self._bound = min(2 * bound, self._limit)
        return self._random.random() * bound

    def first_wait(self) -> datetime.timedelta:
        """Return a waiting time that does not grow."""
        return self._random.random() * self._first

    def reset(self) -> None:
        """Start again with the first wait, after a success."""
        self._bound = self._first


@functools.singledispatch
def wait_after(
    error: errors.StoreError, backoff: Backoff
) -> datetime.timedelta:
    """Return how long to wait before a call that failed is repeated."""
    return backoff.next_wait()


@wait_after.register(errors.RateLimited)
def _wait_after_rate_limit(
    error: errors.RateLimited, backoff: Backoff
) -> datetime.timedelta:
    return max(backoff.next_wait(), error.retry_after)


@wait_after.register(errors.TimedOut)
def _wait_after_timeout(
    error: errors.TimedOut, backoff: Backoff
) -> datetime.timedelta:
    # The call itself has taken the time that a longer wait would spread.
    return backoff.first_wait()
