"""Delays between retries."""

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
    """Sleep for `duration` on the event loop."""
    await asyncio.sleep(duration.total_seconds())


class Backoff:
    """Exponential backoff with full jitter.

    Each delay is drawn uniformly between zero and an upper bound that doubles
    with every retry. Full jitter spreads the retries of clients that an
    outage has synchronized.

    Parameters
    ----------
    random_source : random.Random
        Source of the jitter.
    initial : datetime.timedelta
        Upper bound of the first delay.
    maximum : datetime.timedelta
        Upper bound of every delay.

    Examples
    --------
    >>> backoff = Backoff(random.Random(1))
    >>> delays = [backoff.next_delay() for _ in range(20)]
    >>> max(delays) <= datetime.timedelta(seconds=5)
    True
    """

    def __init__(
        self,
        random_source: random.Random,
        initial: datetime.timedelta = datetime.timedelta(milliseconds=100),
        maximum: datetime.timedelta = datetime.timedelta(seconds=5),
    ) -> None:
        self._random = random_source
        self._initial = initial
        self._maximum = maximum
        self._bound = initial

    def next_delay(self) -> datetime.timedelta:
        """Return the next delay and double the upper bound."""
        bound = self._bound
        self._bound = min(2 * bound, self._maximum)
        return self._random.random() * bound

    def initial_delay(self) -> datetime.timedelta:
        """Return a delay within the initial bound, without increasing it."""
        return self._random.random() * self._initial

    def reset(self) -> None:
        """Return to the initial bound after a success."""
        self._bound = self._initial


@functools.singledispatch
def delay_after(
    error: errors.StoreError, backoff: Backoff
) -> datetime.timedelta:
    """Return the delay before a request that failed is retried."""
    return backoff.next_delay()


@delay_after.register(errors.RateLimited)
def _delay_after_rate_limit(
    error: errors.RateLimited, backoff: Backoff
) -> datetime.timedelta:
    return max(backoff.next_delay(), error.retry_after)


@delay_after.register(errors.TimedOut)
def _delay_after_timeout(
    error: errors.TimedOut, backoff: Backoff
) -> datetime.timedelta:
    # The timeout itself has already spaced out the attempts.
    return backoff.initial_delay()
