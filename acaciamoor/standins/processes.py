"""Timers and end of the stand-in processes."""

import asyncio
import collections.abc
import contextlib
import datetime
import signal


async def every(
    interval: datetime.timedelta, action: collections.abc.Callable[[], None]
) -> None:
    """Run `action` every `interval`."""
    while True:
        await asyncio.sleep(interval.total_seconds())
        action()


async def until_told(
    coroutines: collections.abc.Iterable[collections.abc.Coroutine] = (),
) -> None:
    """Run `coroutines` until the process gets SIGTERM or SIGINT."""
    told = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, told.set)
    tasks = [loop.create_task(coroutine) for coroutine in coroutines]
    await told.wait()
    for task in tasks:
        task.cancel()
    for task in tasks:
        with contextlib.suppress(asyncio.CancelledError):
            await task
